"""Simulates the calls of one organisation at a fleet of limiters."""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Iterator, Mapping
from random import Random

import attrs

from dandelionyoke_core import TokenBucket
from dandelionyoke_core._limits import demand_share
from dandelionyoke_core._rate import DecayingRate
from dandelionyoke_dispatch import (
    FleetLimiter,
    FleetLimiterSettings,
    GroupUse,
    LimitUnit,
    LimitVerdict,
    RateLimit,
    RateLimiter,
)

NAME = 'acme'
LIMIT = RateLimit(64_000.0, 64_000.0, LimitUnit.TOKENS)
# The organisation's usual load is its limit divided by this.
HEADROOM = 1.8
MEAN_TOKENS = 12_000.0
MAX_TOKENS = 50_000.0
TOKENS_SIGMA = 1.0
WINDOW_S = 8.0
OVERRUN_FACTOR = 1.1
SLACK_TOKENS = 190_000.0
FAULT_START_S = 10.0
TICK_S = 0.1
# The nodes run for this long before calls arrive.
WARM_UP_S = 12.0
HEARTBEAT_S = 0.3
APPLY_LIMIT_S = 7.0


@attrs.frozen
class Hotspot:
    """Domains in which the organisation sends `times` its usual load."""

    domains: str
    times: float = 7.5


@attrs.frozen
class Partition:
    """Failure domains that exchange no messages with the others for a while."""

    domains: str
    duration_s: float = 6.0

    def separates(self, one: str, other: str, now_s: float) -> bool:
        """Whether the partition separates two domains at a time."""
        is_active = FAULT_START_S <= now_s < FAULT_START_S + self.duration_s
        return is_active and (one in self.domains) != (other in self.domains)


@attrs.define
class Unit:
    """A limiter and the number of nodes that it serves."""

    domain: str
    nodes: int
    offset_s: float
    limiter: RateLimiter
    process: str = ''
    reported_s: float = -WARM_UP_S


class DemandShareLimiter:
    """The baseline: a bucket per unit, with a share by reported demand."""

    def __init__(self, units: int, reserved: float = 0.2) -> None:
        self._units = units
        self._reserved = reserved
        self._demand = DecayingRate(2.0)
        self._other_demands: dict[str, float] = {}
        self._bucket = TokenBucket(0.0, 0.0)
        self._limits: Mapping[str, RateLimit] = {}

    def take_limits(self, limits: Mapping[str, RateLimit]) -> None:
        self._limits = limits

    def limit_of(self, organisation: str) -> RateLimit | None:
        return self._limits.get(organisation)

    def take_nodes(self, own: int, total: int, now_s: float) -> None:
        """Ignore the nodes; shares depend on demand only."""

    def charge(self, organisation: str, amount: float, now_s: float) -> None:
        self._bucket.level -= amount

    def admit(
        self, organisation: str, amount: float, now_s: float
    ) -> LimitVerdict:
        self._demand.add(amount, now_s)
        limit = self._limits[organisation]
        rate_per_s = demand_share(
            self._demand.per_s(now_s),
            sum(self._other_demands.values()),
            limit.rate_per_s,
            self._units,
            self._reserved,
        )
        burst = limit.burst * rate_per_s / limit.rate_per_s
        self._bucket.refill(rate_per_s, burst, now_s)
        if self._bucket.level < 0:
            return LimitVerdict(is_admitted=False)
        self._bucket.level -= amount
        return LimitVerdict(is_admitted=True)

    def update_group_use(
        self, sender: str, use: GroupUse, now_s: float
    ) -> None:
        self._other_demands[sender] = use.spent.get(NAME, 0.0)

    def has_urgent_use(self) -> bool:
        return False

    def use(self, process: str, now_s: float) -> GroupUse:
        return GroupUse(process, 1, {NAME: self._demand.per_s(now_s)})


