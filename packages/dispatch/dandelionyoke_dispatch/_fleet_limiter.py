"""Rate limits kept by a few nodes, each of which decides for a group.

The nodes of a failure domain ask one of them, so that calls that are large
against a limit are charged one after the other. Those few tell one another
what they have let in, and each of them holds a budget for the whole fleet.
A part of the fleet that hears nothing of the rest gives out no more than its
share of the limit, by its share of the nodes: all parts of a partition
together stay within the whole.

A call is let in while the budget is not in debt, whatever the call's size: one
that waited for the whole amount would starve large calls behind small ones.
"""

from collections import deque
from collections.abc import Mapping

import attrs

from dandelionyoke_dispatch._limit_budget import (
    BucketBudget,
    LimitBudget,
    LimitPart,
    SteadyWindowBudget,
)
from dandelionyoke_dispatch._rate_limit import LimitVerdict, RateLimit


@attrs.frozen
class FleetLimiterSettings:
    """How long news counts, and what is told again.

    Another limiter that was not heard for `stale_s` is taken to be cut off,
    and is dropped after `forgotten_s`. The highest number of nodes of the
    last `nodes_memory_s` holds: those on the other side of a partition leave
    the list of nodes while they still serve. What was let in is told again
    for `repeat_s`, and at once past `urgent_share` of the burst. No caller is
    sent away for longer than `longest_retry_s`.

    Over `window_s` an organisation may use `overrun_share` and `slack` more
    than its limit. A part of the fleet that is cut off uses its share of
    `cut_off_share` of that: at a fraction of the rate a single large call
    would have the next ones refused for seconds.
    """

    stale_s: float = 0.8
    forgotten_s: float = 10.0
    nodes_memory_s: float = 30.0
    repeat_s: float = 1.0
    urgent_share: float = 0.02
    longest_retry_s: float = 10.0
    window_s: float = 0.0
    overrun_share: float = 0.0
    slack: float = 0.0
    cut_off_share: float = 0.5


@attrs.define
class _Account:
    """One organisation's budget and what this node has let in."""

    budget: LimitBudget
    spent: float = 0.0
    told: float = 0.0
    changed_s: float = 0.0
    # When the last of the callers that were sent away may come back.
    returns_s: float = 0.0


@attrs.frozen
class GroupUse:
    """What one limiter has let in since its start, by organisation.

    `process` changes with a restart; `nodes` are those it decides for.
    """

    process: str
    nodes: int
    spent: Mapping[str, float]


@attrs.define
class _Group:
    process: str
    nodes: int
    heard_s: float
    spent: dict[str, float] = attrs.field(factory=dict)


