"""Nodes and engines in virtual time, with calls that crash engines by part.

Each call runs at one engine. A call with the crashing part ends it as its
answer begins; all calls there break off, and each node that had one reports
it. Reports reach all nodes after `REPORT_DELAY_S`, answers none.
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
CRASHING_PART = 'dead'
FIRST_PARTS = 8


@attrs.frozen
class Workload:
    """How large the fleet is, and how many calls a second it gets."""

    nodes: int
    engines: int
    calls_per_s: float
    crashing_per_s: float


@attrs.define
class _Call:
    keys: CrashKeys
    node: int
    sent_s: float


@attrs.define
class Figures:
    """What the engines and the callers have seen."""

    crashes_s: list[float] = attrs.field(factory=list)
    crashing_sent_s: list[float] = attrs.field(factory=list)
    sound_calls: int = 0
    sound_refused: int = 0


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
        if not self._send(now_s, f'middle{self._random.randrange(100)}'):
            self.figures.sound_refused += 1

    def _send_crashing(self, now_s: float) -> None:
        self._plan(
            now_s + self._random.expovariate(self._workload.crashing_per_s),
            self._send_crashing,
        )
        if self._send(now_s, CRASHING_PART):
            self.figures.crashing_sent_s.append(now_s)

    def _send(self, now_s: float, part: str) -> bool:
        """Send a call; False if its node refuses it."""
        node = self._random.randrange(self._workload.nodes)
        first = f'first{self._random.randrange(FIRST_PARTS)}'
        keys = CrashKeys(f'call{next(self._numbers)}', (first, part))
        verdict = self._guards[node].admit(keys, now_s, lambda key: False)
        if verdict.refused_s is not None:
            return False
        up = [
            engine
            for engine, until_s in enumerate(self._down_until_s)
            if until_s <= now_s
        ]
        if up:
            engine = self._random.choice(up)
            call = _Call(keys, node, now_s)
            self._running[engine].append(call)
            ends = self._crash if part == CRASHING_PART else self._answer
            after_s = BEGIN_S if part == CRASHING_PART else BEGIN_S + RUN_S
            self._plan(now_s + after_s, lambda at_s: ends(at_s, engine, call))
        return True

    def _answer(self, now_s: float, engine: int, call: _Call) -> None:
        if call in self._running[engine]:
            self._running[engine].remove(call)
            begun_s = call.sent_s + BEGIN_S
            self._guards[call.node].record_answer(call.keys, begun_s)

    def _crash(self, now_s: float, engine: int, call: _Call) -> None:
        if call not in self._running[engine]:
            return
        self.figures.crashes_s.append(now_s)
        broken, self._running[engine] = self._running[engine], []
        self._down_until_s[engine] = now_s + DOWN_S
        self._starts[engine] += 1
        target = f'{engine}.{self._starts[engine]}'
        for node in sorted({call.node for call in broken}):
            calls = [call for call in broken if call.node == node]
            self._report(now_s, target, node, calls)

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
        later = attrs.evolve(report, age_s=REPORT_DELAY_S)
        self._plan(now_s + REPORT_DELAY_S, lambda at_s: self._tell(later, at_s))

    def _tell(self, report: CrashReport, now_s: float) -> None:
        self._records.append(attrs.evolve(report, age_s=0.0))
        for guard in self._guards:
            guard.take_report(report, now_s)