@attrs.define
class LimiterSimulation:
    """Simulates calls and records the maximum window use and excess refusals.

    `policy` is 'domain' (a limiter per domain), 'node' (equal shares per node)
    or 'demand' (shares per node by its demand).
    """

    nodes: int = 60
    hotspot: Hotspot | None = None
    partition: Partition | None = None
    delay_s: float = 0.002
    kills: tuple[tuple[float, str], ...] = ()
    clock_skew_s: float = 0.0
    reduced_limit: RateLimit | None = None
    policy: str = 'domain'
    seed: int = 1
    duration_s: float = 45.0
    max_window_use: float = attrs.field(default=0.0, init=False)
    offered: float = attrs.field(default=0.0, init=False)
    admitted: float = attrs.field(default=0.0, init=False)
    ideal_admitted: float = attrs.field(default=0.0, init=False)
    _units: list[Unit] = attrs.field(factory=list, init=False)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count, init=False)

    @property
    def allowed(self) -> float:
        """The number of tokens that may be admitted within a window."""
        limit = self.reduced_limit or LIMIT
        window_amount = limit.rate_per_s * WINDOW_S + limit.burst
        return window_amount * OVERRUN_FACTOR + SLACK_TOKENS

    @property
    def excess_refused(self) -> float:
        """The tokens that only a single central limiter would have admitted.

        It is negative if a central limiter would have admitted less.
        """
        return self.ideal_admitted - self.admitted

    def run(self) -> 'LimiterSimulation':
        """Run the simulation."""
        random = Random(self.seed)
        self._units = [self._unit(*unit) for unit in self._unit_sizes()]
        central = TokenBucket(LIMIT.burst, 0.0)
        window: deque[tuple[float, float]] = deque()
        events: list[tuple[float, int, str, object]] = []

        def schedule(at_s: float, kind: str, subject: object = None) -> None:
            heapq.heappush(events, (at_s, next(self._sequence), kind, subject))

        for at_s, tokens, number in self._calls(random):
            schedule(at_s, 'call', (tokens, number))
        for at_s, domains in self.kills:
            schedule(at_s, 'kill', domains)
        first = -int(WARM_UP_S / TICK_S)
        for tick in range(first, int(self.duration_s / TICK_S)):
            schedule(tick * TICK_S, 'check')
        while events:
            now_s, _, kind, subject = heapq.heappop(events)
            if kind == 'kill':
                self._kill(str(subject))
            elif kind == 'check':
                for sender, use, receiver in self._exchange_reports(now_s):
                    at_s = now_s + self.delay_s
                    schedule(at_s, 'told', (sender, use, receiver))
            elif kind == 'told':
                sender, use, receiver = subject
                receiver.limiter.update_group_use(
                    sender, use, now_s + receiver.offset_s
                )
            else:
                tokens, number = subject
                limit = self._limit(now_s, '')
                central.refill(limit.rate_per_s, limit.burst, now_s)
                if central.level >= 0:
                    central.level -= tokens
                    self.ideal_admitted += tokens
                self.offered += tokens
                if self._admit(now_s, tokens, number):
                    self.admitted += tokens
                    window.append((now_s, tokens))
                    self._update_max_window(window, now_s)
        return self

    def _unit_sizes(self) -> list[tuple[str, int]]:
        sizes = [len(range(index, self.nodes, 3)) for index in range(3)]
        if self.policy == 'domain':
            return list(zip('abc', sizes, strict=True))
        return [
            (domain, 1)
            for domain, size in zip('abc', sizes, strict=True)
            for _ in range(size)
        ]

    def _unit(self, domain: str, nodes: int) -> Unit:
        number = next(self._sequence)
        return Unit(
            domain,
            nodes,
            self.clock_skew_s * number,
            self._limiter(),
            f'{domain}.{number}',
        )

    def _limiter(self) -> RateLimiter:
        settings = FleetLimiterSettings(
            window_s=WINDOW_S,
            overrun_share=OVERRUN_FACTOR - 1,
            slack=SLACK_TOKENS,
        )
        limiter: RateLimiter = FleetLimiter(settings)
        if self.policy == 'demand':
            limiter = DemandShareLimiter(self.nodes)
        limiter.take_limits({NAME: LIMIT})
        return limiter

    def _calls(self, random: Random) -> Iterator[tuple[float, float, int]]:
        for domain in 'abc':
            calls_per_s = LIMIT.rate_per_s / HEADROOM / MEAN_TOKENS / 3
            now_s = 1.0
            while True:
                is_hot = (
                    self.hotspot is not None and domain in self.hotspot.domains
                )
                times = self.hotspot.times if is_hot and now_s > 8 else 1.0
                now_s += random.expovariate(calls_per_s * times)
                if now_s > self.duration_s:
                    break
                tokens = random.lognormvariate(
                    math.log(MEAN_TOKENS) - TOKENS_SIGMA * TOKENS_SIGMA / 2,
                    TOKENS_SIGMA,
                )
                number = random.choice(
                    [
                        index
                        for index, unit in enumerate(self._units)
                        if unit.domain == domain
                    ]
                )
                yield now_s, min(MAX_TOKENS, tokens), number

    def _limit(self, now_s: float, domain: str) -> RateLimit:
        """Return the limit known in a domain; a partition delays its change."""
        if self.reduced_limit is None:
            return LIMIT
        since_s = FAULT_START_S
        if self.partition is not None and domain in self.partition.domains:
            since_s += self.partition.duration_s
        return self.reduced_limit if now_s >= since_s else LIMIT

    def _admit(self, now_s: float, tokens: float, number: int) -> bool:
        unit = self._units[number]
        unit.limiter.take_limits({NAME: self._limit(now_s, unit.domain)})
        verdict = unit.limiter.admit(NAME, tokens, now_s + unit.offset_s)
        return verdict.is_admitted

    def _kill(self, domains: str) -> None:
        for unit in self._units:
            if unit.domain in domains:
                unit.limiter = self._limiter()
                unit.process = f'{unit.domain}.{next(self._sequence)}'

    def _exchange_reports(
        self, now_s: float
    ) -> Iterator[tuple[str, GroupUse, Unit]]:
        for unit in self._units:
            local_s = now_s + unit.offset_s
            unit.limiter.take_nodes(unit.nodes, self.nodes, local_s)
            is_due = now_s - unit.reported_s >= HEARTBEAT_S
            if self.policy == 'node' or not (
                is_due or unit.limiter.has_urgent_use()
            ):
                continue
            unit.reported_s = now_s
            use = unit.limiter.use(unit.process, local_s)
            name = f'{unit.domain}.{self._units.index(unit)}'
            for other in self._units:
                if other is not unit and not self._is_separated(
                    unit, other, now_s
                ):
                    yield name, use, other

    def _is_separated(self, unit: Unit, other: Unit, now_s: float) -> bool:
        partition = self.partition
        return partition is not None and partition.separates(
            unit.domain, other.domain, now_s
        )

    def _update_max_window(
        self, window: deque[tuple[float, float]], now_s: float
    ) -> None:
        while window[0][0] < now_s - WINDOW_S:
            window.popleft()
        since_s = 0.0
        if self.reduced_limit is not None:
            since_s = (
                FAULT_START_S
                + APPLY_LIMIT_S
                + (self.partition.duration_s if self.partition else 0)
            )
        if now_s - WINDOW_S >= since_s or self.reduced_limit is None:
            total = sum(tokens for _, tokens in window)
            self.max_window_use = max(self.max_window_use, total)
