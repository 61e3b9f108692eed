"""Simulates the requests of a fleet to one target that names a limit."""

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from random import Random

import attrs

from dandelionyoke_dispatch import (
    FleetLimiter,
    FleetLimiterSettings,
    GroupUse,
    RateLimit,
)

NAME = 'i-1'
TICK_S = 0.1
HEARTBEAT_S = 0.3
# From this long after the first naming, a target gets at most OVERRUN times
# its limit plus SLACK requests in any WINDOW_S.
NOTICE_S = 3.0
WINDOW_S = 4.0
OVERRUN = 1.5
SLACK = 5
FAULT_S = 15.0


@attrs.define
class Group:
    """The nodes of a failure domain and their limiter."""

    name: str
    nodes: int
    limiter: FleetLimiter
    process: str
    reported_s: float = -HEARTBEAT_S


@attrs.define
class TargetLimitSimulation:
    """Calls of all nodes, each of which would go to the limited target.

    `policy` is 'domain' (a limiter per domain) or 'node' (equal shares of all
    nodes). `cut` names domains that exchange no messages with the others for
    10 s, `killed` those whose limiter restarts, from `FAULT_S` on.
    """

    nodes: int
    domains: int
    rate_per_s: float
    demand_per_s: float = 50.0
    delay_s: float = 0.001
    policy: str = 'domain'
    cut: tuple[int, ...] = ()
    killed: tuple[int, ...] = ()
    seed: int = 1
    duration_s: float = 60.0
    most_in_window: int = attrs.field(default=0, init=False)
    admitted: int = attrs.field(default=0, init=False)
    _groups: list[Group] = attrs.field(factory=list, init=False)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count, init=False)
    _events: list[tuple[float, int, str, object]] = attrs.field(
        factory=list, init=False
    )

    @property
    def allowed(self) -> float:
        """The most requests that the target may get in a window."""
        return OVERRUN * self.rate_per_s * WINDOW_S + SLACK

    @property
    def used_share(self) -> float:
        """The share of the limit that was used after the notice."""
        return self.admitted / (self.rate_per_s * (self.duration_s - NOTICE_S))

    def run(self) -> 'TargetLimitSimulation':
        """Run the simulation."""
        self._groups = [self._group(size) for size in self._group_sizes()]
        self._schedule_all(Random(self.seed))
        window: deque[float] = deque()
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == 'call':
                if self._admit(self._groups[int(str(subject))], now_s):
                    self._count(window, now_s)
            elif kind == 'check':
                self._check(now_s)
            elif kind == 'told':
                sender, use, receiver = subject
                receiver.limiter.update_group_use(sender, use, now_s)
            else:
                self._kill()
        return self

    def _schedule_all(self, random: Random) -> None:
        now_s = 0.0
        while now_s < self.duration_s:
            now_s += random.expovariate(self.demand_per_s)
            self._schedule(now_s, 'call', random.randrange(len(self._groups)))
        for tick in range(int(self.duration_s / TICK_S)):
            self._schedule(tick * TICK_S, 'check')
        if self.killed:
            self._schedule(FAULT_S, 'kill')

    def _schedule(self, at_s: float, kind: str, subject: object = None) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), kind, subject))

    def _group_sizes(self) -> list[int]:
        if self.policy == 'node':
            return [1] * self.nodes
        return [
            len(range(index, self.nodes, self.domains))
            for index in range(self.domains)
        ]

    def _group(self, nodes: int) -> Group:
        name = f'{next(self._numbers)}'
        return Group(name, nodes, self._limiter(), f'{name}.1')

    def _limiter(self) -> FleetLimiter:
        settings = FleetLimiterSettings(
            urgent_burst_share=0.1, spaced_burst_s=0.5
        )
        limiter = FleetLimiter(settings)
        rate = self.rate_per_s
        limiter.take_limits({NAME: RateLimit(rate, burst=max(1.0, rate))})
        limiter.take_nodes(1, self.nodes, 0.0)
        return limiter

    def _admit(self, group: Group, now_s: float) -> bool:
        if not group.limiter.admit(NAME, 1.0, now_s).is_admitted:
            return False
        if group.limiter.has_urgent_use():
            self._report(group, now_s)
        return True

    def _check(self, now_s: float) -> None:
        for group in self._groups:
            group.limiter.take_nodes(group.nodes, self.nodes, now_s)
            if now_s - group.reported_s >= HEARTBEAT_S:
                self._report(group, now_s)

    def _report(self, group: Group, now_s: float) -> None:
        if self.policy == 'node':
            return
        group.reported_s = now_s
        use: GroupUse = group.limiter.use(group.process, now_s)
        for other in self._groups:
            if other is not group and not self._is_cut(group, other, now_s):
                at_s = now_s + self.delay_s
                self._schedule(at_s, 'told', (group.name, use, other))

    def _is_cut(self, one: Group, other: Group, now_s: float) -> bool:
        sides = {
            self._groups.index(group) in self.cut for group in (one, other)
        }
        return len(sides) > 1 and FAULT_S <= now_s < FAULT_S + 10

    def _kill(self) -> None:
        for index in self.killed:
            group = self._groups[index]
            group.limiter = self._limiter()
            group.process = f'{group.name}.{next(self._numbers)}'

    def _count(self, window: deque[float], now_s: float) -> None:
        if now_s < NOTICE_S:
            return
        self.admitted += 1
        window.append(now_s)
        while window[0] < now_s - WINDOW_S:
            window.popleft()
        self.most_in_window = max(self.most_in_window, len(window))
