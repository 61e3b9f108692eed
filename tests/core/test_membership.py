"""Each node knows who is alive, at a cost that does not grow with them."""

import random

import attrs
import testtools
from hypothesis import given, settings, strategies

from dandelionyoke_core import (
    Domain,
    GossipSettings,
    Instance,
    InstanceId,
    Leaving,
    LinkSettings,
    MembershipPart,
    MembershipSettings,
    PeerConnected,
    PeerMessageArrived,
    RecordBatch,
    RecordEntry,
    RecordLearned,
    RecordSummary,
    SendPeer,
    SharedRecord,
    ShareRecord,
    Started,
    TopologySettings,
    Woken,
    choose_links,
    message_to_mapping,
)
from dandelionyoke_standins._spread_node import WorldSettings
from dandelionyoke_standins._spread_world import World
from tests.core.agreement import make_world

REGIONS = (('n1', 3), ('n2', 3), ('s1', 3), ('s2', 3))


def instances(*counts):
    return [
        Instance(InstanceId(f'd{place}-{number}'), Domain(f'd{place}'), '', '')
        for place, count in enumerate(counts)
        for number in range(count)
    ]


def sees_all(world) -> bool:
    names = tuple(
        sorted(node.instance.instance_id for node in world.live_nodes())
    )
    return all(node.membership.live == names for node in world.live_nodes())


def suspicions(world):
    return [
        log.subject
        for node in world.nodes.values()
        for log in node.logs
        if log.kind == 'membership.suspected'
    ]


class TopologyTest(testtools.TestCase):
    def test_links_are_few_and_connect_all(self) -> None:
        for counts, most in (
            ((1,), 0),
            ((2,), 2),
            ((1, 1, 1), 6),
            ((2, 2, 2), 9),
            ((2, 2, 2, 2), 10),
            ((11,) * 6, 16),
            ((68,) * 6, 20),
            ((1, 200), 30),
        ):
            live = instances(*counts)
            links = {own.instance_id: set() for own in live}
            for own in live:
                for peer in choose_links(own, live, TopologySettings()):
                    links[own.instance_id].add(peer)
                    links[peer].add(own.instance_id)
            self.assertLessEqual(max(map(len, links.values())), most, counts)
            self.assertEqual(set(links), self._reached(links), counts)
            for gone in list(links)[:20] if len(links) > 4 else ():
                self.assertEqual(
                    set(links) - {gone}, self._reached(links, gone), counts
                )

    def _reached(self, links, without=None):
        waiting = [next(name for name in links if name != without)]
        seen = set()
        while waiting:
            name = waiting.pop()
            if name not in seen and name != without:
                seen.add(name)
                waiting.extend(links[name])
        return seen


