"""Commits are made once, reach every node, and are never rolled back."""

import copy
import itertools
import random

import testtools
from hypothesis import given, settings, strategies

from dandelionyoke_core import (
    ApiKey,
    Change,
    ChangeId,
    Committed,
    Committer,
    ConfigurationError,
    ConfigurationInForce,
    ConfigurationNews,
    ConfigurationOffered,
    ConfigurationPart,
    ConfigurationSettings,
    ConfigurationWanted,
    Conflicted,
    Domain,
    Head,
    InstanceId,
    KeyRevoked,
    KeysPart,
    Model,
    ModelName,
    Organisation,
    OrganisationId,
    Output,
    PeerConnected,
    PeerMessageArrived,
    Put,
    RecordReceived,
    RefusalKind,
    Rejected,
    Remove,
    Section,
    SendPeer,
    Service,
    ServiceName,
    Snapshot,
    Started,
    StoreGet,
    StoreItem,
    StoreResponded,
    StoreWatch,
    TaskFailed,
    TimerFired,
    apply_change,
    diff_snapshots,
    hash_key,
    record_to_json,
    validate,
)
from dandelionyoke_standins._spread_node import PropagationSettings
from dandelionyoke_standins._spread_store import VirtualStore
from dandelionyoke_standins._spread_world import PropagationSimulation
from tests.core.agreement import (
    ADD_DUKA,
    DUKA,
    DUKA_KEY,
    SMALL,
    WITHDRAW,
    all_at,
    commit,
    history,
    make_simulation,
    propose,
    reweigh,
    step,
)

FAULTS = ('', 'lost', 'dropped', 'late')


def change_at(revision, operations):
    return Change(ChangeId(f'c{revision}'), revision, 'op', '', 0, operations)


# A history that adds and removes keys, with the snapshot at each revision.
def make_history(length):
    operations = [ADD_DUKA]
    for number in range(1, length):
        key = ApiKey(hash_key(f'key {number // 2}'), DUKA.organisation_id)
        is_removal = number % 2 == 0 and number > 1
        previous = hash_key(f'key {(number - 1) // 2}')
        operations.append(
            (Remove(Section.KEY, previous),) if is_removal else (Put(key),)
        )
    changes = [
        change_at(revision, content)
        for revision, content in enumerate(operations, start=1)
    ]
    snapshots = list(
        itertools.accumulate(changes, apply_change, initial=Snapshot())
    )
    return changes, snapshots


def make_store(changes):
    store = VirtualStore()
    for number in range(changes):
        commit(store, f'before {number}', settings=SMALL)
    return store


class ChangesTest(testtools.TestCase):
    @given(strategies.data())
    def test_applying_a_difference_yields_the_new_snapshot(self, data) -> None:
        names = strategies.sampled_from(['x', 'y', 'z'])
        weights = strategies.integers(1, 3)
        old, new = (
            Snapshot(
                revision=revision,
                organisations={
                    OrganisationId(name): Organisation(
                        OrganisationId(name), weight=weight
                    )
                    for name, weight in content.items()
                },
            )
            for revision, content in enumerate(
                data.draw(
                    strategies.tuples(
                        strategies.dictionaries(names, weights),
                        strategies.dictionaries(names, weights),
                    )
                )
            )
        )
        self.assertEqual(
            new, apply_change(old, change_at(1, diff_snapshots(old, new)))
        )

    def test_a_change_that_does_not_apply_is_refused(self) -> None:
        for change in (
            change_at(2, ()),
            change_at(1, (Remove(Section.MODEL, 'none'),)),
        ):
            self.assertRaises(
                ConfigurationError, apply_change, Snapshot(), change
            )

    def test_each_problem_names_its_subject_and_a_remedy(self) -> None:
        name = OrganisationId('x')
        service = ServiceName('s')
        for entity, subject in (
            (Organisation(name, priority=10), 'organisation x'),
            (Organisation(name, weight=0), 'organisation x'),
            (Organisation(name, knowledge_age_limit_s=0), 'organisation x'),
            (ApiKey('a' * 64, OrganisationId('gone')), 'key aaaaaaaa'),
            (ApiKey('plain text', DUKA.organisation_id), 'key plain te'),
            (Service(service, reclaimable_share=1.5), 'service s'),
            (Service(service, min_targets=3, max_targets=2), 'service s'),
            (Service(service, unrepeatable=('invoices',)), 'service s'),
            (Model(ModelName('m'), ServiceName('gone')), 'model m'),
        ):
            change = change_at(1, (Put(DUKA), Put(entity)))
            (problem,) = validate(apply_change(Snapshot(), change))
            self.assertEqual(subject, problem.subject)
            self.assertTrue(problem.remedy)


