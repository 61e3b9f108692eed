"""A change is made once, reaches every node, and is never taken back."""

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
    KeyWithdrawn,
    Model,
    ModelName,
    Organisation,
    OrganisationId,
    Output,
    PeerConnected,
    PeerMessageArrived,
    Put,
    RecordLearned,
    Rejected,
    Remove,
    Section,
    SendPeer,
    Service,
    ServiceName,
    Snapshot,
    Started,
    StoreAnswered,
    StoreGet,
    StoreItem,
    StoreWatch,
    Unsettled,
    Woken,
    apply_change,
    difference,
    hash_key,
    record_to_json,
    validate,
)
from dandelionyoke_standins._spread_store import VirtualStore
from tests.core.agreement import (
    ADD_DUKA,
    DUKA,
    DUKA_KEY,
    SMALL,
    WITHDRAW,
    all_at,
    commit,
    history,
    make_world,
    propose,
    reweigh,
    step,
)

FAULTS = ('', 'lost', 'dropped', 'late')


def change_at(revision, operations):
    return Change(ChangeId(f'c{revision}'), revision, 'op', '', 0, operations)


# A history in which keys come and go, and its naive reading.
def true_history(length):
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


def begin_store(changes):
    store = VirtualStore()
    for number in range(changes):
        commit(store, f'before {number}', settings=SMALL)
    return store


class ChangesTest(testtools.TestCase):
    @given(strategies.data())
    def test_the_difference_leads_from_one_to_the_other(self, data) -> None:
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
            new, apply_change(old, change_at(1, difference(old, new)))
        )

    def test_what_does_not_follow_is_refused(self) -> None:
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
        """Two operators apply a change at the same moment.

        Whatever the order of their calls, and whichever answer is lost on
        the way, each change that is said to be made is there once, and one
        that is said to be in conflict is not there at all.
        """
        starts = {before: begin_store(before) for before in (0, 1, 4)}
        for before, bases, faults in itertools.product(
            starts,
            ((None, None), (0, 0), (0, None)),
            itertools.product(FAULTS, repeat=2),
        ):
            for order in itertools.product((0, 1), repeat=6):
                store = copy.deepcopy(starts[before])
                self._race(store, before, bases, faults, order)

    def _race(self, store, before, bases, faults, order) -> None:
        planned = [None if base is None else before + base for base in bases]
        racers = [
            Committer(propose(f'racer {number}', base), SMALL)
            for number, base in enumerate(planned)
        ]
        store.write_faults.extend(faults)
        waiting = [racer.begin() for racer in racers]
        for turn in itertools.chain(order, itertools.cycle((0, 1))):
            if not any(waiting):
                break
            if waiting[turn]:
                waiting[turn] = step(racers[turn], store, waiting[turn])
        told = f'{before} {planned} {faults} {order}'
        self._check(store, before, racers, told)

    def _check(self, store, before, racers, told) -> None:
        made = history(store, SMALL)
        names = [change.change_id for change in made]
        self.assertEqual(
            list(range(1, len(made) + 1)),
            [change.revision for change in made],
            told,
        )
        for number, racer in enumerate(racers):
            count = names.count(ChangeId(f'racer {number}'))
            match racer.outcome:
                case Committed(change=change):
                    self.assertEqual(1, count, told)
                    self.assertIn(change, made, told)
                case Conflicted(changes_since=since):
                    self.assertEqual(0, count, told)
                    self.assertEqual(made[before:], since, told)
                case _:
                    self.fail(f'{racer.outcome} {told}')

    def test_lost_answers_of_any_run_of_writes(self) -> None:
        """The store takes a write, but its answer never comes.

        An operator who writes again would make the change twice; one who
        gives up would not know. Both would see it in the audit trail.
        """
        for before, faults in itertools.product(
            (0, 3, 4), itertools.product(FAULTS, repeat=4)
        ):
            store = begin_store(before)
            store.write_faults.extend(faults)
            outcome = commit(store, 'mine', settings=SMALL)
            self.assertIsInstance(outcome, Committed, faults)
            names = [change.change_id for change in history(store, SMALL)]
            self.assertEqual(1, names.count(ChangeId('mine')), faults)

    def test_a_change_that_was_overtaken_is_found_again(self) -> None:
        """An answer is lost, and many others' changes follow at once.

        By the time the operator looks, the change has left the head and a
        snapshot covers it; made again, it would undo what came after.
        """
        store = VirtualStore()
        mine = Committer(propose('mine', None), SMALL)
        calls = mine.begin()
        calls = step(mine, store, calls)
        store.write_faults.append('lost')
        calls = step(mine, store, calls)
        for number in range(9):
            commit(store, f'other {number}', settings=SMALL)
        while calls:
            calls = step(mine, store, calls)
        self.assertEqual(1, mine.outcome.change.revision)
        self.assertEqual(10, len(history(store, SMALL)))

    def test_the_same_proposal_again_is_the_same_change(self) -> None:
        store = VirtualStore()
        for base in (0, None, 0):
            outcome = commit(store, 'mine', base=base)
            self.assertEqual(1, outcome.change.revision)

    def test_a_store_that_is_out_leaves_no_doubt(self) -> None:
        """The store is down while an operator applies a change.

        Nothing was sent that could take effect, and the operator is told
        so; where a write was sent and nothing can be read, it is in doubt.
        """
        store = VirtualStore()
        store.is_out = True
        self.assertEqual(Unsettled('unavailable', False), commit(store, 'mine'))
        store.is_out = False
        mine = Committer(propose('mine', None))
        calls = step(mine, store, mine.begin())
        store.write_faults.append('lost')
        calls = step(mine, store, calls)
        store.is_out = True
        while calls:
            calls = step(mine, store, calls)
        self.assertEqual(Unsettled('unavailable', True), mine.outcome)

    def test_a_wrong_configuration_is_not_written(self) -> None:
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

    def test_old_snapshots_go_and_changes_stay(self) -> None:
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