class LivenessTest(testtools.TestCase):
    def test_nobody_is_suspected_without_a_fault(self) -> None:
        world = make_world()
        self.assertTrue(sees_all(world))
        world.run(300)
        self.assertEqual([], suspicions(world))

    def test_a_killed_instance_is_missed(self) -> None:
        """A process is killed without a word.

        Until the others miss it, it counts for shares of limits and may be
        chosen for a duty that no one then does.
        """
        for seed in range(5):
            world = make_world(seed)
            world.kill(world.live_nodes()[seed])
            took_s = world.run_until(lambda: sees_all(world), 60)
            self.assertLess(took_s, 9)

    def test_a_paused_instance_comes_back_by_itself(self) -> None:
        """A process stops for 20 s, as on a busy machine.

        It is missed, and after it wakes it has to count again at once; nor
        may it take all others for dead because it heard nothing.
        """
        for seed in range(5):
            world = make_world(seed)
            node = world.live_nodes()[seed]
            name = node.instance.instance_id
            world.pause(node, 20)
            world.run(19)
            self.assertFalse(sees_all(world))
            world.run(1.01)
            self.assertLess(world.run_until(lambda: sees_all(world), 60), 5)
            self.assertEqual({name}, set(suspicions(world)))
            world.run(60)
            self.assertTrue(sees_all(world))

    def test_a_short_pause_goes_unnoticed(self) -> None:
        world = make_world()
        world.pause(world.live_nodes()[0], 4)
        world.run(30)
        self.assertEqual([], suspicions(world))

    def test_regions_that_lost_each_other(self) -> None:
        """The line between two regions is down for an hour.

        Each goes on with its own instances. The platform's list shows all
        of them the whole time, and afterwards no one starts anew: unless
        the dead are tried now and then, the regions stay apart for good.
        """
        world = make_world(domains=REGIONS)
        for north in ('n1', 'n2'):
            for south in ('s1', 's2'):
                world.cut(north, south)
        world.run(60)
        self.assertEqual(
            {6}, {len(node.membership.live) for node in world.live_nodes()}
        )
        world.run(3540)
        world.heal()
        self.assertLess(world.run_until(lambda: sees_all(world), 120), 15)

    def test_two_domains_that_reach_each_other_over_a_third(self) -> None:
        """Two domains are cut apart, and a third still reaches both.

        Their instances miss each other directly but are alive; were they
        dropped, each would take over more than its share of limits.
        """
        world = make_world()
        world.cut('a', 'b')
        world.run(30)
        for _ in range(20):
            world.run(5)
            self.assertTrue(sees_all(world))
        self.assertLess(len(suspicions(world)), 150)

    def test_a_link_that_went_silent_for_good(self) -> None:
        """Something between two ends loses track of their connections.

        What is sent on them vanishes, while new ones work. The peers at
        both ends are alive and nobody may notice anything.
        """
        world = make_world()
        node = world.live_nodes()[0]
        world.silence(node)
        world.run(60)
        self.assertTrue(sees_all(world))
        self.assertEqual([], suspicions(world))

    def test_who_leaves_is_known_at_once(self) -> None:
        world = make_world()
        node = world.live_nodes()[0]
        name = node.instance.instance_id
        world.give(node, Leaving())
        world.run(0.1)
        for other in world.live_nodes():
            self.assertEqual((name,), other.membership.leaving)
            is_listed = name in other.membership.live
            self.assertEqual(other is node, is_listed)
        world.run(30)
        self.assertEqual([], suspicions(world))
        world.kill(node)
        world.run(90)
        self.assertEqual((), world.live_nodes()[0].membership.leaving)

    def test_the_list_is_out(self) -> None:
        """The platform gives no list while instances come and go.

        A new one knows its peers by its settings, the old ones hear of it
        from each other; nobody may wait for the list.
        """
        world = make_world()
        world.list_is_out = True
        seed = world.live_nodes()[0].instance
        world.settings = attrs.evolve(
            world.settings,
            membership=MembershipSettings(seeds=(seed,)),
        )
        world.kill(world.live_nodes()[5])
        world.start('new', 'b')
        self.assertLess(world.run_until(lambda: sees_all(world), 60), 9)
        world.run(60)
        self.assertTrue(sees_all(world))

    def test_a_restart_with_a_clock_that_runs_behind(self) -> None:
        """An instance restarts under its name with a lower incarnation.

        Its peers hold a newer record of its past life; it has to outbid
        that, or it is left out for as long as the record lives.
        """
        world = make_world()
        world.run(100)
        node = world.live_nodes()[0]
        world.kill(node)
        world.run(20)
        world.start(
            node.instance.instance_id, node.instance.domain, incarnation=0
        )
        self.assertLess(world.run_until(lambda: sees_all(world), 60), 5)