class CommitterTest(testtools.TestCase):
    def test_racing_operators_in_every_order(self) -> None:
        """Two operators commit a change concurrently, with store faults.

        In any order of their calls, a change reported as committed must be
        stored exactly once, and one reported as a conflict not at all.
        """
        starts = {initial: make_store(initial) for initial in (0, 1, 4)}
        for initial, bases, faults in itertools.product(
            starts,
            ((None, None), (0, 0), (0, None)),
            itertools.product(FAULTS, repeat=2),
        ):
            for order in itertools.product((0, 1), repeat=6):
                store = copy.deepcopy(starts[initial])
                self._run_race(store, initial, bases, faults, order)

    def _run_race(self, store, initial, bases, faults, order) -> None:
        planned = [None if base is None else initial + base for base in bases]
        committers = [
            Committer(propose(f'racer {number}', base), SMALL)
            for number, base in enumerate(planned)
        ]
        store.write_faults.extend(faults)
        pending = [committer.begin() for committer in committers]
        for turn in itertools.chain(order, itertools.cycle((0, 1))):
            if not any(pending):
                break
            if pending[turn]:
                pending[turn] = step(committers[turn], store, pending[turn])
        context = f'{initial} {planned} {faults} {order}'
        self._check(store, initial, committers, context)

    def _check(self, store, initial, committers, context) -> None:
        committed = history(store, SMALL)
        names = [change.change_id for change in committed]
        self.assertEqual(
            list(range(1, len(committed) + 1)),
            [change.revision for change in committed],
            context,
        )
        for number, committer in enumerate(committers):
            count = names.count(ChangeId(f'racer {number}'))
            match committer.outcome:
                case Committed(change=change):
                    self.assertEqual(1, count, context)
                    self.assertIn(change, committed, context)
                case Conflicted(changes_since=since):
                    self.assertEqual(0, count, context)
                    self.assertEqual(committed[initial:], since, context)
                case _:
                    self.fail(f'{committer.outcome} {context}')

    def test_any_sequence_of_faults_commits_a_change_once(self) -> None:
        """A write of the store succeeds, but its answer is lost.

        Writing again would commit the change twice, and giving up would
        leave the outcome unknown.
        """
        for initial, faults in itertools.product(
            (0, 3, 4), itertools.product(FAULTS, repeat=4)
        ):
            store = make_store(initial)
            store.write_faults.extend(faults)
            outcome = commit(store, 'mine', settings=SMALL)
            self.assertIsInstance(outcome, Committed, faults)
            names = [change.change_id for change in history(store, SMALL)]
            self.assertEqual(1, names.count(ChangeId('mine')), faults)

    def test_a_change_that_left_the_head_is_found_again(self) -> None:
        """The answer to a commit is lost, and many other changes follow.

        When the operator reads again, the head no longer holds the change
        and a snapshot includes it. Committing it again would undo later
        changes.
        """
        store = VirtualStore()
        committer = Committer(propose('mine', None), SMALL)
        calls = committer.begin()
        calls = step(committer, store, calls)
        store.write_faults.append('lost')
        calls = step(committer, store, calls)
        for number in range(9):
            commit(store, f'other {number}', settings=SMALL)
        while calls:
            calls = step(committer, store, calls)
        self.assertEqual(1, committer.outcome.change.revision)
        self.assertEqual(10, len(history(store, SMALL)))

    def test_a_repeated_proposal_is_committed_once(self) -> None:
        store = VirtualStore()
        for base in (0, None, 0):
            outcome = commit(store, 'mine', base=base)
            self.assertEqual(1, outcome.change.revision)

    def test_doubt_is_reported_only_after_a_write_was_sent(self) -> None:
        """The store is down while an operator commits a change.

        If no write was sent, the change certainly did not happen. If a write
        was sent and nothing can be read, it may have happened.
        """
        store = VirtualStore()
        store.is_unavailable = True
        self.assertEqual(
            TaskFailed('unavailable', False), commit(store, 'mine')
        )
        store.is_unavailable = False
        committer = Committer(propose('mine', None))
        calls = step(committer, store, committer.begin())
        store.write_faults.append('lost')
        calls = step(committer, store, calls)
        store.is_unavailable = True
        while calls:
            calls = step(committer, store, calls)
        self.assertEqual(TaskFailed('unavailable', True), committer.outcome)

    def test_an_invalid_configuration_is_not_written(self) -> None:
        store = VirtualStore()
        big = tuple(
            Put(Organisation(OrganisationId(f'{number:0100}')))
            for number in range(4000)
        )
        for operations in ((Put(DUKA_KEY),), WITHDRAW, big):
            outcome = commit(store, 'wrong', operations)
            self.assertIsInstance(outcome, Rejected)
            self.assertTrue(outcome.problems)
        self.assertEqual(0, store.revision)

    def test_old_snapshots_are_deleted_and_changes_kept(self) -> None:
        store = VirtualStore()
        for number in range(40):
            commit(store, f'{number}', reweigh(number + 1))
        kept = [
            key
            for key, item in store.items.items()
            if item.value is not None and key.startswith('config/snapshot/')
        ]
        self.assertEqual(2, len(kept))
        self.assertEqual(40, len(history(store)))


