"""Rate limits enforced by a few limiters, one per group of nodes.

A limit belongs to an account: an organisation whose calls it bounds, or a
target that takes no more requests than that.

The nodes of a failure domain send their requests to one limiter, so that calls
that are large compared with a limit are charged one after the other. The
limiters report to each other what they admitted, and each of them keeps a
budget for the whole fleet. A part of the fleet that is partitioned from the
rest admits no more than its share of the limit, in proportion to its share of
the nodes, so that all sides of a partition together stay within the limit.

A call of any size is admitted while the budget is not in debt. If calls waited
for their full amount, small calls would starve large ones.
"""

from collections import deque
from collections.abc import Mapping

import attrs

from dandelionyoke_dispatch._limit_budget import (
    LimitBudget,
    LimitPart,
    PacedWindowBudget,
    SpacedBudget,
    TokenBucketBudget,
)
from dandelionyoke_dispatch._rate_limit import LimitVerdict, RateLimit


@attrs.frozen
class FleetLimiterSettings:
    """Lifetimes of reports, and tolerances of the limits.

    Another limiter counts as partitioned if nothing was received from it for
    `stale_s`, and is removed after `evict_after_s`. The fleet size is the
    highest number of nodes within the last `node_count_memory_s`, because nodes
    on the other side of a partition are removed from the list of nodes while
    they still serve calls. An admitted amount is reported repeatedly for
    `repeat_s`, and immediately once it exceeds `urgent_burst_share` of the
    burst. No caller is told to wait for longer than `max_retry_after_s`.

    In a window of `window_s` an account may exceed its limit by
    `overrun_share` and `slack`. A partitioned part of the fleet uses its share
    of `partition_overrun_share` of that; otherwise, at a fraction of the rate,
    a single large call would cause refusals for seconds.

    With `spaced_burst_s`, calls are admitted at an even rate, and what that
    time earns may be used at once.
    """

    stale_s: float = 0.8
    evict_after_s: float = 10.0
    node_count_memory_s: float = 30.0
    repeat_s: float = 1.0
    urgent_burst_share: float = 0.02
    max_retry_after_s: float = 10.0
    window_s: float = 0.0
    overrun_share: float = 0.0
    slack: float = 0.0
    partition_overrun_share: float = 0.5
    spaced_burst_s: float | None = None


@attrs.define
class _Account:
    """The budget of one account, and what this limiter admitted."""

    budget: LimitBudget
    spent: float = 0.0
    reported: float = 0.0
    changed_s: float = 0.0
    # The latest retry time that was given to a refused caller.
    next_retry_s: float = 0.0


@attrs.frozen
class GroupUse:
    """The amounts that one limiter admitted since its start, by account.

    `process` changes with each restart; `nodes` is the number of nodes served.
    """

    process: str
    nodes: int
    spent: Mapping[str, float]


@attrs.define
class _Group:
    process: str
    nodes: int
    received_s: float
    spent: dict[str, float] = attrs.field(factory=dict)


