"""Which node of a domain asks the store, and whom the others ask."""

import testtools

from dandelionyoke_dispatch import Member, SourceChoice, SourceSettings

MEMBERS = [
    Member(f'{domain}-{number}', domain, f'10.0.0.{number}:7')
    for domain in ('a', 'b')
    for number in range(5)
]


def choice(own_id: str, members: list[Member] = MEMBERS) -> SourceChoice:
    made = SourceChoice(own_id, own_id[0], SourceSettings(suspicion_s=4.0))
    made.take_members(members)
    return made


class SourceChoiceTest(testtools.TestCase):
    def test_all_nodes_of_a_domain_ask_one_and_the_same(self) -> None:
        nodes = [choice(member.instance_id) for member in MEMBERS[:5]]
        sources = [node for node in nodes if node.is_source(0)]
        asked = {node.whom_to_ask(0, is_blind=False) for node in nodes}
        self.assertEqual(1, len(sources))
        self.assertEqual(2, len(asked))
        self.assertIn(None, asked)

    def test_a_node_that_knows_no_others_asks_the_store(self) -> None:
        alone = SourceChoice('a-1', 'a', SourceSettings())
        self.assertTrue(alone.is_source(0))
        self.assertIsNone(alone.whom_to_ask(0, is_blind=True))

    def test_a_silent_node_is_passed_over_for_a_while(self) -> None:
        """The node that asks the store for its domain loses power.

        The others must agree on the next one at once, and come back to it
        once it answers again.
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
        asked = {node.whom_to_ask(14.1, is_blind=False) for node in nodes}
        self.assertEqual({first}, {one.instance_id for one in asked if one})

    def test_the_strongest_node_works_for_the_others(self) -> None:
        """Guards against a small machine that is too slow for its domain."""
        strong = Member('a-9', 'a', '10.0.0.9:7', capacity=2.15)
        nodes = [choice(one.instance_id, [*MEMBERS, strong]) for one in MEMBERS]
        asked = {node.whom_to_ask(0, is_blind=False) for node in nodes[:5]}
        self.assertEqual({strong}, asked)

    def test_a_node_that_fails_again_is_passed_over_for_longer(self) -> None:
        """Guards against asking a node that has lost the store in turns."""
        first = next(
            member.instance_id
            for member in MEMBERS[:5]
            if choice(member.instance_id).is_source(0)
        )
        other = 'a-1' if first != 'a-1' else 'a-2'
        node = choice(other)
        node.suspect(first, 0)
        self.assertEqual(first, self.asked(node, 4.1))
        node.suspect(first, 4.1)
        self.assertNotEqual(first, self.asked(node, 12.0))
        self.assertEqual(first, self.asked(node, 12.2))
        node.suspect(first, 40)
        self.assertEqual(first, self.asked(node, 44.1))

    def asked(self, node: SourceChoice, now_s: float) -> str:
        member = node.whom_to_ask(now_s, is_blind=False)
        return '' if member is None else member.instance_id

    def test_who_asks_in_vain_asks_others_also_far_away(self) -> None:
        """The store turns a node away and serves others.

        Its callers would be refused although another node knows what is
        newest.
        """
        source = next(
            choice(member.instance_id)
            for member in MEMBERS[:5]
            if choice(member.instance_id).is_source(0)
        )
        near = source.whom_to_ask(0, is_blind=True)
        self.assertEqual('a', near.domain)
        for member in MEMBERS[:5]:
            source.suspect(member.instance_id, 0)
        far = source.whom_to_ask(0, is_blind=True)
        self.assertEqual('b', far.domain)
