"""The choice of the node of a domain that polls the store."""

import testtools

from dandelionyoke_dispatch import Member, SourceChoice, SourceSettings

MEMBERS = [
    Member(f'{domain}-{number}', domain, f'10.0.0.{number}:7')
    for domain in ('a', 'b')
    for number in range(5)
]


def choice(own_id: str, members: list[Member] = MEMBERS) -> SourceChoice:
    result = SourceChoice(own_id, own_id[0], SourceSettings(suspicion_s=4.0))
    result.take_members(members, 0)
    return result


class SourceChoiceTest(testtools.TestCase):
    def test_all_nodes_of_a_domain_poll_the_same_node(self) -> None:
        nodes = [choice(member.instance_id) for member in MEMBERS[:5]]
        sources = [node for node in nodes if node.is_source(0)]
        polled = {node.node_to_poll(0, has_lost_store=False) for node in nodes}
        self.assertEqual(1, len(sources))
        self.assertEqual(2, len(polled))
        self.assertIn(None, polled)

    def test_a_node_without_members_polls_the_store(self) -> None:
        alone = SourceChoice('a-1', 'a', SourceSettings())
        self.assertTrue(alone.is_source(0))
        self.assertIsNone(alone.node_to_poll(0, has_lost_store=True))

    def test_an_unresponsive_node_is_skipped_for_a_while(self) -> None:
        """The node that polls the store for its domain loses power.

        The others must agree on the next one at once, and return to the first
        one when it responds again.
        """
        others = [member for member in MEMBERS if member.domain == 'a']
        first = next(
            member.instance_id
            for member in others
            if choice(member.instance_id).is_source(0)
        )
        nodes = [
            choice(member.instance_id)
            for member in others
            if member.instance_id != first
        ]
        for node in nodes:
            node.suspect(first, 10.0)
        self.assertEqual(1, sum(node.is_source(10.1) for node in nodes))
        polled = {
            node.node_to_poll(14.1, has_lost_store=False) for node in nodes
        }
        self.assertEqual({first}, {one.instance_id for one in polled if one})

    def test_the_node_with_the_highest_capacity_polls(self) -> None:
        """Guards against a small machine that is too slow for its domain."""
        strong = Member('a-9', 'a', '10.0.0.9:7', capacity=2.15)
        nodes = [choice(one.instance_id, [*MEMBERS, strong]) for one in MEMBERS]
        polled = {
            node.node_to_poll(0, has_lost_store=False) for node in nodes[:5]
        }
        self.assertEqual({strong}, polled)

    def test_repeated_failures_are_backed_off(self) -> None:
        """Guards against repeated polls of a node that lost the store."""
        first = next(
            member.instance_id
            for member in MEMBERS[:5]
            if choice(member.instance_id).is_source(0)
        )
        other = 'a-1' if first != 'a-1' else 'a-2'
        node = choice(other)
        node.suspect(first, 0)
        self.assertEqual(first, self.polled(node, 4.1))
        node.suspect(first, 4.1)
        self.assertNotEqual(first, self.polled(node, 12.0))
        self.assertEqual(first, self.polled(node, 12.2))
        node.suspect(first, 40)
        self.assertEqual(first, self.polled(node, 44.1))

    def test_a_node_that_answers_late_is_polled_again(self) -> None:
        """Guards against two nodes that poll the store for one domain.

        A node that is late again and again stays skipped.
        """
        first = next(
            member.instance_id
            for member in MEMBERS[:5]
            if choice(member.instance_id).is_source(0)
        )
        node = choice('a-1' if first != 'a-1' else 'a-2')
        self.assertFalse(node.trust_again(first, 0))
        node.suspect(first, 1.0)
        self.assertNotEqual(first, self.polled(node, 1.5))
        self.assertTrue(node.trust_again(first, 1.5))
        self.assertEqual(first, self.polled(node, 1.5))
        node.suspect(first, 3.0)
        self.assertFalse(node.trust_again(first, 3.5))
        self.assertNotEqual(first, self.polled(node, 10.9))
        self.assertEqual(first, self.polled(node, 11.1))

    def polled(self, node: SourceChoice, now_s: float) -> str:
        member = node.node_to_poll(now_s, has_lost_store=False)
        return '' if member is None else member.instance_id

    def test_a_rejected_node_polls_other_nodes_and_domains(self) -> None:
        """The store rejects a node and serves others.

        Calls of this node would be refused although another node has the latest
        version.
        """
        source = next(
            choice(member.instance_id)
            for member in MEMBERS[:5]
            if choice(member.instance_id).is_source(0)
        )
        near = source.node_to_poll(0, has_lost_store=True)
        self.assertEqual('a', near.domain)
        for member in MEMBERS[:5]:
            source.suspect(member.instance_id, 0)
        far = source.node_to_poll(0, has_lost_store=True)
        self.assertEqual('b', far.domain)


class IntroductionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = SourceChoice('a-1', 'a', SourceSettings(introduction_s=15))
        self.other = Member('a-2', 'a', '10.0.0.2:7')

    def knows_other(self) -> bool:
        return (
            self.node.node_to_poll(20, has_lost_store=True) == self.other
            and self.node.node_to_meet() == self.other
        )

    def test_an_introduced_node_is_polled_at_once(self) -> None:
        """Guards against a refused node that knows no other one."""
        self.node.take_members([], 0)
        self.assertFalse(self.knows_other())
        self.assertTrue(self.node.introduce(self.other, 1))
        self.assertTrue(self.knows_other())
        self.assertFalse(self.node.introduce(self.other, 1))

    def test_an_introduction_outlives_a_listing_that_is_older(self) -> None:
        """Guards against a new node forgotten because of a stale read."""
        self.node.introduce(self.other, 1)
        self.node.take_members([], 2)
        self.assertTrue(self.knows_other())

    def test_an_introduced_node_that_is_gone_is_forgotten(self) -> None:
        self.node.introduce(self.other, 1)
        self.node.take_members([], 16.1)
        self.assertFalse(self.knows_other())

    def test_an_introduction_replaces_an_older_address(self) -> None:
        """Guards against a restarted node dialled at its former address."""
        self.node.take_members([Member('a-2', 'a', '10.0.0.9:7')], 0)
        self.assertTrue(self.node.introduce(self.other, 1))
        self.assertTrue(self.knows_other())

    def test_a_node_alone_in_its_domain_meets_another_domain(self) -> None:
        far = Member('b-2', 'b', '10.0.0.3:7')
        self.node.take_members([far], 0)
        self.assertEqual(far, self.node.node_to_meet())
        self.node.introduce(self.other, 1)
        self.assertEqual(self.other, self.node.node_to_meet())