class FleetLimiter:
    """The limits as the limiter of one group of nodes keeps them."""

    def __init__(self, settings: FleetLimiterSettings) -> None:
        self._settings = settings
        self._limits: Mapping[str, RateLimit] = {}
        self._accounts: dict[str, _Account] = {}
        self._groups: dict[str, _Group] = {}
        self._own_nodes = 1
        self._totals: deque[tuple[float, int]] = deque([(0.0, 1)])

    # What is known of the fleet.

    def take_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Put the limits of all organisations in force."""
        self._limits = limits
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if name in limits
        }

    @property
    def has_limits(self) -> bool:
        """Whether any organisation has a limit."""
        return bool(self._limits)

    def limit_of(self, organisation: str) -> RateLimit | None:
        """Find the limit of an organisation; None: it has none."""
        return self._limits.get(organisation)

    def take_nodes(self, own: int, total: int, now_s: float) -> None:
        """Take how many nodes this one decides for, of how many."""
        for name in self._limits.keys() - self._accounts.keys():
            self._open(name, now_s)
        self._own_nodes = max(0, own)
        while self._totals and self._totals[-1][1] <= total:
            self._totals.pop()
        self._totals.append((now_s, max(1, total)))
        oldest_s = now_s - self._settings.nodes_memory_s
        while len(self._totals) > 1 and self._totals[0][0] < oldest_s:
            self._totals.popleft()

    def told(self, sender: str, use: GroupUse, now_s: float) -> None:
        """Take what another limiter has let in.

        Nothing is charged for the time in which it was not heard: both sides
        kept to their own shares then.
        """
        known = self._groups.get(sender)
        is_followed = (
            known is not None
            and known.process == use.process
            and now_s - known.heard_s <= self._settings.stale_s
        )
        group = _Group(use.process, max(0, use.nodes), now_s)
        if known is not None and known.process == use.process:
            group.spent.update(known.spent)
        for name, spent in use.spent.items():
            if is_followed and name in self._limits:
                more = spent - group.spent.get(name, 0.0)
                account = self._account(name, now_s)
                account.budget.spend(more, sender, self._part(name, now_s))
            group.spent[name] = spent
        self._groups[sender] = group

    def share(self, now_s: float) -> float:
        """Tell the part of a limit that the nodes heard of may give out."""
        return self._share_of(self._fresh(now_s))

    # Calls.

    def admit(
        self, organisation: str, amount: float, now_s: float
    ) -> LimitVerdict:
        """Decide on a call, and charge it if it is within the limit."""
        if organisation not in self._limits:
            return LimitVerdict(is_admitted=True)
        account = self._account(organisation, now_s)
        part = self._part(organisation, now_s)
        level = account.budget.level(part)
        if level < -self._allowance(part):
            return self._refuse(account, part, amount)
        self._spend(account, part, amount)
        return LimitVerdict(
            is_admitted=True,
            level=level,
            share=part.share,
            news_age_s=self._news_age_s(now_s),
        )

    def charge(self, organisation: str, amount: float, now_s: float) -> None:
        """Charge what was let in elsewhere; a negative amount is a refund."""
        if organisation in self._limits:
            account = self._account(organisation, now_s)
            self._spend(account, self._part(organisation, now_s), amount)

    def over_s(self, organisation: str, now_s: float) -> float:
        """Tell for how long an organisation stays over its limit."""
        if organisation not in self._limits:
            return 0.0
        account = self._account(organisation, now_s)
        return self._over_s(account, self._part(organisation, now_s))

    # What others are told.

    def has_urgent_use(self) -> bool:
        """Whether others should hear at once of what was let in."""
        return any(
            abs(account.spent - account.told)
            > self._settings.urgent_share * self._limits[name].burst
            for name, account in self._accounts.items()
        )

    def use(self, process: str, now_s: float) -> GroupUse:
        """Tell what this node has let in, as far as it changed of late."""
        oldest_s = now_s - self._settings.repeat_s
        spent = {}
        for name, account in self._accounts.items():
            if account.changed_s >= oldest_s:
                account.told = account.spent
                spent[name] = account.spent
        return GroupUse(process, self._own_nodes, spent)

    def _refuse(
        self, account: _Account, part: LimitPart, amount: float
    ) -> LimitVerdict:
        """Send a caller away until those before it have had their turn."""
        now_s = part.now_s
        over_s = self._over_s(account, part)
        latest_s = now_s + self._settings.longest_retry_s
        turn_s = min(max(account.returns_s, now_s + over_s), latest_s)
        account.returns_s = turn_s + amount / (
            part.limit.rate_per_s * part.share
        )
        return LimitVerdict(
            is_admitted=False,
            retry_after_s=turn_s - now_s,
            over_s=over_s,
            level=account.budget.level(part),
            share=part.share,
            news_age_s=self._news_age_s(now_s),
        )

    def _over_s(self, account: _Account, part: LimitPart) -> float:
        missing = -account.budget.level(part) - self._allowance(part)
        return account.budget.wait_s(part, missing) if missing > 0 else 0.0

    def _allowance(self, part: LimitPart) -> float:
        """Tell how far a budget may be in debt before calls are refused."""
        if part.share >= 1:
            return 0.0
        settings = self._settings
        overrun = settings.overrun_share * part.whole(settings.window_s)
        slack = settings.slack * part.share
        return settings.cut_off_share * (overrun + slack)

    def _part(self, organisation: str, now_s: float) -> LimitPart:
        fresh = self._fresh(now_s)
        return LimitPart(
            self._limits[organisation],
            self._share_of(fresh),
            frozenset(fresh),
            now_s,
        )

    def _share_of(self, fresh: Mapping[str, _Group]) -> float:
        nodes = (group.nodes for group in fresh.values())
        heard = self._own_nodes + sum(nodes)
        return max(1, heard) / max(self._totals[0][1], heard)

    def _spend(self, account: _Account, part: LimitPart, amount: float) -> None:
        account.budget.spend(amount, '', part)
        account.spent += amount
        account.changed_s = part.now_s

    def _account(self, name: str, now_s: float) -> _Account:
        return self._accounts.get(name) or self._open(name, now_s)

    def _open(self, name: str, now_s: float) -> _Account:
        window_s = self._settings.window_s
        budget: LimitBudget = BucketBudget(now_s)
        if window_s > 0:
            budget = SteadyWindowBudget(window_s, now_s)
        account = _Account(budget)
        self._accounts[name] = account
        return account

    def _fresh(self, now_s: float) -> dict[str, _Group]:
        """Name the limiters that are heard, with what they told."""
        self._groups = {
            sender: group
            for sender, group in self._groups.items()
            if now_s - group.heard_s < self._settings.forgotten_s
        }
        return {
            sender: group
            for sender, group in self._groups.items()
            if now_s - group.heard_s <= self._settings.stale_s
        }

    def _news_age_s(self, now_s: float) -> float:
        ages_s = [now_s - group.heard_s for group in self._groups.values()]
        return max(ages_s, default=0.0)