class FleetLimiter:
    """The rate limits as enforced by the limiter of one group of nodes."""

    def __init__(self, settings: FleetLimiterSettings) -> None:
        self._settings = settings
        self._limits: Mapping[str, RateLimit] = {}
        self._accounts: dict[str, _Account] = {}
        self._groups: dict[str, _Group] = {}
        self._group_nodes = 1
        self._fleet_sizes: deque[tuple[float, int]] = deque([(0.0, 1)])

    # Knowledge of the fleet.

    def take_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Replace the limits of all accounts."""
        self._limits = limits
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if name in limits
        }

    @property
    def has_limits(self) -> bool:
        """Whether any account has a limit."""
        return bool(self._limits)

    def limit_of(self, name: str) -> RateLimit | None:
        """Return the limit of an account; None if it has none."""
        return self._limits.get(name)

    def take_nodes(self, own: int, total: int, now_s: float) -> None:
        """Update the number of nodes in this group and in the fleet."""
        for name in self._limits.keys() - self._accounts.keys():
            self._open_account(name, now_s)
        self._group_nodes = max(0, own)
        while self._fleet_sizes and self._fleet_sizes[-1][1] <= total:
            self._fleet_sizes.pop()
        self._fleet_sizes.append((now_s, max(1, total)))
        oldest_s = now_s - self._settings.node_count_memory_s
        while len(self._fleet_sizes) > 1 and self._fleet_sizes[0][0] < oldest_s:
            self._fleet_sizes.popleft()

    def update_group_use(
        self, sender: str, use: GroupUse, now_s: float
    ) -> None:
        """Process a report of what another limiter admitted.

        Amounts admitted while no reports arrived are not charged, because both
        sides kept to their own shares during that time.
        """
        known = self._groups.get(sender)
        is_continuous = (
            known is not None
            and known.process == use.process
            and now_s - known.received_s <= self._settings.stale_s
        )
        group = _Group(use.process, max(0, use.nodes), now_s)
        if known is not None and known.process == use.process:
            group.spent.update(known.spent)
        for name, spent in use.spent.items():
            if is_continuous and name in self._limits:
                added = spent - group.spent.get(name, 0.0)
                account = self._account(name, now_s)
                account.budget.spend(
                    added, sender, self._limit_part(name, now_s)
                )
            group.spent[name] = spent
        self._groups[sender] = group

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no report could be read out of their ages."""
        for group in self._groups.values():
            group.received_s += standstill_s

    def share(self, now_s: float) -> float:
        """Return the share of each limit that this side may admit."""
        return self._limit_share(self._fresh_groups(now_s))

    # Calls.

    def admit(self, name: str, amount: float, now_s: float) -> LimitVerdict:
        """Decide on a call, and charge it if it is admitted."""
        if name not in self._limits:
            return LimitVerdict(is_admitted=True)
        account = self._account(name, now_s)
        part = self._limit_part(name, now_s)
        level = account.budget.level(part)
        if level < -self._max_debt(part):
            return self._refuse(account, part, amount)
        self._spend(account, part, amount)
        return LimitVerdict(
            is_admitted=True,
            level=level,
            share=part.share,
            news_age_s=self._news_age_s(now_s),
        )

    def charge(self, name: str, amount: float, now_s: float) -> None:
        """Charge an amount admitted elsewhere; a negative one is a refund."""
        if name in self._limits:
            account = self._account(name, now_s)
            self._spend(account, self._limit_part(name, now_s), amount)

    def over_s(self, name: str, now_s: float) -> float:
        """Return how long an account will stay over its limit."""
        if name not in self._limits:
            return 0.0
        account = self._account(name, now_s)
        return self._over_s(account, self._limit_part(name, now_s))

    # Reports to other limiters.

    def has_urgent_use(self) -> bool:
        """Whether the admitted amounts should be reported immediately."""
        return any(
            abs(account.spent - account.reported)
            > self._settings.urgent_burst_share * self._limits[name].burst
            for name, account in self._accounts.items()
        )

    def use(self, process: str, now_s: float) -> GroupUse:
        """Return the admitted amounts that changed recently."""
        oldest_s = now_s - self._settings.repeat_s
        spent = {}
        for name, account in self._accounts.items():
            if account.changed_s >= oldest_s:
                account.reported = account.spent
                spent[name] = account.spent
        return GroupUse(process, self._group_nodes, spent)

    def _refuse(
        self, account: _Account, part: LimitPart, amount: float
    ) -> LimitVerdict:
        """Refuse a call; callers refused earlier may retry before this one."""
        now_s = part.now_s
        over_s = self._over_s(account, part)
        latest_s = now_s + self._settings.max_retry_after_s
        retry_s = min(max(account.next_retry_s, now_s + over_s), latest_s)
        account.next_retry_s = retry_s + amount / (
            part.limit.rate_per_s * part.share
        )
        return LimitVerdict(
            is_admitted=False,
            retry_after_s=retry_s - now_s,
            over_s=over_s,
            level=account.budget.level(part),
            share=part.share,
            news_age_s=self._news_age_s(now_s),
        )

    def _over_s(self, account: _Account, part: LimitPart) -> float:
        deficit = -account.budget.level(part) - self._max_debt(part)
        return account.budget.wait_s(part, deficit) if deficit > 0 else 0.0

    def _max_debt(self, part: LimitPart) -> float:
        """Return the debt up to which calls are still admitted."""
        if part.share >= 1:
            return 0.0
        settings = self._settings
        overrun = settings.overrun_share * part.window_amount(settings.window_s)
        slack = settings.slack * part.share
        return settings.partition_overrun_share * (overrun + slack)

    def _limit_part(self, name: str, now_s: float) -> LimitPart:
        fresh = self._fresh_groups(now_s)
        return LimitPart(
            self._limits[name],
            self._limit_share(fresh),
            frozenset(fresh),
            now_s,
        )

    def _limit_share(self, fresh: Mapping[str, _Group]) -> float:
        nodes = (group.nodes for group in fresh.values())
        known_nodes = self._group_nodes + sum(nodes)
        return max(1, known_nodes) / max(self._fleet_sizes[0][1], known_nodes)

    def _spend(self, account: _Account, part: LimitPart, amount: float) -> None:
        account.budget.spend(amount, '', part)
        account.spent += amount
        account.changed_s = part.now_s

    def _account(self, name: str, now_s: float) -> _Account:
        return self._accounts.get(name) or self._open_account(name, now_s)

    def _open_account(self, name: str, now_s: float) -> _Account:
        account = _Account(self._new_budget(now_s))
        self._accounts[name] = account
        return account

    def _new_budget(self, now_s: float) -> LimitBudget:
        settings = self._settings
        if settings.spaced_burst_s is not None:
            return SpacedBudget(now_s, settings.spaced_burst_s)
        if settings.window_s > 0:
            return PacedWindowBudget(settings.window_s, now_s)
        return TokenBucketBudget(now_s)

    def _fresh_groups(self, now_s: float) -> dict[str, _Group]:
        """Return the reports that are not stale, by sender."""
        self._groups = {
            sender: group
            for sender, group in self._groups.items()
            if now_s - group.received_s < self._settings.evict_after_s
        }
        return {
            sender: group
            for sender, group in self._groups.items()
            if now_s - group.received_s <= self._settings.stale_s
        }

    def _news_age_s(self, now_s: float) -> float:
        ages_s = [now_s - group.received_s for group in self._groups.values()]
        return max(ages_s, default=0.0)