class GossipTest(testtools.TestCase):
    def test_a_record_reaches_its_scope_once(self) -> None:
        for everywhere, count in ((True, 12), (False, 4)):
            world = make_world()
            record = SharedRecord('load/x', version=1, lifetime_s=5)
            for node in world.nodes.values():
                node.sent.clear()
                node.recorder.learned.clear()
            world.give(world.live_nodes()[0], ShareRecord(record, everywhere))
            world.run(0.1)
            heard = [
                notice
                for node in world.nodes.values()
                for notice in node.recorder.learned
                if notice.record == record
            ]
            self.assertEqual(count - 1, len(heard))
            sent = sum(n.sent['RecordBatch'] for n in world.nodes.values())
            self.assertLess(sent, count * 10)

    def test_what_was_missed_in_a_cut_is_made_up(self) -> None:
        """A record is shared while a domain is cut off.

        It must still arrive after the cut, as long as it lives.
        """
        world = make_world()
        for other in ('b', 'c'):
            world.cut('a', other)
        world.run(20)
        for name, lifetime_s in (('long', 500), ('short', 10)):
            record = SharedRecord(name, version=1, lifetime_s=lifetime_s)
            world.give(
                world.nodes[InstanceId('b-0')], ShareRecord(record, True)
            )
        world.run(20)
        world.heal()
        world.run(40)
        for node in world.live_nodes():
            names = [n.record.record_key for n in node.recorder.learned]
            if node.instance.domain == 'a':
                self.assertIn('long', names)
                self.assertNotIn('short', names)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('xyz'),
                strategies.integers(0, 5),
            )
        )
    )
    @settings(deadline=None)
    def test_the_highest_version_wins(self, script) -> None:
        """Records arrive over many ways, late and in any order.

        Whoever took an older one would act on what is no longer so, and
        would pass it on to others.
        """
        part = MembershipPart(
            MembershipSettings(), instances(1)[0], 1, random.Random(1)
        )
        part.handle(Started(0), 0)
        naive: dict[str, int] = {}
        for name, version in script:
            record = SharedRecord(name, version, 60)
            entry = RecordEntry(message_to_mapping(record), True, 60)
            outputs = part.handle(
                PeerMessageArrived(InstanceId('p'), RecordBatch((entry,))), 1
            )
            learned = [o for o in outputs if isinstance(o, RecordLearned)]
            is_newer = version > naive.get(name, -1)
            self.assertEqual(is_newer, bool(learned))
            naive[name] = max(version, naive.get(name, -1))

    def test_a_lifetime_is_not_begun_anew_by_each_who_hears(self) -> None:
        """A record has lived for most of its time when a node hears of it.

        Passed on for its whole lifetime each time, it would go round among
        nodes that meet for ever, long after what it says has ended.
        """
        for remaining_s, count in ((1, 0), (30, 1)):
            part = MembershipPart(
                MembershipSettings(), instances(1)[0], 1, random.Random(1)
            )
            part.handle(Started(0), 0)
            record = SharedRecord('x', 1, lifetime_s=60)
            entry = RecordEntry(message_to_mapping(record), True, remaining_s)
            batch = RecordBatch((entry,))
            part.handle(PeerMessageArrived(InstanceId('p'), batch), 1)
            part.handle(Woken(), 5)
            hello = RecordSummary(instances(2)[1], {'member/d0-0': 2 << 20})
            outputs = part.handle(
                PeerMessageArrived(InstanceId('d0-1'), hello), 5
            )
            passed_on = [
                entry
                for output in outputs
                if isinstance(output, SendPeer)
                and isinstance(output.message, RecordBatch)
                for entry in output.message.entries
            ]
            self.assertEqual(count, len(passed_on))

    def test_tables_and_links_are_bounded(self) -> None:
        """A peer sends records, or opens links, without end.

        Memory must not grow with them; records that are known already
        still get their new versions.
        """
        part = MembershipPart(
            MembershipSettings(
                gossip=GossipSettings(max_records=10),
                links=LinkSettings(max_links=3),
            ),
            instances(1)[0],
            1,
            random.Random(1),
        )
        part.handle(Started(0), 0)
        taken = 0
        for number in range(30):
            for version in (1, 2):
                record = SharedRecord(f'{number}', version, 60)
                entry = RecordEntry(message_to_mapping(record), True, 60)
                batch = RecordBatch((entry, RecordEntry({}, True, 1)))
                outputs = part.handle(
                    PeerMessageArrived(InstanceId('p'), batch), 1
                )
                taken += len(outputs)
        self.assertEqual(2 * 9, taken)
        greeted = [
            output
            for number in range(9)
            for output in part.handle(PeerConnected(InstanceId(f'{number}')), 1)
            if isinstance(output, SendPeer)
        ]
        self.assertEqual(3, len(greeted))


class SeededTest(testtools.TestCase):
    def test_a_run_follows_from_its_seed(self) -> None:
        runs = []
        for _ in range(2):
            world = World(7, WorldSettings((('a', 3), ('b', 2))))
            world.run(30)
            world.kill(world.live_nodes()[1])
            world.run(30)
            runs.append(
                [
                    (sorted(node.sent.items()), node.recorder.peers)
                    for node in world.nodes.values()
                ]
            )
        self.assertEqual(runs[0], runs[1])
