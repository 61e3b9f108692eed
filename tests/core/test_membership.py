"""Tests of membership: link topology, failure detection and gossip."""

import random

import attrs
import testtools
from hypothesis import given, settings, strategies

from dandelionyoke_core import (
    DisconnectPeer,
    Domain,
    GossipSettings,
    Heartbeat,
    Instance,
    InstanceId,
    Leaving,
    LinkSettings,
    MembershipPart,
    MembershipSettings,
    PeerConnected,
    PeerMessageArrived,
    ProcessStalled,
    RecordBatch,
    RecordEntry,
    RecordReceived,
    RecordSummary,
    ReplicateRecord,
    SendPeer,
    SharedRecord,
    Started,
    TimerFired,
    TopologySettings,
    choose_links,
    message_to_mapping,
)
from dandelionyoke_standins._spread_node import PropagationSettings
from dandelionyoke_standins._spread_world import PropagationSimulation
from tests.core.agreement import make_simulation

REGIONS = (('n1', 3), ('n2', 3), ('s1', 3), ('s2', 3))


def instances(*counts):
    return [
        Instance(
            InstanceId(f'd{domain_index}-{number}'),
            Domain(f'd{domain_index}'),
            '',
            '',
        )
        for domain_index, count in enumerate(counts)
        for number in range(count)
    ]


def all_views_agree(simulation) -> bool:
    names = tuple(
        sorted(node.instance.instance_id for node in simulation.live_nodes())
    )
    return all(
        node.membership.live == names for node in simulation.live_nodes()
    )


def suspected_ids(simulation):
    return [
        log.subject
        for node in simulation.nodes.values()
        for log in node.logs
        if log.kind == 'membership.suspected'
    ]


