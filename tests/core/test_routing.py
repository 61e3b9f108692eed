"""Routing against whole-fleet scans, exact counts and plain sets."""

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
    RecordLearned,
    RoutingPart,
    ShareRecord,
    Target,
    TargetCrashed,
    TargetId,
    TargetKind,
    TargetLeaving,
    TargetsListed,
    TargetsShared,
    TargetUnreachable,
    Woken,
    WorkSize,
    message_from_mapping,
    message_to_mapping,
)
from dandelionyoke_core._prefix_index import PrefixIndex, PrefixMemory
from dandelionyoke_core._target_state import Sent, TargetState
from tests.core.policy_fakes import (
    AWAY,
    HERE,
    HOME,
    FixedPeers,
    entry,
    make_need,
    make_routing,
    make_targets,
)

COUNT = 6
# What may happen to a target, as the naive model and the part are both told.
HAPPENINGS = ('drain', 'undrain', 'leave', 'reclaim', 'miss', 'reach', 'unlist')


def report(target_id: TargetId, **fields: object) -> LoadReport:
    given = {'incarnation': 'first', 'kv_total_blocks': 4000, **fields}
    return LoadReport(engine_id=target_id, measured_s=0, **given)


def calls_at(part: RoutingPart) -> dict[TargetId, float]:
    sights = part.sights(make_need().service, 0)
    return {sight.target.target_id: sight.calls for sight in sights}


@attrs.define
class ScannedTarget:
    """A target of the naive model, which scans them all."""

    target: Target
    draining: bool = False
    left: bool = False
    missing: bool = False
    listed: bool = True

    def happen(self, what: str) -> None:
        match what:
            case 'drain' | 'undrain':
                self.draining = what == 'drain'
                self.missing = False
            case 'leave':
                self.left = True
            case 'reclaim':
                self.target = attrs.evolve(
                    self.target, state=Presence.RECLAIMED
                )
            case 'miss' | 'reach':
                self.missing = what == 'miss'
            case 'unlist':
                self.listed = False

    def takes(self, *, steady: bool) -> bool:
        gone = self.left or not self.listed or self.missing or self.draining
        live = self.target.state is Presence.LIVE
        return live and not gone and not (steady and self.target.reclaimable)


def tell(part: RoutingPart, fleet: list[ScannedTarget], row: int) -> None:
    """Tell the part what the naive model already knows."""
    scanned = fleet[row]
    target_id = scanned.target.target_id
    listed = tuple(one.target for one in fleet if one.listed)
    part.handle(TargetsListed(listed), 0)
    if scanned.left:
        part.handle(TargetLeaving(target_id, 'test'), 0)
    if scanned.missing:
        part.handle(TargetUnreachable(target_id, 'test'), 0)
    else:
        told = report(target_id, draining=scanned.draining)
        part.handle(LoadReported(target_id, told), 0)


