"""Nodes and engines in virtual time, with calls that crash engines.

Each call runs at one engine. A call that crashes it ends it as its answer
begins; all calls there break off, and each node that had one reports it. Each
node hears of a report after a time of its own. What broke off is sent again:
by its node, if that may, and by its caller.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from dandelionyoke_dispatch import (
    CrashGuard,
    CrashKeys,
    CrashReport,
    CrashSettings,
)

REPORT_DELAY_S = 0.5
RUN_S = 1.5
BEGIN_S = 0.1
# An engine is back so long after its crash.
DOWN_S = 3.5
# A caller sends a call that broke off again after this time.
REPEAT_S = 0.05
CRASHING_PART = 'dead'
FIRST_PARTS = 8


@attrs.frozen
class Workload:
    """How large the fleet is, and how many calls a second it gets.

    The calls that crash engines share a part, or are `crashing_calls` calls
    that come again and again. A caller sends a call that broke off again up
    to `repeats` times. Reports take from `min_delay_s` to `max_delay_s`.
    """

    nodes: int
    engines: int
    calls_per_s: float
    crashing_per_s: float
    crashing_calls: int = 0
    repeats: int = 0
    min_delay_s: float = REPORT_DELAY_S
    max_delay_s: float = REPORT_DELAY_S


@attrs.define
class _Call:
    keys: CrashKeys
    node: int
    sent_s: float
    repeats: int = 0

    @property
    def is_sound(self) -> bool:
        """Whether engines survive it."""
        return not self.keys.parts[1].startswith(CRASHING_PART)


@attrs.define
class Figures:
    """What the engines and the callers have seen."""

    crashes_s: list[float] = attrs.field(factory=list)
    crashing_sent_s: list[float] = attrs.field(factory=list)
    # By fingerprint of a call that crashes engines.
    crashes_of: dict[str, list[float]] = attrs.field(factory=dict)
    sent_of: dict[str, list[float]] = attrs.field(factory=dict)
    sound_calls: int = 0
    sound_refused: int = 0
    sound_broken: int = 0


class CrashSimulation:
    """Plays calls at all nodes until a time."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self._random = Random(seed)
        self._workload = workload
        self._guards = [
            CrashGuard(CrashSettings()) for _ in range(workload.nodes)
        ]
        self._running: list[list[_Call]] = [[] for _ in range(workload.engines)]
        self._down_until_s = [0.0] * workload.engines
        self._starts = [0] * workload.engines
        self._numbers = itertools.count()
        self._records: list[CrashReport] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.figures = Figures()

    def run(
        self, until_s: float, crashing_from_s: float, restarts_s: float
    ) -> Figures:
        """Play calls, then such that crash engines; nodes restart in turn."""
        self._plan(0.0, self._send_sound)
        self._plan(crashing_from_s, self._send_crashing)
        for number in range(self._workload.nodes):
            at_s = restarts_s + number * 0.5
            self._plan(at_s, partial(self._restart, number))
        while self._events and self._events[0][0] < until_s:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.figures

    def _plan(self, at_s: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _restart(self, node: int, now_s: float) -> None:
        """Forget what a node knew; it reads the records of the store."""
        guard = CrashGuard(CrashSettings())
        for report in self._records:
            guard.take_report(report, now_s)
        self._guards[node] = guard

    def _send_sound(self, now_s: float) -> None:
        self._plan(
            now_s + self._random.expovariate(self._workload.calls_per_s),
            self._send_sound,
        )
        self.figures.sound_calls += 1
        self._send(
            now_s, self._new_keys(f'middle{self._random.randrange(100)}')
        )

    def _send_crashing(self, now_s: float) -> None:
        self._plan(
            now_s + self._random.expovariate(self._workload.crashing_per_s),
            self._send_crashing,
        )
        if self._workload.crashing_calls:
            number = self._random.randrange(self._workload.crashing_calls)
            part = f'{CRASHING_PART}{number}'
            self._send(now_s, CrashKeys(f'crash{number}', ('first0', part)))
        else:
            self._send(now_s, self._new_keys(CRASHING_PART))

    def _new_keys(self, part: str) -> CrashKeys:
        first = f'first{self._random.randrange(FIRST_PARTS)}'
        return CrashKeys(f'call{next(self._numbers)}', (first, part))

    def _send(
        self, now_s: float, keys: CrashKeys, repeats: int | None = None
    ) -> None:
        """Send a call through any node, unless that refuses it."""
        node = self._random.randrange(self._workload.nodes)
        if repeats is None:
            repeats = self._workload.repeats
        call = _Call(keys, node, now_s, repeats)
        verdict = self._guards[node].admit(keys, now_s, lambda key: False)
        if verdict.refused_s is None:
            self._run(now_s, call)
        elif call.is_sound:
            self.figures.sound_refused += 1

    def _run(self, now_s: float, call: _Call) -> None:
        """Run a call at an engine that is up, if there is one."""
        if not call.is_sound:
            self.figures.crashing_sent_s.append(now_s)
            sent = self.figures.sent_of.setdefault(call.keys.fingerprint, [])
            sent.append(now_s)
        up = [
            engine
            for engine, until_s in enumerate(self._down_until_s)
            if until_s <= now_s
        ]
        if up:
            engine = self._random.choice(up)
            self._running[engine].append(call)
            ends = self._answer if call.is_sound else self._crash
            after_s = BEGIN_S + (RUN_S if call.is_sound else 0)
            self._plan(now_s + after_s, lambda at_s: ends(at_s, engine, call))

    def _answer(self, now_s: float, engine: int, call: _Call) -> None:
        if call in self._running[engine]:
            self._running[engine].remove(call)
            begun_s = call.sent_s + BEGIN_S
            self._guards[call.node].record_answer(call.keys, begun_s)

    def _crash(self, now_s: float, engine: int, call: _Call) -> None:
        if call not in self._running[engine]:
            return
        self.figures.crashes_s.append(now_s)
        fingerprint = call.keys.fingerprint
        self.figures.crashes_of.setdefault(fingerprint, []).append(now_s)
        broken, self._running[engine] = self._running[engine], []
        self._down_until_s[engine] = now_s + DOWN_S
        self._starts[engine] += 1
        target = f'{engine}.{self._starts[engine]}'
        for node in sorted({call.node for call in broken}):
            calls = [call for call in broken if call.node == node]
            self._report(now_s, target, node, calls)
        for call in broken:
            self.figures.sound_broken += call.is_sound
            self._repeat(now_s, call)

    def _repeat(self, now_s: float, call: _Call) -> None:
        """Send a call again that broke off, as its node and its caller do."""
        if not call.repeats:
            return
        call.repeats -= 1
        guard = self._guards[call.node]
        verdict = guard.admit(call.keys, now_s, lambda key: False)
        if verdict.refused_s is None and guard.may_repeat(call.keys, now_s):
            again = attrs.evolve(call, sent_s=now_s)
            self._plan(now_s, lambda at_s: self._run(at_s, again))
            return
        self._plan(
            now_s + REPEAT_S,
            lambda at_s: self._send(at_s, call.keys, call.repeats),
        )

    def _report(
        self, now_s: float, target: str, node: int, calls: list[_Call]
    ) -> None:
        settled_s = CrashSettings().settled_s
        keys = tuple(
            key
            for call in calls
            for key in (
                call.keys.all
                if now_s - call.sent_s - BEGIN_S < settled_s
                else (call.keys.fingerprint,)
            )
        )
        answers = self._guards[node].answers_to(keys, now_s)
        report = CrashReport(target, f'n{node}', 0.0, keys, answers)
        self._guards[node].take_report(report, now_s)
        self._plan(
            now_s + self._workload.max_delay_s,
            lambda at_s: self._records.append(report),
        )
        for number in range(self._workload.nodes):
            delay_s = self._random.uniform(
                self._workload.min_delay_s, self._workload.max_delay_s
            )
            later = attrs.evolve(report, age_s=delay_s)
            self._plan(now_s + delay_s, partial(self._tell, number, later))

    def _tell(self, number: int, report: CrashReport, now_s: float) -> None:
        self._guards[number].take_report(report, now_s)

    def refused_by(self, now_s: float) -> list[frozenset[str]]:
        """Return the calls that crash engines that each node refuses."""
        return [
            frozenset(
                fingerprint
                for fingerprint in self.figures.sent_of
                if self._refuses(guard, fingerprint, now_s)
            )
            for guard in self._guards
        ]

    def _refuses(
        self, guard: CrashGuard, fingerprint: str, now_s: float
    ) -> bool:
        part = fingerprint.replace('crash', CRASHING_PART)
        keys = CrashKeys(fingerprint, ('first0', part))
        verdict = guard.admit(keys, now_s, lambda key: False)
        return verdict.refused_s is not None
