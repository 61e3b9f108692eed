"""Calls that are prefilled, then decoded, at engines that change phases."""

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
PLAN_S = 0.5
SLOTS = 32
PROMPTS_AT_ENGINE = 2
WAITING_SHARE = 0.25
PATIENCE_S = 2.0

Rate = Callable[[float], float]


@attrs.define
class Engine:
    """An engine, and until when it does no work."""

    name: str
    domain: str
    phase: Phase
    away_until_s: float = -1.0

    def works_in(self, phase: Phase, now_s: float) -> bool:
        return self.phase is phase and now_s >= self.away_until_s

    def listed(self) -> RegisteredTarget:
        return RegisteredTarget(
            self.name, 'lm', '10.0.0.1:1', self.domain, SLOTS, False, self.phase
        )


@attrs.define
class PhaseDay:
    """Plays a load, with news and orders that are late.

    `rate` gives calls a second; a prompt keeps an engine busy for `prefill_s`
    and a stream a slot for `stream_s`. `lost` engines are gone for a while,
    those that decode at first with `loses_decode`.
    """

    rate: Rate
    split: PhaseSplit = attrs.field(factory=BalancedSplit)
    engines: int = 36
    prefill_s: float = 0.05
    stream_s: Rate = lambda now_s: 0.6
    news_late_s: float = 0.2
    switch_s: float = 3.0
    lost: tuple[int, float, float] = (0, 0.0, 0.0)
    loses_decode: bool = False
    new_holder_s: float = -1.0
    length_s: float = 40.0
    settings: PhasePlanSettings = attrs.field(factory=PhasePlanSettings)
    offered: float = attrs.field(default=0.0, init=False)
    served: float = attrs.field(default=0.0, init=False)
    orders: int = attrs.field(default=0, init=False)
    least_prefill: int = attrs.field(default=999, init=False)
    _fleet: list[Engine] = attrs.field(factory=list, init=False)
    _seen: list[tuple[float, PhaseLoad]] = attrs.field(factory=list, init=False)

    @property
    def served_share(self) -> float:
        """How many of the calls were served in time."""
        return self.served / self.offered

    def play(self) -> 'PhaseDay':
        """Play the day."""
        decode = round(self.engines * self.settings.least_share)
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
        waiting: list[float] = []
        running = 0.0
        credit = begun = 0.0
        for step in range(int(self.length_s / STEP_S)):
            now_s = step * STEP_S
            engines = self._present(now_s)
            prefill = sum(one.works_in(Phase.PREFILL, now_s) for one in engines)
            decode = sum(one.works_in(Phase.DECODE, now_s) for one in engines)
            credit += self.rate(now_s) * STEP_S
            while credit >= 1:
                credit -= 1
                prompts.append(now_s)
                self.offered += 1
            begun = min(begun + prefill * STEP_S / self.prefill_s, prefill * 2)
            prompts = [at for at in prompts if now_s - at < PATIENCE_S]
            while begun >= 1 and prompts:
                begun -= 1
                waiting.append(prompts.pop(0))
            running -= running * STEP_S / self.stream_s(now_s)
            waiting = [at for at in waiting if now_s - at < PATIENCE_S]
            while waiting and running + 1 <= decode * SLOTS:
                running += 1
                waiting.pop(0)
                self.served += 1
            self._seen.append(
                (now_s, PhaseLoad(running + len(waiting), len(prompts)))
            )
            if abs(now_s - self.new_holder_s) < STEP_S / 2:
                plan = PhasePlan(self.settings, self.split)
            if step % round(PLAN_S / STEP_S) == 0:
                self._plan(plan, engines, now_s)
            self.least_prefill = min(self.least_prefill, prefill)
        return self

    def _present(self, now_s: float) -> list[Engine]:
        count, since_s, until_s = self.lost
        if since_s <= now_s < until_s and self.loses_decode:
            return self._fleet[count:]
        if since_s <= now_s < until_s:
            return self._fleet[: self.engines - count]
        return self._fleet

    def _plan(
        self, plan: PhasePlan, engines: list[Engine], now_s: float
    ) -> None:
        late = [
            load for at, load in self._seen if at <= now_s - self.news_late_s
        ]
        load = late[-1] if late else PhaseLoad(0.0)
        settled = frozenset(
            one.name for one in engines if now_s >= one.away_until_s
        )
        holding = sum(
            one.phase is Phase.DECODE and one.name in settled for one in engines
        )
        load = attrs.evolve(
            load,
            streams=min(load.streams, holding * SLOTS * (1 + WAITING_SHARE)),
        )
        by_name = {one.name: one for one in engines}
        for change in plan.changes(
            [one.listed() for one in engines], load, now_s, settled
        ):
            engine = by_name[change.target.target_id]
            engine.phase = change.phase
            engine.away_until_s = now_s + self.switch_s
            self.orders += 1