class TopologyTest(testtools.TestCase):
    def test_links_are_bounded_and_keep_instances_connected(self) -> None:
        for counts, link_limit in (
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
            self.assertLessEqual(
                max(map(len, links.values())), link_limit, counts
            )
            self.assertEqual(set(links), self._reachable(links), counts)
            for removed in list(links)[:20] if len(links) > 4 else ():
                self.assertEqual(
                    set(links) - {removed},
                    self._reachable(links, removed),
                    counts,
                )

    def _reachable(self, links, excluded=None):
        pending = [next(name for name in links if name != excluded)]
        reached = set()
        while pending:
            name = pending.pop()
            if name not in reached and name != excluded:
                reached.add(name)
                pending.extend(links[name])
        return reached


class LivenessTest(testtools.TestCase):
    def test_no_instance_is_suspected_without_a_fault(self) -> None:
        simulation = make_simulation()
        self.assertTrue(all_views_agree(simulation))
        simulation.run(300)
        self.assertEqual([], suspected_ids(simulation))

    def test_a_killed_instance_is_detected(self) -> None:
        """A process is killed and sends no leave announcement.

        Until the other instances detect it, it still counts in the division
        of limits and may be selected for a duty that it cannot perform.
        """
        for seed in range(5):
            simulation = make_simulation(seed)
            simulation.kill(simulation.live_nodes()[seed])
            elapsed_s = simulation.run_until(
                lambda: all_views_agree(simulation), 60
            )
            self.assertLess(elapsed_s, 9)

    def test_a_paused_instance_rejoins_after_the_pause(self) -> None:
        """A process is paused for 20 s, as on an overloaded machine.

        It is suspected, and must count as live again soon after it resumes.
        It must not suspect the other instances because it received nothing
        during the pause.
        """
        for seed in range(5):
            simulation = make_simulation(seed)
            node = simulation.live_nodes()[seed]
            name = node.instance.instance_id
            simulation.pause(node, 20)
            simulation.run(19)
            self.assertFalse(all_views_agree(simulation))
            simulation.run(1.01)
            self.assertLess(
                simulation.run_until(lambda: all_views_agree(simulation), 60), 5
            )
            self.assertEqual({name}, set(suspected_ids(simulation)))
            simulation.run(60)
            self.assertTrue(all_views_agree(simulation))

    def test_a_short_pause_causes_no_suspicion(self) -> None:
        simulation = make_simulation()
        simulation.pause(simulation.live_nodes()[0], 4)
        simulation.run(30)
        self.assertEqual([], suspected_ids(simulation))

    def test_a_standstill_of_this_entry_closes_no_link(self) -> None:
        """This entry stands still for 2 s after a second without a message.

        Its peer went on, and its messages wait to be read.
        """
        part = MembershipPart(
            MembershipSettings(), instances(1)[0], 1, random.Random(1)
        )
        peer = InstanceId('p')
        part.handle(Started(0), 0)
        part.handle(PeerConnected(peer), 0.1)
        for tick in range(11):
            part.handle(TimerFired(), 0.2 + tick / 10)
        stalled = part.handle(ProcessStalled(2), 3.2)
        heard = part.handle(PeerMessageArrived(peer, Heartbeat(1)), 3.2)
        self.assertNotIn(DisconnectPeer(peer), stalled + heard)
        for tick in range(40):
            heard += part.handle(TimerFired(), 3.2 + tick / 10)
        self.assertIn(DisconnectPeer(peer), heard)

    def test_partitioned_regions_reconnect(self) -> None:
        """Two regions are partitioned for an hour.

        Each continues with its own instances. The platform's list shows all
        instances the whole time, and no instance restarts afterwards. Unless
        instances presumed dead are probed, the regions never reconnect.
        """
        simulation = make_simulation(domains=REGIONS)
        for north in ('n1', 'n2'):
            for south in ('s1', 's2'):
                simulation.partition(north, south)
        simulation.run(60)
        self.assertEqual(
            {6}, {len(node.membership.live) for node in simulation.live_nodes()}
        )
        simulation.run(3540)
        simulation.end_partitions()
        self.assertLess(
            simulation.run_until(lambda: all_views_agree(simulation), 120), 15
        )

    def test_domains_connected_through_a_third_stay_live(self) -> None:
        """Two domains cannot reach each other, and a third reaches both.

        Their instances suspect each other but are live. If they were
        removed, each domain would use more than its share of the limits.
        """
        simulation = make_simulation()
        simulation.partition('a', 'b')
        simulation.run(30)
        for _ in range(20):
            simulation.run(5)
            self.assertTrue(all_views_agree(simulation))
        self.assertLess(len(suspected_ids(simulation)), 150)

    def test_a_link_that_silently_drops_messages(self) -> None:
        """A middlebox drops the state of established connections.

        Messages on them are lost, while new connections work. The peers at
        both ends are live, and none may be suspected.
        """
        simulation = make_simulation()
        node = simulation.live_nodes()[0]
        simulation.drop_messages(node)
        simulation.run(60)
        self.assertTrue(all_views_agree(simulation))
        self.assertEqual([], suspected_ids(simulation))

    def test_a_leaving_instance_is_known_immediately(self) -> None:
        simulation = make_simulation()
        node = simulation.live_nodes()[0]
        name = node.instance.instance_id
        simulation.deliver(node, Leaving())
        simulation.run(0.1)
        for other in simulation.live_nodes():
            self.assertEqual((name,), other.membership.leaving)
            is_listed = name in other.membership.live
            self.assertEqual(other is node, is_listed)
        simulation.run(30)
        self.assertEqual([], suspected_ids(simulation))
        simulation.kill(node)
        simulation.run(90)
        self.assertEqual((), simulation.live_nodes()[0].membership.leaving)

    def test_membership_without_the_platform_list(self) -> None:
        """The platform's list is unavailable while instances start and stop.

        A new instance finds its peers through its settings, and the others
        learn of it by gossip. None may depend on the list.
        """
        simulation = make_simulation()
        simulation.is_listing_unavailable = True
        seed = simulation.live_nodes()[0].instance
        simulation.settings = attrs.evolve(
            simulation.settings,
            membership=MembershipSettings(seeds=(seed,)),
        )
        simulation.kill(simulation.live_nodes()[5])
        simulation.start('new', 'b')
        self.assertLess(
            simulation.run_until(lambda: all_views_agree(simulation), 60), 9
        )
        simulation.run(60)
        self.assertTrue(all_views_agree(simulation))

    def test_a_restart_with_a_lower_incarnation(self) -> None:
        """An instance restarts with its clock behind, at a lower incarnation.

        Its peers hold a record with a higher version from before the
        restart. It must announce a higher version, or it is ignored until
        that record expires.
        """
        simulation = make_simulation()
        simulation.run(100)
        node = simulation.live_nodes()[0]
        simulation.kill(node)
        simulation.run(20)
        simulation.start(
            node.instance.instance_id, node.instance.domain, incarnation=0
        )
        self.assertLess(
            simulation.run_until(lambda: all_views_agree(simulation), 60), 5
        )


class GossipTest(testtools.TestCase):
    def test_a_record_is_delivered_once_within_its_scope(self) -> None:
        for everywhere, count in ((True, 12), (False, 4)):
            simulation = make_simulation()
            record = SharedRecord('load/x', version=1, lifetime_s=5)
            for node in simulation.nodes.values():
                node.sent.clear()
                node.recorder.learned.clear()
            simulation.deliver(
                simulation.live_nodes()[0], ReplicateRecord(record, everywhere)
            )
            simulation.run(0.1)
            deliveries = [
                notice
                for node in simulation.nodes.values()
                for notice in node.recorder.learned
                if notice.record == record
            ]
            self.assertEqual(count - 1, len(deliveries))
            sent = sum(n.sent['RecordBatch'] for n in simulation.nodes.values())
            self.assertLess(sent, count * 10)

    def test_records_missed_during_a_partition_are_delivered(self) -> None:
        """A record is shared while a domain is partitioned.

        It must arrive after the partition ends, unless it has expired.
        """
        simulation = make_simulation()
        for other in ('b', 'c'):
            simulation.partition('a', other)
        simulation.run(20)
        for name, lifetime_s in (('long', 500), ('short', 10)):
            record = SharedRecord(name, version=1, lifetime_s=lifetime_s)
            simulation.deliver(
                simulation.nodes[InstanceId('b-0')],
                ReplicateRecord(record, True),
            )
        simulation.run(20)
        simulation.end_partitions()
        simulation.run(40)
        for node in simulation.live_nodes():
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
    def test_the_highest_version_wins(self, updates) -> None:
        """Records arrive over several paths, late and in any order.

        A node that accepted an older version would act on outdated data and
        relay it to others.
        """
        part = MembershipPart(
            MembershipSettings(), instances(1)[0], 1, random.Random(1)
        )
        part.handle(Started(0), 0)
        highest_versions: dict[str, int] = {}
        for name, version in updates:
            record = SharedRecord(name, version, 60)
            entry = RecordEntry(message_to_mapping(record), True, 60)
            outputs = part.handle(
                PeerMessageArrived(InstanceId('p'), RecordBatch((entry,))), 1
            )
            learned = [o for o in outputs if isinstance(o, RecordReceived)]
            is_newer = version > highest_versions.get(name, -1)
            self.assertEqual(is_newer, bool(learned))
            highest_versions[name] = max(
                version, highest_versions.get(name, -1)
            )

    def test_relaying_does_not_restart_the_lifetime(self) -> None:
        """A record is near the end of its lifetime when a node receives it.

        If each relay restarted the lifetime, the record would circulate
        forever among nodes that reconnect.
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
            part.handle(TimerFired(), 5)
            summary = RecordSummary(instances(2)[1], {'member/d0-0': 2 << 20})
            outputs = part.handle(
                PeerMessageArrived(InstanceId('d0-1'), summary), 5
            )
            relayed = [
                entry
                for output in outputs
                if isinstance(output, SendPeer)
                and isinstance(output.message, RecordBatch)
                for entry in output.message.entries
            ]
            self.assertEqual(count, len(relayed))

    def test_the_record_table_and_links_are_bounded(self) -> None:
        """A peer sends records, or opens links, without limit.

        Memory must stay bounded, and records that are already known must
        still be updated to new versions.
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


class DeterminismTest(testtools.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        runs = []
        for _ in range(2):
            simulation = PropagationSimulation(
                7, PropagationSettings((('a', 3), ('b', 2)))
            )
            simulation.run(30)
            simulation.kill(simulation.live_nodes()[1])
            simulation.run(30)
            runs.append(
                [
                    (sorted(node.sent.items()), node.recorder.peers)
                    for node in simulation.nodes.values()
                ]
            )
        self.assertEqual(runs[0], runs[1])
