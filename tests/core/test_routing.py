"""Tests of routing against simple reference models."""

from collections import Counter
from random import Random

import attrs
import testtools
from hypothesis import given, settings, strategies as st

from dandelionyoke_core import (
    CacheEvent,
    CacheEventsReported,
    ListTargets,
    LoadReport,
    LoadReported,
    LoadsShared,
    NoRoute,
    PollLoad,
    Presence,
    RecordReceived,
    ReplicateRecord,
    RoutingPart,
    Target,
    TargetCrashed,
    TargetId,
    TargetKind,
    TargetLeaving,
    TargetsListed,
    TargetsShared,
    TargetUnreachable,
    TimerFired,
    WorkSize,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_core._prefix_index import PrefixBlockTable, PrefixIndex
from dandelionyoke_core._target_state import SentAttempt, TargetState
from tests.core.policy_fakes import (
    AWAY,
    HERE,
    HOME,
    FixedPeers,
    entry,
    make_requirements,
    make_routing,
    make_targets,
)

COUNT = 6
# Changes of a target that both the reference model and the part apply.
CHANGES = ('drain', 'undrain', 'leave', 'reclaim', 'miss', 'reach', 'unlist')


def report(target_id: TargetId, **fields: object) -> LoadReport:
    given = {'incarnation': 'first', 'kv_total_blocks': 4000, **fields}
    return LoadReport(engine_id=target_id, measured_s=0, **given)


def calls_at(part: RoutingPart) -> dict[TargetId, float]:
    statuses = part.target_statuses(make_requirements().service, 0)
    return {status.target.target_id: status.calls for status in statuses}


@attrs.define
class ReferenceTarget:
    """A target of the reference model, which scans the whole fleet."""

    target: Target
    draining: bool = False
    left: bool = False
    missing: bool = False
    listed: bool = True

    def apply(self, change: str) -> None:
        match change:
            case 'drain' | 'undrain':
                self.draining = change == 'drain'
                self.missing = False
            case 'leave':
                self.left = True
            case 'reclaim':
                self.target = attrs.evolve(
                    self.target, state=Presence.RECLAIMED
                )
            case 'miss' | 'reach':
                self.missing = change == 'miss'
            case 'unlist':
                self.listed = False

    def accepts(self, *, steady: bool) -> bool:
        gone = self.left or not self.listed or self.missing or self.draining
        live = self.target.state is Presence.LIVE
        return live and not gone and not (steady and self.target.reclaimable)


def sync_part(
    part: RoutingPart, fleet: list[ReferenceTarget], row: int
) -> None:
    """Send the part the state of the reference model."""
    reference = fleet[row]
    target_id = reference.target.target_id
    listed = tuple(candidate.target for candidate in fleet if candidate.listed)
    part.handle(TargetsListed(listed), 0)
    if reference.left:
        part.handle(TargetLeaving(target_id, 'test'), 0)
    if reference.missing:
        part.handle(TargetUnreachable(target_id, 'test'), 0)
    else:
        load_report = report(target_id, draining=reference.draining)
        part.handle(LoadReported(target_id, load_report), 0)


class RoutingTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, COUNT - 1), st.sampled_from(CHANGES)),
            max_size=30,
        ),
        st.integers(0, 99),
    )
    @settings(max_examples=150)
    def test_chosen_targets_are_allowed_by_a_scan_of_the_fleet(
        self, steps: list[tuple[int, str]], seed: int
    ) -> None:
        targets = tuple(
            attrs.evolve(
                target,
                reclaimable=row % 2 == 1,
                domain=HOME if row < COUNT - 2 else AWAY,
            )
            for row, target in enumerate(make_targets(COUNT))
        )
        fleet = [ReferenceTarget(target) for target in targets]
        part = make_routing(targets, seed=seed)
        for row, change in steps:
            fleet[row].apply(change)
            sync_part(part, fleet, row)
            for steady in (True, False):
                allowed = {
                    candidate.target.target_id
                    for candidate in fleet
                    if candidate.accepts(steady=steady)
                }
                chosen = part.choose(
                    make_requirements(on_demand_only=steady), 0
                )
                if isinstance(chosen, NoRoute):
                    self.assertEqual(set(), allowed)
                else:
                    self.assertIn(chosen.target_id, allowed)

    def test_the_prefix_table_has_one_maximum_for_all_targets(self) -> None:
        table = PrefixBlockTable(100)
        indices = [PrefixIndex(table) for _ in range(20)]
        for index in indices:
            index.add([f'b{number}' for number in range(40)])
        self.assertEqual(100, len(table))
        self.assertEqual(40, indices[-1].overlap([f'b{n}' for n in range(40)]))

    @given(
        st.integers(1, 200),
        st.integers(2, 12),
        st.integers(0, 99),
        st.sampled_from(TargetKind),
    )
    @settings(max_examples=60)
    def test_sampled_targets_are_nearly_as_balanced_as_a_scan(
        self, calls: int, count: int, seed: int, kind: TargetKind
    ) -> None:
        part = make_routing(make_targets(count, kind=kind), seed=seed)
        sent: Counter[TargetId] = Counter()
        for number in range(calls):
            chosen = part.choose(make_requirements(), 0)
            self.assertIsInstance(chosen, Target)
            part.dispatched(
                f'a{number}', chosen.target_id, make_requirements(), 0
            )
            sent[chosen.target_id] += 1
        even_share = -(-calls // count)
        self.assertLessEqual(max(sent.values()), even_share + 2)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('send', 'progress', 'end', 'report')),
                st.integers(0, 20),
                st.integers(0, 5),
            ),
            max_size=60,
        )
    )
    @settings(max_examples=200)
    def test_a_late_report_is_corrected_to_the_exact_load(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        """Calls start and end after a report was taken.

        Without a correction a burst would go to one engine until its next
        report, and its callers would wait while other engines are idle.
        """
        (target,) = make_targets(1)
        state = TargetState(
            target, report(target.target_id), PrefixIndex(PrefixBlockTable())
        )
        in_flight: dict[str, SentAttempt] = {}
        reports = [(0.0, report(target.target_id))]
        state.update_report(reports[0][1], 0)
        for step, (change, argument, lag) in enumerate(steps):
            now_s = step + 1.0
            live = sorted(in_flight)
            if change == 'send':
                requirements = make_requirements(
                    prompt_tokens=100 * (argument + 1)
                )
                in_flight[f'a{step:03}'] = SentAttempt(
                    requirements, now_s, 0, 100
                )
                state.add_attempt(f'a{step:03}', in_flight[f'a{step:03}'])
            elif change == 'report':
                taken_s, late_report = reports[max(0, len(reports) - 1 - lag)]
                if taken_s >= state.report_taken_s:
                    state.update_report(late_report, taken_s)
            elif live and change == 'progress':
                state.record_output(live[argument % len(live)], 5, now_s)
            elif live:
                name = live[argument % len(live)]
                in_flight.pop(name)
                state.end_attempt(name, now_s)
            pending = [
                attempt
                for attempt in in_flight.values()
                if attempt.first_output_s is None
            ]
            tokens = sum(
                attempt.requirements.prompt_tokens for attempt in pending
            )
            reports.append(
                (
                    now_s + 0.5,
                    report(
                        target.target_id,
                        running=len(in_flight),
                        prefill_queue_tokens=tokens,
                    ),
                )
            )
            load = state.load()
            self.assertEqual(
                (len(in_flight), tokens), (load.calls, load.prefill_tokens)
            )

    @given(st.lists(st.integers(1, 9000), max_size=40), st.integers(0, 99))
    @settings(max_examples=80)
    def test_calls_with_room_never_exceed_the_memory(
        self, prompts: list[int], seed: int
    ) -> None:
        """An engine gets calls that all fit when they start.

        As their output grows the engine runs out of blocks and preempts one,
        and the answer of that call stops and starts over.
        """
        part = make_routing(make_targets(2), seed=seed)
        for name in ('t0', 't1'):
            part.handle(LoadReported(name, report(name)), 0)
        held: Counter[TargetId] = Counter()
        for number, prompt in enumerate(prompts):
            requirements = make_requirements(
                prompt_tokens=prompt, max_output_tokens=1000
            )
            size = WorkSize(prompt, 1000, 1000)
            forecast = part.forecast(requirements.service, size, 1)
            target = part.choose(requirements, 1)
            if forecast is not None and forecast.can_start:
                part.dispatched(f'a{number}', target.target_id, requirements, 1)
                part.progressed(f'a{number}', 1, 1)
                # Output tokens for which memory is reserved.
                held[target.target_id] += -(-(prompt + 800) // 16)
        self.assertLessEqual(max(held.values(), default=0), 4000)

    @given(st.sampled_from((0.0, 0.2, 0.5)), st.integers(0, 20))
    @settings(max_examples=20)
    def test_reclaimable_targets_get_at_most_their_share(
        self, share: float, seed: int
    ) -> None:
        steady, *reclaimable = make_targets(4)
        fleet = (
            steady,
            *(
                attrs.evolve(candidate, reclaimable=True)
                for candidate in reclaimable
            ),
        )
        part = make_routing(fleet, share=share, seed=seed)
        reclaimable_count = 0
        for number in range(300):
            target = part.choose(make_requirements(), 0)
            part.dispatched(
                f'a{number}', target.target_id, make_requirements(), 0
            )
            reclaimable_count += target.reclaimable
        self.assertLessEqual(reclaimable_count, 300 * share + 10 * (share > 0))

    def test_a_restarted_or_unreachable_engine_counts_as_crashed(self) -> None:
        """An engine crashes and restarts at once, or stays unreachable.

        Undetected, the caller would wait for an answer that never comes.
        """
        (target,) = make_targets(1)
        for restarts in (True, False):
            part = make_routing((target,))
            first_report = report(target.target_id)
            part.handle(LoadReported(target.target_id, first_report), 0)
            part.dispatched('a1', target.target_id, make_requirements(), 1)
            second_report = attrs.evolve(first_report, incarnation='second')
            event = LoadReported(target.target_id, second_report)
            if not restarts:
                event = TargetUnreachable(target.target_id, 'refused')
            outputs = [out for n in range(3) for out in part.handle(event, 2)]
            self.assertEqual(
                [TargetCrashed(target.target_id, ('a1',))], outputs
            )

    def test_a_silent_engine_does_not_count_as_crashed_at_once(self) -> None:
        """A sound engine stands still for 2.5 s, and polls of it time out.

        Its calls would be repeated elsewhere, and suspected of the crash.
        """
        (target,) = make_targets(1)
        part = make_routing((target,))
        part.dispatched('a1', target.target_id, make_requirements(), 1)
        silence = TargetUnreachable(target.target_id, 'timed out', True)
        for at_s in (3, 3.1, 3.2, 3.5):
            self.assertEqual([], part.handle(silence, at_s))
        self.assertEqual(
            [TargetCrashed(target.target_id, ('a1',), is_presumed=True)],
            part.handle(silence, 3.8),
        )
        self.assertEqual([], part.handle(silence, 4.2))

    def test_calls_wait_for_targets_that_are_silent(self) -> None:
        """All targets of a service are silent, and may go on.

        A call that arrives meanwhile would be refused.
        """
        targets = make_targets(2)
        part = make_routing(targets)
        service = make_requirements().service
        silences = [
            TargetUnreachable(target.target_id, 'timed out', True)
            for target in targets
        ]
        for at_s in (3, 3.4):
            for silence in silences:
                part.handle(silence, at_s)
            route = part.choose(make_requirements(), at_s)
            self.assertTrue(route.is_silent)
            self.assertEqual(2, part.capacity(service, at_s).targets)
            self.assertIsNotNone(
                part.forecast(service, WorkSize(1, 1, 1), at_s)
            )
        for silence in silences:
            part.handle(silence, 3.8)
        self.assertFalse(part.choose(make_requirements(), 3.8).is_silent)
        self.assertIsNone(part.forecast(service, WorkSize(1, 1, 1), 3.8))

    def test_a_target_that_refuses_after_a_silence_is_gone(self) -> None:
        """The process of a silent target ends, and nothing listens there.

        Calls would wait for it.
        """
        (target,) = make_targets(1)
        part = make_routing((target,))
        for is_silent in (True, False, True):
            part.handle(
                TargetUnreachable(target.target_id, 'test', is_silent), 3
            )
        self.assertFalse(part.choose(make_requirements(), 3).is_silent)

    def test_an_unreachable_target_gets_no_calls_until_it_responds(
        self,
    ) -> None:
        """A target refuses connections for a short time.

        Each call sent to it meanwhile would lose time on a failed attempt.
        """
        part = make_routing(make_targets(2))
        part.handle(TargetUnreachable(TargetId('t0'), 'refused'), 0)
        chosen = {
            part.choose(make_requirements(), 1).target_id for _ in range(20)
        }
        self.assertEqual({'t1'}, chosen)
        polls = part.handle(TimerFired(), 1)
        self.assertIn(PollLoad(TargetId('t0'), '10.0.0.0:80'), polls)
        part.handle(LoadReported(TargetId('t0'), report(TargetId('t0'))), 1)
        chosen = {
            part.choose(make_requirements(), 1).target_id for _ in range(20)
        }
        self.assertEqual({'t0', 't1'}, chosen)

    def test_in_a_large_domain_two_entries_poll_a_target_for_all(self) -> None:
        entries = tuple(entry(number) for number in range(68))
        peers = FixedPeers(entries * 6, entries)
        targets = make_targets(148)
        parts = [
            make_routing(targets, peers=peers, here=name) for name in entries
        ]
        polls: Counter[TargetId] = Counter()
        records = []
        for part in parts:
            for output in part.handle(TimerFired(), 1):
                if isinstance(output, PollLoad):
                    polls[output.target_id] += 1
                    busy = report(output.target_id, running=7)
                    event = LoadReported(output.target_id, busy)
                    part.handle(event, 6)
            shares = part.handle(TimerFired(), 6.5)
            records += [
                out for out in shares if isinstance(out, ReplicateRecord)
            ]
        report_counts = Counter(
            target_id
            for share in records
            for target_id in share.record.target_ids
        )
        self.assertEqual(
            ({1}, 148), (set(report_counts.values()), len(report_counts))
        )
        self.assertEqual({2}, set(polls.values()))
        self.assertEqual(148, len(polls))
        for share in records:
            mapping = message_to_mapping(share.record)
            record = message_from_mapping(mapping)
            self.assertIsInstance(record, LoadsShared)
            parts[0].handle(RecordReceived(record, HERE), 9)
        self.assertEqual({7}, set(calls_at(parts[0]).values()))

    def test_a_target_that_stays_after_all_gets_work_again(self) -> None:
        """The operator or the platform cancels the removal of a target.

        The target is live and paid for, but without this handling it would
        get no calls for as long as the entry runs.
        """
        (live,) = make_targets(1)
        leaving = attrs.evolve(live, state=Presence.LEAVING)
        part = make_routing((live,))
        for listed, expected in ((leaving, NoRoute), (live, Target)):
            notices = part.handle(TargetsListed((listed,)), 1)
            for notice in notices:
                if isinstance(notice, TargetLeaving):
                    part.handle(notice, 1)
            self.assertIsInstance(part.choose(make_requirements(), 1), expected)

    def test_two_entries_read_the_list_and_all_learn_of_a_reclaim(self) -> None:
        """The spot targets of a zone are reclaimed with seconds of notice.

        An entry that reads the long list only once a minute would send calls
        to targets that are about to disappear.
        """
        entries = tuple(entry(number) for number in range(68))
        peers = FixedPeers(entries * 6, entries)
        targets = make_targets(9)
        reclaimed = attrs.evolve(targets[0], state=Presence.RECLAIMED)
        fresh = make_targets(10)[9]
        parts = {
            name: make_routing(targets, peers=peers, here=name)
            for name in entries
        }
        listers = []
        for name, part in parts.items():
            part.handle(TimerFired(), 0)
            if ListTargets() in part.handle(TimerFired(), 3):
                listers.append(name)
        self.assertEqual(2, len(listers))
        lister = parts[listers[0]]
        lister.handle(TargetsListed((reclaimed, *targets[2:], fresh)), 3)
        (news,) = [
            out.record
            for out in lister.handle(TimerFired(), 9)
            if isinstance(out, ReplicateRecord)
            and isinstance(out.record, TargetsShared)
        ]
        record = message_from_mapping(message_to_mapping(news))
        other = next(parts[name] for name in entries if name not in listers)
        for _ in range(2):
            outputs = other.handle(RecordReceived(record, listers[0]), 9)
        self.assertEqual([], outputs)
        self.assertEqual(reclaimed, other.find(targets[0].target_id))
        self.assertIsNone(other.find(targets[1].target_id))
        self.assertEqual(fresh, other.find(fresh.target_id))

    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(0, 9), st.booleans()),
            max_size=50,
        )
    )
    @settings(max_examples=100)
    def test_cache_events_give_the_same_index_as_a_set(
        self, steps: list[tuple[bool, int, bool]]
    ) -> None:
        """Cache events get lost; a lost eviction would look like a hit."""
        index = PrefixIndex(PrefixBlockTable())
        known: set[str] = set()
        for sequence, (stored, block, lost) in enumerate(steps, start=1):
            event = CacheEvent(sequence, stored, f'b{block}')
            if lost:
                continue
            reported = CacheEventsReported(
                't0', sequence, sequence + 1, (event,)
            )
            if sequence > index.sequence + 1:
                known.clear()
            known = known | {event.block} if stored else known - {event.block}
            index.learn(
                reported.first_sequence, reported.next_sequence, reported.events
            )
            held = {f'b{n}' for n in range(10) if index.holds(f'b{n}')}
            self.assertEqual(known, held)

    def test_a_prefix_goes_to_one_target_until_it_is_full(self) -> None:
        for seed in range(10):
            blocks = tuple(
                f'shop-{Random(seed).random()}-{n}' for n in range(99)
            )
            part = make_routing(make_targets(6), seed=seed)
            requirements = make_requirements(prompt_tokens=1600, blocks=blocks)
            chosen: Counter[TargetId] = Counter()
            for number in range(100):
                target = part.choose(requirements, number)
                part.dispatched(
                    f'a{number}', target.target_id, requirements, number
                )
                chosen[target.target_id] += 1
                part.progressed(f'a{number}', 40, number)
                if number < 20:
                    part.ended(f'a{number}', number)
                    self.assertEqual(1, len(chosen))
            self.assertGreater(len(chosen), 1)