class FixedPeers:
    live = live_in_domain = (InstanceId('me'), InstanceId('you'))


class MonotonicRevisionTest(testtools.TestCase):
    changes, snapshots = make_history(12)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['news', 'offer', 'read', 'load', 'wake']
                ),
                strategies.integers(0, 12),
                strategies.integers(0, 12),
            ),
            max_size=30,
        )
    )
    @settings(max_examples=300, deadline=None)
    def test_announcements_in_any_order_never_go_back(self, script) -> None:
        """Announcements are late, duplicated, have gaps, or the store lags.

        Applying an older revision would make a withdrawn key valid again.
        The configuration in force must equal the snapshot at its revision.
        """
        part = ConfigurationPart(
            ConfigurationSettings(),
            FixedPeers(),
            random.Random(1),
            InstanceId('me'),
            Domain('d'),
        )
        outputs: list[Output] = part.handle(Started(0), 0)
        now_s = 0.0
        for kind, first, last in script:
            now_s += 1
            for event in self._events(
                part, kind, min(first, last), last, outputs
            ):
                outputs.extend(part.handle(event, now_s))
            self.assertEqual(
                self.snapshots[part.snapshot.revision], part.snapshot
            )
        self._check(part, outputs)

    def _events(self, part, kind, first, last, outputs):
        changes = tuple(self.changes[first:last])
        peer = InstanceId('you')
        if kind == 'news':
            news = ConfigurationNews('config/news', last, 9, changes)
            return [RecordReceived(news, peer)]
        if kind == 'offer':
            asked = [
                output.message.question_number
                for output in outputs
                if isinstance(output, SendPeer)
                and isinstance(output.message, ConfigurationWanted)
            ]
            offer = ConfigurationOffered(
                asked[-1] if asked else 0,
                last,
                1,
                changes,
                self.snapshots[last] if first % 2 else None,
            )
            return [PeerMessageArrived(peer, offer)]
        if kind == 'wake':
            return [PeerConnected(peer), TimerFired()]
        return self._answers(outputs, first, last)

    def _answers(self, outputs, first, last):
        calls = [
            call for call in outputs if isinstance(call, StoreGet | StoreWatch)
        ]
        if isinstance(calls[-1], StoreWatch):
            return []
        key = calls[-1].key
        if key == 'config/head':
            head = Head(last, first, changes=tuple(self.changes[first:last]))
            text = record_to_json(head)
        elif key.startswith('config/snapshot/'):
            text = record_to_json(self.snapshots[int(key.split('/')[-1])])
        item = StoreItem(key, last + 1, text)
        return [StoreResponded(calls[-1].operation_id, item)]

    def _check(self, part, outputs) -> None:
        in_force = [
            notice.snapshot.revision
            for notice in outputs
            if isinstance(notice, ConfigurationInForce)
        ]
        self.assertEqual(sorted(set(in_force)), in_force)
        seen = [0, *in_force]
        self.assertEqual(
            sorted(
                key
                for old, new in itertools.pairwise(seen)
                for key in self.snapshots[old].keys.keys()
                - self.snapshots[new].keys.keys()
            ),
            sorted(
                notice.key_hash
                for notice in outputs
                if isinstance(notice, KeyRevoked)
            ),
        )


