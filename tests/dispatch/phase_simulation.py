"""Simulates calls at engines that switch between prefill and decode.

A prompt is decoded at the software version that prefilled it. A decode engine
whose version has no prefill engine prefills itself, at half the speed.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

import attrs

from dandelionyoke_dispatch import (
    BalancedSplit,
    Phase,
    PhaseLoad,
    PhasePlan,
    PhasePlanSettings,
    PhaseSplit,
    RegisteredTarget,
)

STEP_S = 0.05
PLAN_INTERVAL_S = 0.5
SLOTS = 32
PROMPTS_PER_ENGINE = 2
MAX_QUEUED_SHARE = 0.25
QUEUE_TIMEOUT_S = 2.0
DECODE_ENGINE_SLOWDOWN = 2

Rate = Callable[[float], float]


@attrs.define
class Engine:
    """An engine; it does no work until `unavailable_until_s`."""

    name: str
    domain: str
    phase: Phase
    unavailable_until_s: float = -1.0
    version: str = 'v1'

    def works_in(self, phase: Phase, now_s: float) -> bool:
        return self.phase is phase and now_s >= self.unavailable_until_s

    def listed(self) -> RegisteredTarget:
        return RegisteredTarget(
            self.name,
            'lm',
            '10.0.0.1:1',
            self.domain,
            SLOTS,
            False,
            self.phase,
            version=self.version,
        )


@attrs.frozen
class Release:
    """Replaces engines one by one by engines of another version.

    One is replaced every `interval_s` from `start_s` on, in random order. The
    new ones start in `phase`.
    """

    start_s: float
    interval_s: float
    engines: int
    phase: Phase = Phase.PREFILL
    version: str = 'v2'
    seed: int = 1

    def replaced(self, fleet_size: int, now_s: float) -> list[int]:
        """Return the numbers of the engines that are replaced by now."""
        order = list(range(fleet_size))
        Random(self.seed).shuffle(order)
        done = math.floor((now_s - self.start_s) / self.interval_s) + 1
        return order[: max(0, min(self.engines, done))]


@attrs.define
class _VersionState:
    """The calls at the engines of one version."""

    prefill: int = 0
    decode: int = 0
    capacity: float = 0.0
    running: float = 0.0
    prefilled: list[float] = attrs.field(factory=list)

    @property
    def has_room(self) -> bool:
        return self.running + len(self.prefilled) < self.decode * SLOTS

    def add_capacity(self, prefill_s: float) -> None:
        """Add what the engines of this version prefill in one step."""
        engines = self.prefill or self.decode / DECODE_ENGINE_SLOWDOWN
        self.capacity = min(
            self.capacity + engines * STEP_S / prefill_s,
            engines * PROMPTS_PER_ENGINE,
        )


@attrs.define
class PhaseSimulation:
    """Simulates a load with delayed reports and phase changes.

    `rate` is in calls per second. A prompt occupies an engine for `prefill_s`,
    and a stream occupies a slot for `stream_s`. `lost` gives a number of
    engines and the start and end of their absence; with `lose_decode_engines`
    they are the engines that decode at the start. `stranded_s` is the time for
    which a version with two or more engines had none that decodes; `is_bound`
    is False for calls that may be decoded at any version.
    """

    rate: Rate
    split: PhaseSplit = attrs.field(factory=BalancedSplit)
    engines: int = 36
    prefill_s: float = 0.05
    stream_s: Rate = lambda now_s: 0.6
    report_delay_s: float = 0.2
    switch_s: float = 3.0
    lost: tuple[int, float, float] = (0, 0.0, 0.0)
    lose_decode_engines: bool = False
    leader_change_s: float = -1.0
    duration_s: float = 40.0
    releases: tuple[Release, ...] = ()
    is_bound: bool = True
    settings: PhasePlanSettings = attrs.field(factory=PhasePlanSettings)
    offered: float = attrs.field(default=0.0, init=False)
    served: float = attrs.field(default=0.0, init=False)
    orders: int = attrs.field(default=0, init=False)
    min_prefill: int = attrs.field(default=999, init=False)
    stranded_s: float = attrs.field(default=0.0, init=False)
    _fleet: list[Engine] = attrs.field(factory=list, init=False)
    _states: dict[str, _VersionState] = attrs.field(factory=dict, init=False)
    _load_history: list[tuple[float, PhaseLoad]] = attrs.field(
        factory=list, init=False
    )

    @property
    def served_share(self) -> float:
        """The share of the calls that were served in time."""
        return self.served / self.offered

    def run(self) -> 'PhaseSimulation':
        """Run the simulation."""
        decode = round(self.engines * self.settings.min_decode_share)
        self._fleet = [
            Engine(
                f'i-{number:02}',
                'abc'[number % 3],
                Phase.DECODE if number < decode else Phase.PREFILL,
            )
            for number in range(self.engines)
        ]
        plan = PhasePlan(self.settings, self.split)
        prompts: list[float] = []
        pending_calls = 0.0
        for step in range(int(self.duration_s / STEP_S)):
            now_s = step * STEP_S
            self._release(now_s)
            engines = self._present(now_s)
            states = self._count_engines(engines, now_s)
            pending_calls += self.rate(now_s) * STEP_S
            while pending_calls >= 1:
                pending_calls -= 1
                prompts.append(now_s)
                self.offered += 1
            prompts = _drop_late(prompts, now_s)
            self._prefill(prompts, states)
            self._decode(states, now_s)
            streams = sum(
                state.running + len(state.prefilled) for state in states
            )
            self._load_history.append((now_s, PhaseLoad(streams, len(prompts))))
            if abs(now_s - self.leader_change_s) < STEP_S / 2:
                plan = PhasePlan(self.settings, self.split)
            if step % round(PLAN_INTERVAL_S / STEP_S) == 0:
                self._plan(plan, engines, now_s)
            prefill = sum(state.prefill for state in states)
            self.min_prefill = min(self.min_prefill, prefill)
        return self

    def _release(self, now_s: float) -> None:
        for release in self.releases:
            for number in release.replaced(self.engines, now_s):
                old = self._fleet[number]
                if old.version >= release.version:
                    continue
                name = f'{release.version}-{number:02}'
                self._fleet[number] = Engine(
                    name, old.domain, release.phase, version=release.version
                )

    def _count_engines(
        self, engines: Iterable[Engine], now_s: float
    ) -> list[_VersionState]:
        """Count the working engines of each version; return the versions."""
        present: Counter[str] = Counter()
        for state in self._states.values():
            state.prefill = state.decode = 0
        for engine in engines:
            version = engine.version if self.is_bound else ''
            present[engine.version] += 1
            state = self._states.setdefault(version, _VersionState())
            state.prefill += engine.works_in(Phase.PREFILL, now_s)
            state.decode += engine.works_in(Phase.DECODE, now_s)
        self._note_stranded(present, engines, now_s)
        return list(self._states.values())

    def _note_stranded(
        self, present: Counter[str], engines: Iterable[Engine], now_s: float
    ) -> None:
        decoding = {
            engine.version
            for engine in engines
            if engine.works_in(Phase.DECODE, now_s)
        }
        for version, count in present.items():
            if count > 1 and version not in decoding:
                self.stranded_s += STEP_S

    def _prefill(
        self, prompts: list[float], states: list[_VersionState]
    ) -> None:
        """Prefill prompts, at versions that have room for their streams."""
        for state in states:
            state.add_capacity(self.prefill_s)
        decodable = [state for state in states if state.decode] or states
        chosen = [state for state in decodable if state.has_room] or decodable
        chosen = [state for state in chosen if state.prefill] or chosen
        while prompts:
            state = max(chosen, key=lambda one: one.capacity)
            if state.capacity < 1:
                break
            state.capacity -= 1
            state.prefilled.append(prompts.pop(0))

    def _decode(self, states: list[_VersionState], now_s: float) -> None:
        for state in states:
            state.running -= state.running * STEP_S / self.stream_s(now_s)
            state.prefilled = _drop_late(state.prefilled, now_s)
            while state.prefilled and state.running + 1 <= state.decode * SLOTS:
                state.running += 1
                state.prefilled.pop(0)
                self.served += 1

    def _present(self, now_s: float) -> list[Engine]:
        count, since_s, until_s = self.lost
        if since_s <= now_s < until_s and self.lose_decode_engines:
            return self._fleet[count:]
        if since_s <= now_s < until_s:
            return self._fleet[: self.engines - count]
        return self._fleet

    def _plan(
        self, plan: PhasePlan, engines: list[Engine], now_s: float
    ) -> None:
        reported = [
            load
            for at, load in self._load_history
            if at <= now_s - self.report_delay_s
        ]
        load = reported[-1] if reported else PhaseLoad(0.0)
        settled = frozenset(
            one.name for one in engines if now_s >= one.unavailable_until_s
        )
        decoding = sum(
            one.phase is Phase.DECODE and one.name in settled for one in engines
        )
        load = attrs.evolve(
            load,
            streams=min(
                load.streams, decoding * SLOTS * (1 + MAX_QUEUED_SHARE)
            ),
        )
        by_name = {one.name: one for one in engines}
        for change in plan.changes(
            [one.listed() for one in engines], load, now_s, settled
        ):
            engine = by_name[change.target.target_id]
            engine.phase = change.phase
            engine.unavailable_until_s = now_s + self.switch_s
            self.orders += 1


def _drop_late(arrived_s: list[float], now_s: float) -> list[float]:
    """Return the calls whose callers still wait."""
    return [at_s for at_s in arrived_s if now_s - at_s < QUEUE_TIMEOUT_S]
