"""Simulates calls at engines that switch between prefill and decode."""

from collections.abc import Callable

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

Rate = Callable[[float], float]


@attrs.define
class Engine:
    """An engine; it does no work until `unavailable_until_s`."""

    name: str
    domain: str
    phase: Phase
    unavailable_until_s: float = -1.0

    def works_in(self, phase: Phase, now_s: float) -> bool:
        return self.phase is phase and now_s >= self.unavailable_until_s

    def listed(self) -> RegisteredTarget:
        return RegisteredTarget(
            self.name, 'lm', '10.0.0.1:1', self.domain, SLOTS, False, self.phase
        )


@attrs.define
class PhaseSimulation:
    """Simulates a load with delayed reports and phase changes.

    `rate` is in calls per second. A prompt occupies an engine for `prefill_s`,
    and a stream occupies a slot for `stream_s`. `lost` gives a number of
    engines and the start and end of their absence; with `lose_decode_engines`
    they are the engines that decode at the start.
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
    settings: PhasePlanSettings = attrs.field(factory=PhasePlanSettings)
    offered: float = attrs.field(default=0.0, init=False)
    served: float = attrs.field(default=0.0, init=False)
    orders: int = attrs.field(default=0, init=False)
    min_prefill: int = attrs.field(default=999, init=False)
    _fleet: list[Engine] = attrs.field(factory=list, init=False)
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
        prefilled: list[float] = []
        running = 0.0
        pending_calls = prefill_capacity = 0.0
        for step in range(int(self.duration_s / STEP_S)):
            now_s = step * STEP_S
            engines = self._present(now_s)
            prefill = sum(
                engine.works_in(Phase.PREFILL, now_s) for engine in engines
            )
            decode = sum(
                engine.works_in(Phase.DECODE, now_s) for engine in engines
            )
            pending_calls += self.rate(now_s) * STEP_S
            while pending_calls >= 1:
                pending_calls -= 1
                prompts.append(now_s)
                self.offered += 1
            prefill_capacity = min(
                prefill_capacity + prefill * STEP_S / self.prefill_s,
                prefill * 2,
            )
            prompts = [
                arrived_s
                for arrived_s in prompts
                if now_s - arrived_s < QUEUE_TIMEOUT_S
            ]
            while prefill_capacity >= 1 and prompts:
                prefill_capacity -= 1
                prefilled.append(prompts.pop(0))
            running -= running * STEP_S / self.stream_s(now_s)
            prefilled = [
                arrived_s
                for arrived_s in prefilled
                if now_s - arrived_s < QUEUE_TIMEOUT_S
            ]
            while prefilled and running + 1 <= decode * SLOTS:
                running += 1
                prefilled.pop(0)
                self.served += 1
            self._load_history.append(
                (now_s, PhaseLoad(running + len(prefilled), len(prompts)))
            )
            if abs(now_s - self.leader_change_s) < STEP_S / 2:
                plan = PhasePlan(self.settings, self.split)
            if step % round(PLAN_INTERVAL_S / STEP_S) == 0:
                self._plan(plan, engines, now_s)
            self.min_prefill = min(self.min_prefill, prefill)
        return self

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