class RoutingTest(testtools.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, COUNT - 1), st.sampled_from(HAPPENINGS)),
            max_size=30,
        ),
        st.integers(0, 99),
    )
    @settings(max_examples=150)
    def test_it_chooses_what_a_scan_of_the_fleet_allows(
        self, story: list[tuple[int, str]], seed: int
    ) -> None:
        targets = tuple(
            attrs.evolve(
                target,
                reclaimable=row % 2 == 1,
                domain=HOME if row < COUNT - 2 else AWAY,
            )
            for row, target in enumerate(make_targets(COUNT))
        )
        fleet = [ScannedTarget(target) for target in targets]
        part = make_routing(targets, seed=seed)
        for row, what in story:
            fleet[row].happen(what)
            tell(part, fleet, row)
            for steady in (True, False):
                allowed = {
                    one.target.target_id
                    for one in fleet
                    if one.takes(steady=steady)
                }
                found = part.choose(make_need(steady=steady), 0)
                if isinstance(found, NoRoute):
                    self.assertEqual(set(), allowed)
                else:
                    self.assertIn(found.target_id, allowed)

    def test_what_is_kept_of_prefixes_is_bounded_for_all_targets(self) -> None:
        memory = PrefixMemory(100)
        indices = [PrefixIndex(memory) for _ in range(20)]
        for index in indices:
            index.add([f'b{number}' for number in range(40)])
        self.assertEqual(100, len(memory))
        self.assertEqual(40, indices[-1].overlap([f'b{n}' for n in range(40)]))

    @given(
        st.integers(1, 200),
        st.integers(2, 12),
        st.integers(0, 99),
        st.sampled_from(TargetKind),
    )
    @settings(max_examples=60)
    def test_a_few_compared_are_nearly_as_even_as_a_scan(
        self, calls: int, count: int, seed: int, kind: TargetKind
    ) -> None:
        part = make_routing(make_targets(count, kind=kind), seed=seed)
        sent: Counter[TargetId] = Counter()
        for number in range(calls):
            found = part.choose(make_need(), 0)
            self.assertIsInstance(found, Target)
            part.dispatched(f'a{number}', found.target_id, make_need(), 0)
            sent[found.target_id] += 1
        even = -(-calls // count)
        self.assertLessEqual(max(sent.values()), even + 2)

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
        self, story: list[tuple[str, int, int]]
    ) -> None:
        """A report shows the load as it was; calls came and ended since.

        Without the correction a burst is sent to one engine until its next
        report, and its callers wait while other engines are idle.
        """
        (target,) = make_targets(1)
        state = TargetState(
            target, report(target.target_id), PrefixIndex(PrefixMemory())
        )
        truth: dict[str, Sent] = {}
        past = [(0.0, report(target.target_id))]
        state.take(past[0][1], 0)
        for step, (what, pick, lag) in enumerate(story):
            now_s = step + 1.0
            live = sorted(truth)
            if what == 'send':
                need = make_need(prompt_tokens=100 * (pick + 1))
                truth[f'a{step:03}'] = Sent(need, now_s, 0, 100)
                state.start(f'a{step:03}', truth[f'a{step:03}'])
            elif what == 'report':
                taken_s, told = past[max(0, len(past) - 1 - lag)]
                if taken_s >= state.taken_s:
                    state.take(told, taken_s)
            elif live and what == 'progress':
                state.progress(live[pick % len(live)], 5, now_s)
            elif live:
                name = live[pick % len(live)]
                truth.pop(name)
                state.finish(name, now_s)
            pending = [one for one in truth.values() if one.first_s is None]
            tokens = sum(one.need.prompt_tokens for one in pending)
            past.append(
                (
                    now_s + 0.5,
                    report(
                        target.target_id,
                        running=len(truth),
                        prefill_queue_tokens=tokens,
                    ),
                )
            )
            load = state.load()
            self.assertEqual(
                (len(truth), tokens), (load.calls, load.prefill_tokens)
            )

    @given(st.lists(st.integers(1, 9000), max_size=40), st.integers(0, 99))
    @settings(max_examples=80)
    def test_calls_with_room_never_outgrow_the_memory(
        self, prompts: list[int], seed: int
    ) -> None:
        """An engine is filled with calls that all fit when they begin.

        As their answers grow it runs out of blocks and throws one out, whose
        caller sees its answer stop and start over.
        """
        part = make_routing(make_targets(2), seed=seed)
        for name in ('t0', 't1'):
            part.handle(LoadReported(name, report(name)), 0)
        held: Counter[TargetId] = Counter()
        for number, prompt in enumerate(prompts):
            need = make_need(prompt_tokens=prompt, max_output_tokens=1000)
            size = WorkSize(prompt, 1000, 1000)
            outlook = part.outlook(need.service, size, 1)
            target = part.choose(need, 1)
            if outlook is not None and outlook.has_room:
                part.dispatched(f'a{number}', target.target_id, need, 1)
                part.progressed(f'a{number}', 1, 1)
                # The share of the output that is left room for.
                held[target.target_id] += -(-(prompt + 800) // 16)
        self.assertLessEqual(max(held.values(), default=0), 4000)

    @given(st.sampled_from((0.0, 0.2, 0.5)), st.integers(0, 20))
    @settings(max_examples=20)
    def test_reclaimable_targets_get_their_share_at_most(
        self, share: float, seed: int
    ) -> None:
        steady, *cheap = make_targets(4)
        fleet = (
            steady,
            *(attrs.evolve(one, reclaimable=True) for one in cheap),
        )
        part = make_routing(fleet, share=share, seed=seed)
        there = 0
        for number in range(300):
            target = part.choose(make_need(), 0)
            part.dispatched(f'a{number}', target.target_id, make_need(), 0)
            there += target.reclaimable
        self.assertLessEqual(there, 300 * share + 10 * (share > 0))

    def test_a_restarted_or_vanished_engine_crashed(self) -> None:
        """An engine dies of a request and restarts at once, or stays away.

        The caller would wait for an answer that can never come.
        """
        (target,) = make_targets(1)
        for restarts in (True, False):
            part = make_routing((target,))
            told = report(target.target_id)
            part.handle(LoadReported(target.target_id, told), 0)
            part.dispatched('a1', target.target_id, make_need(), 1)
            again = attrs.evolve(told, incarnation='second')
            event = LoadReported(target.target_id, again)
            if not restarts:
                event = TargetUnreachable(target.target_id, 'refused')
            outputs = [out for n in range(3) for out in part.handle(event, 2)]
            self.assertEqual(
                [TargetCrashed(target.target_id, ('a1',))], outputs
            )

    def test_an_unreachable_target_is_left_alone_and_tried_again(self) -> None:
        """A target's connections are refused for a moment.

        Each call sent there meanwhile would lose the time of a failed try.
        """
        part = make_routing(make_targets(2))
        part.handle(TargetUnreachable(TargetId('t0'), 'refused'), 0)
        chosen = {part.choose(make_need(), 1).target_id for _ in range(20)}
        self.assertEqual({'t1'}, chosen)
        polls = part.handle(Woken(), 1)
        self.assertIn(PollLoad(TargetId('t0'), '10.0.0.0:80'), polls)
        part.handle(LoadReported(TargetId('t0'), report(TargetId('t0'))), 1)
        chosen = {part.choose(make_need(), 1).target_id for _ in range(20)}
        self.assertEqual({'t0', 't1'}, chosen)

    def test_in_a_large_domain_two_read_a_target_and_all_know(self) -> None:
        entries = tuple(entry(number) for number in range(68))
        peers = FixedPeers(entries * 6, entries)
        targets = make_targets(148)
        parts = [
            make_routing(targets, peers=peers, here=name) for name in entries
        ]
        polls: Counter[TargetId] = Counter()
        records = []
        for part in parts:
            for output in part.handle(Woken(), 1):
                if isinstance(output, PollLoad):
                    polls[output.target_id] += 1
                    busy = report(output.target_id, running=7)
                    event = LoadReported(output.target_id, busy)
                    part.handle(event, 6)
            shares = part.handle(Woken(), 6.5)
            records += [out for out in shares if isinstance(out, ShareRecord)]
        told = Counter(
            target_id
            for share in records
            for target_id in share.record.target_ids
        )
        self.assertEqual(({1}, 148), (set(told.values()), len(told)))
        self.assertEqual({2}, set(polls.values()))
        self.assertEqual(148, len(polls))
        for share in records:
            mapping = message_to_mapping(share.record)
            record = message_from_mapping(mapping)
            self.assertIsInstance(record, LoadsShared)
            parts[0].handle(RecordLearned(record, HERE), 9)
        self.assertEqual({7}, set(calls_at(parts[0]).values()))

    def test_a_target_that_stays_after_all_gets_work_again(self) -> None:
        """An operator takes the removal of a target back, or the platform
        does. It is live and paid for, but would get no call for as long as
        the entry runs."""
        (live,) = make_targets(1)
        leaving = attrs.evolve(live, state=Presence.LEAVING)
        part = make_routing((live,))
        for listed, expected in ((leaving, NoRoute), (live, Target)):
            told = part.handle(TargetsListed((listed,)), 1)
            for notice in told:
                if isinstance(notice, TargetLeaving):
                    part.handle(notice, 1)
            self.assertIsInstance(part.choose(make_need(), 1), expected)

    def test_two_read_the_list_and_all_learn_of_a_reclaim(self) -> None:
        """A zone's cheap targets are reclaimed on a few seconds' notice.

        An entry that reads the long list once a minute would send callers
        to targets that are about to vanish.
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
            part.handle(Woken(), 0)
            if ListTargets() in part.handle(Woken(), 3):
                listers.append(name)
        self.assertEqual(2, len(listers))
        teller = parts[listers[0]]
        teller.handle(TargetsListed((reclaimed, *targets[2:], fresh)), 3)
        (news,) = [
            out.record
            for out in teller.handle(Woken(), 9)
            if isinstance(out, ShareRecord)
            and isinstance(out.record, TargetsShared)
        ]
        record = message_from_mapping(message_to_mapping(news))
        other = next(parts[name] for name in entries if name not in listers)
        for _ in range(2):
            outputs = other.handle(RecordLearned(record, listers[0]), 9)
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
    def test_cache_events_give_what_a_plain_set_gives(
        self, story: list[tuple[bool, int, bool]]
    ) -> None:
        """Cache events get lost; a lost removal would look like a hit."""
        index = PrefixIndex(PrefixMemory())
        known: set[str] = set()
        for sequence, (stored, block, lost) in enumerate(story, start=1):
            event = CacheEvent(sequence, stored, f'b{block}')
            if lost:
                continue
            told = CacheEventsReported('t0', sequence, sequence + 1, (event,))
            if sequence > index.sequence + 1:
                known.clear()
            known = known | {event.block} if stored else known - {event.block}
            index.learn(told.first_sequence, told.next_sequence, told.events)
            held = {f'b{n}' for n in range(10) if index.holds(f'b{n}')}
            self.assertEqual(known, held)

    def test_one_prefix_goes_to_one_target_until_it_is_full(self) -> None:
        for seed in range(10):
            blocks = tuple(
                f'shop-{Random(seed).random()}-{n}' for n in range(99)
            )
            part = make_routing(make_targets(6), seed=seed)
            need = make_need(prompt_tokens=1600, blocks=blocks)
            chosen: Counter[TargetId] = Counter()
            for number in range(100):
                target = part.choose(need, number)
                part.dispatched(f'a{number}', target.target_id, need, number)
                chosen[target.target_id] += 1
                part.progressed(f'a{number}', 40, number)
                if number < 20:
                    part.ended(f'a{number}', number)
                    self.assertEqual(1, len(chosen))
            self.assertGreater(len(chosen), 1)