class AgeTest(testtools.TestCase):
    def test_a_buffered_answer_counts_from_its_query(self) -> None:
        """A process is paused between a query and its buffered answer.

        With the age counted from the arrival, an old configuration would look
        fresh, and an organisation with a knowledge age limit would be served
        beyond it.
        """
        part = ConfigurationPart(
            ConfigurationSettings(),
            FixedPeers(),
            random.Random(1),
            InstanceId('me'),
            Domain('d'),
        )
        self.assertIsNone(part.knowledge_age_s(0))
        part.handle(Started(0), 0)
        part.handle(PeerConnected(InstanceId('you')), 0)
        offer = ConfigurationOffered(1, 0, age_s=1)
        stranger = PeerMessageArrived(InstanceId('they'), offer)
        part.handle(stranger, 1)
        self.assertIsNone(part.knowledge_age_s(1))
        part.handle(PeerMessageArrived(InstanceId('you'), offer), 100)
        self.assertEqual(101, part.knowledge_age_s(100))


class PropagationTest(testtools.TestCase):
    def test_a_partitioned_node_recovers(self) -> None:
        """A domain is partitioned from the platform and the other domains.

        It keeps serving with its old configuration and reports its age, so a
        withdrawn key still works there. After the partition heals, the key
        must stop working within seconds.
        """
        simulation = make_simulation()
        commit(simulation.store, 'first')
        simulation.run(1)
        for other in ('b', 'c', 'platform'):
            simulation.partition('a', other)
        commit(simulation.store, 'second', WITHDRAW)
        simulation.run(100)
        revisions = {
            node.instance.domain: node.revision
            for node in simulation.live_nodes()
        }
        self.assertEqual({'a': 1, 'b': 2, 'c': 2}, revisions)
        ages = [
            node.configuration.knowledge_age_s(simulation.now_s)
            for node in simulation.live_nodes()
            if node.instance.domain == 'a'
        ]
        self.assertTrue(all(100 <= age_s < 140 for age_s in ages), ages)
        simulation.end_partitions()
        self.assertLess(
            simulation.run_until(lambda: all_at(simulation, 2), 60), 7
        )

    def test_a_node_paused_during_ten_changes(self) -> None:
        """A process is paused while an operator commits ten changes.

        It resumes with old announcements in its buffers, and must not serve
        withdrawn keys for long.
        """
        for seed in range(5):
            simulation = make_simulation(seed)
            commit(simulation.store, 'first')
            simulation.run(1)
            node = simulation.live_nodes()[seed]
            simulation.pause(node, 20)
            for number in range(10):
                commit(simulation.store, f'{number}', reweigh(number + 2))
                simulation.run(1.5)
            self.assertEqual(1, node.revision)
            simulation.run(5.1)
            took_s = simulation.run_until(lambda: all_at(simulation, 11), 60)
            self.assertLess(took_s, 2)
            logged = [
                log.subject
                for log in node.logs
                if log.kind == 'configuration.in_force'
            ]
            self.assertEqual(
                [str(revision) for revision in range(1, 12)], logged
            )

    def test_a_node_that_missed_more_changes_than_peers_keep(self) -> None:
        """A process is paused until peers no longer keep the changes.

        A node that waited for the missing changes would never catch up, so
        it must read the snapshot.
        """
        simulation = make_simulation()
        node = simulation.live_nodes()[0]
        simulation.pause(node, 60)
        commit(simulation.store, 'first')
        for number in range(80):
            commit(simulation.store, f'{number}', reweigh(number + 1))
            simulation.run(0.25)
        simulation.run(40)
        took_s = simulation.run_until(lambda: all_at(simulation, 81), 60)
        self.assertLess(took_s, 4)

    def test_a_new_instance_during_a_platform_outage(self) -> None:
        """An instance is replaced while the platform is down.

        It must get the configuration from its peers. Otherwise it would
        refuse callers that the system could serve.
        """
        simulation = make_simulation()
        commit(simulation.store, 'first')
        for number in range(80):
            commit(simulation.store, f'{number}', reweigh(number + 1))
        simulation.run(5)
        simulation.store.is_unavailable = True
        simulation.run(30)
        node = simulation.start('fresh', 'a')
        took_s = simulation.run_until(lambda: node.revision == 81, 60)
        self.assertLess(took_s, 4)
        simulation.run(1)
        age_s = node.configuration.knowledge_age_s(simulation.now_s)
        self.assertGreater(age_s, 29)

    def test_a_new_instance_that_reaches_nobody(self) -> None:
        """An instance starts partitioned from all peers and the platform.

        It knows no keys. A caller must be told that no configuration is
        known, not that its key is invalid.
        """
        simulation = PropagationSimulation(1, PropagationSettings((('a', 1),)))
        simulation.partition('a', 'platform')
        commit(simulation.store, 'first')
        simulation.run(100)
        (node,) = simulation.live_nodes()
        keys = KeysPart(node.configuration)
        refusal = keys.authenticate('secret', simulation.now_s)
        self.assertEqual(RefusalKind.NO_KNOWLEDGE, refusal.kind)
        simulation.end_partitions()
        simulation.run(10)
        identity = keys.authenticate('secret', simulation.now_s)
        self.assertEqual(DUKA, identity.organisation)

    def test_a_withdrawn_key_during_a_partition_between_domains(self) -> None:
        """Two domains are partitioned, one of them from the platform too.

        The third domain reaches both, so a withdrawn key must still stop
        working in the partitioned one within seconds.
        """
        simulation = make_simulation()
        commit(simulation.store, 'first')
        simulation.run(5)
        simulation.partition('a', 'b')
        simulation.partition('a', 'platform')
        simulation.run(30)
        commit(simulation.store, 'second', WITHDRAW)
        begun_s = simulation.now_s
        simulation.run(7)
        for node in simulation.live_nodes():
            withdrawn_s = node.recorder.withdrawn[DUKA_KEY.key_hash]
            self.assertLess(withdrawn_s - begun_s, 7)

    def test_all_watchers_of_a_domain_are_paused(self) -> None:
        """All instances of a domain that watch the store are paused.

        The rest of the domain must learn of the change from other domains.
        Otherwise a withdrawn key would work there until the watchers resume.
        """
        simulation = make_simulation()
        commit(simulation.store, 'first')
        simulation.run(20)
        watchers = [
            node
            for node in simulation.live_nodes()
            if node.instance.domain == 'a'
        ]
        for node in watchers[:3]:
            simulation.pause(node, 30)
        commit(simulation.store, 'second', WITHDRAW)
        took_s = simulation.run_until(
            lambda: all(
                node.revision == 2 or node.is_paused
                for node in simulation.live_nodes()
            ),
            60,
        )
        self.assertLess(took_s, 7)

    def test_any_sequence_of_faults_ends_in_agreement(self) -> None:
        """Partitions, pauses, kills and outages happen in random order.

        No node may go back to an older revision, and after the faults end
        every node must have the newest one within seconds.
        """
        for seed in range(12):
            simulation = make_simulation(seed)
            rng = random.Random(seed)
            for number in range(12):
                self._inject_fault(simulation, rng, number)
                commit(simulation.store, f'{number}', reweigh(number + 1))
                simulation.run(rng.uniform(0, 10))
            simulation.end_partitions()
            simulation.store.is_unavailable = False
            commit(simulation.store, 'last', reweigh(50))
            last = history(simulation.store)[-1].revision
            simulation.run(20)
            took_s = simulation.run_until(lambda: all_at(simulation, last), 120)
            self.assertEqual(0, took_s, seed)
            for node in simulation.nodes.values():
                revisions = [at for _, at in node.recorder.in_force]
                self.assertEqual(sorted(set(revisions)), revisions)

    def _inject_fault(self, simulation, rng, number) -> None:
        domains = ['a', 'b', 'c', 'platform']
        node = rng.choice(simulation.live_nodes())
        match rng.randrange(6):
            case 0:
                simulation.partition(*rng.sample(domains, 2))
            case 1:
                simulation.end_partitions()
            case 2:
                simulation.pause(node, rng.uniform(1, 30))
            case 3:
                simulation.kill(node)
                simulation.start(f'new-{number}', node.instance.domain)
            case 4:
                simulation.store.is_unavailable = (
                    not simulation.store.is_unavailable
                )
            case 5:
                simulation.store.write_faults.append('lost')