class NeverBackTest(testtools.TestCase):
    changes, snapshots = true_history(12)

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
    def test_news_in_any_order_never_leads_back(self, script) -> None:
        """News comes late, twice, with gaps, and from a store behind peers.

        Were an older one taken, a withdrawn key would work again. Whatever
        is in force has to be what the naive reading has at that revision.
        """
        part = ConfigurationPart(
            ConfigurationSettings(),
            FixedPeers(),
            random.Random(1),
            InstanceId('me'),
            Domain('d'),
        )
        told: list[Output] = part.handle(Started(0), 0)
        now_s = 0.0
        for kind, first, last in script:
            now_s += 1
            for event in self._events(part, kind, min(first, last), last, told):
                told.extend(part.handle(event, now_s))
            self.assertEqual(
                self.snapshots[part.snapshot.revision], part.snapshot
            )
        self._check(part, told)

    def _events(self, part, kind, first, last, told):
        changes = tuple(self.changes[first:last])
        peer = InstanceId('you')
        if kind == 'news':
            news = ConfigurationNews('config/news', last, 9, changes)
            return [RecordLearned(news, peer)]
        if kind == 'offer':
            asked = [
                output.message.question_number
                for output in told
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
            return [PeerConnected(peer), Woken()]
        return self._answers(told, first, last)

    def _answers(self, told, first, last):
        calls = [
            call for call in told if isinstance(call, StoreGet | StoreWatch)
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
        return [StoreAnswered(calls[-1].operation_id, item)]

    def _check(self, part, told) -> None:
        in_force = [
            notice.snapshot.revision
            for notice in told
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
                for notice in told
                if isinstance(notice, KeyWithdrawn)
            ),
        )


class AgeTest(testtools.TestCase):
    def test_an_answer_that_lay_in_a_buffer_is_old(self) -> None:
        """A process is paused just after it asked a peer for its age.

        The answer waits for it. Counted from when it is read, old knowledge
        would look fresh, and an organisation that bounds the age of what
        its calls rest on would be served beyond its limit.
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


class SpreadTest(testtools.TestCase):
    def test_a_node_that_was_cut_off_returns(self) -> None:
        """A domain loses the platform and the others, and comes back.

        Meanwhile it serves on what it knew and shows how old that is; a
        key that was withdrawn elsewhere still works there. Once the cut is
        over it stops working within seconds.
        """
        world = make_world()
        commit(world.store, 'first')
        world.run(1)
        for other in ('b', 'c', 'platform'):
            world.cut('a', other)
        commit(world.store, 'second', WITHDRAW)
        world.run(100)
        revisions = {
            node.instance.domain: node.revision for node in world.live_nodes()
        }
        self.assertEqual({'a': 1, 'b': 2, 'c': 2}, revisions)
        ages = [
            node.configuration.knowledge_age_s(world.now_s)
            for node in world.live_nodes()
            if node.instance.domain == 'a'
        ]
        self.assertTrue(all(100 <= age_s < 140 for age_s in ages), ages)
        world.heal()
        self.assertLess(world.run_until(lambda: all_at(world, 2), 60), 7)

    def test_a_node_that_was_paused_across_ten_changes(self) -> None:
        """A process is paused while an operator makes ten changes.

        It wakes with old news in its buffers, and a caller with a key that
        was withdrawn meanwhile might be served for a while.
        """
        for seed in range(5):
            world = make_world(seed)
            commit(world.store, 'first')
            world.run(1)
            node = world.live_nodes()[seed]
            world.pause(node, 20)
            for number in range(10):
                commit(world.store, f'{number}', reweigh(number + 2))
                world.run(1.5)
            self.assertEqual(1, node.revision)
            world.run(5.1)
            took_s = world.run_until(lambda: all_at(world, 11), 60)
            self.assertLess(took_s, 2)
            logged = [
                log.subject
                for log in node.logs
                if log.kind == 'configuration.in_force'
            ]
            self.assertEqual(
                [str(revision) for revision in range(1, 12)], logged
            )

    def test_a_node_that_missed_more_than_peers_keep(self) -> None:
        """A process is paused for so long that the changes are gone.

        Peers no longer keep what it lacks, so it reads the snapshot; a
        node that waited for the missing changes would never catch up.
        """
        world = make_world()
        node = world.live_nodes()[0]
        world.pause(node, 60)
        commit(world.store, 'first')
        for number in range(80):
            commit(world.store, f'{number}', reweigh(number + 1))
            world.run(0.25)
        world.run(40)
        took_s = world.run_until(lambda: all_at(world, 81), 60)
        self.assertLess(took_s, 4)

    def test_a_fresh_instance_while_the_platform_is_out(self) -> None:
        """The platform is down, and an instance is replaced.

        The new one knows nothing but its peers do; callers that reach it
        would be refused although the system could serve them.
        """
        world = make_world()
        commit(world.store, 'first')
        for number in range(80):
            commit(world.store, f'{number}', reweigh(number + 1))
        world.run(5)
        world.store.is_out = True
        world.run(30)
        node = world.start('fresh', 'a')
        took_s = world.run_until(lambda: node.revision == 81, 60)
        self.assertLess(took_s, 4)
        world.run(1)
        age_s = node.configuration.knowledge_age_s(world.now_s)
        self.assertGreater(age_s, 29)

    def test_a_withdrawal_during_a_cut_between_domains(self) -> None:
        """Two domains lose each other and one of them the platform too.

        The third still reaches both, so a withdrawn key has to stop
        working in the cut-off one within seconds all the same.
        """
        world = make_world()
        commit(world.store, 'first')
        world.run(5)
        world.cut('a', 'b')
        world.cut('a', 'platform')
        world.run(30)
        commit(world.store, 'second', WITHDRAW)
        begun_s = world.now_s
        world.run(7)
        for node in world.live_nodes():
            withdrawn_s = node.recorder.withdrawn[DUKA_KEY.key_hash]
            self.assertLess(withdrawn_s - begun_s, 7)

    def test_all_watchers_of_a_domain_are_paused(self) -> None:
        """The very instances that wait on the store stop for a while.

        The rest of the domain has to hear of the change from the other
        domains, or a withdrawn key works on there until they come back.
        """
        world = make_world()
        commit(world.store, 'first')
        world.run(20)
        watchers = [
            node for node in world.live_nodes() if node.instance.domain == 'a'
        ]
        for node in watchers[:3]:
            world.pause(node, 30)
        commit(world.store, 'second', WITHDRAW)
        took_s = world.run_until(
            lambda: all(
                node.revision == 2 or node.is_paused
                for node in world.live_nodes()
            ),
            60,
        )
        self.assertLess(took_s, 7)

    def test_any_run_of_faults_ends_in_agreement(self) -> None:
        """Cuts, pauses, kills and outages come in any order, and twice.

        No node may go back meanwhile, and once all is mended every node
        has the newest configuration within seconds.
        """
        for seed in range(12):
            world = make_world(seed)
            dice = random.Random(seed)
            for number in range(12):
                self._disturb(world, dice, number)
                commit(world.store, f'{number}', reweigh(number + 1))
                world.run(dice.uniform(0, 10))
            world.heal()
            world.store.is_out = False
            commit(world.store, 'last', reweigh(50))
            last = history(world.store)[-1].revision
            world.run(20)
            took_s = world.run_until(lambda: all_at(world, last), 120)
            self.assertEqual(0, took_s, seed)
            for node in world.nodes.values():
                revisions = [at for _, at in node.recorder.in_force]
                self.assertEqual(sorted(set(revisions)), revisions)

    def _disturb(self, world, dice, number) -> None:
        domains = ['a', 'b', 'c', 'platform']
        node = dice.choice(world.live_nodes())
        match dice.randrange(6):
            case 0:
                world.cut(*dice.sample(domains, 2))
            case 1:
                world.heal()
            case 2:
                world.pause(node, dice.uniform(1, 30))
            case 3:
                world.kill(node)
                world.start(f'new-{number}', node.instance.domain)
            case 4:
                world.store.is_out = not world.store.is_out
            case 5:
                world.store.write_faults.append('lost')
