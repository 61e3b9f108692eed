"""A pure model of the platform: store, targets, usage and instances."""

from typing import Any, Literal

import attrs

from dandelionyoke_standins._errors import LostAnswerError, OutageError
from dandelionyoke_standins._meter import CallMeter
from dandelionyoke_standins._store import StoreModel
from dandelionyoke_standins._targets import (
    Target,
    TargetOrder,
    TargetOrderAnswer,
    TargetRegistry,
    TargetSettings,
)

Figure = dict[str, Any]


@attrs.frozen
class PlatformSettings:
    """Delays and rate limits of the platform; a missing limit is unlimited."""

    lag_s: float = 1.0
    targets: TargetSettings = attrs.field(factory=TargetSettings)
    limits_per_s: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Instance:
    """An entry instance as the platform lists it."""

    instance_id: str
    domain: str
    caller_address: str
    peer_address: str
    state: Literal['live', 'leaving'] = 'live'


@attrs.frozen
class UsageWindow:
    """A usage report as received."""

    window_id: str
    domain: str
    fence: int
    reporter: str
    figures: tuple[Figure, ...] = attrs.field(default=(), converter=tuple)


@attrs.define
class PlatformFaults:
    """The faults that are currently injected.

    Outage, delay and lost answers affect calls on keys with the prefix
    `keys`, or every call if it is empty.
    """

    outage: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    keys: str = ''

    def applies_to(self, key: str | None) -> bool:
        """Return whether the faults affect calls on this key."""
        if not self.keys:
            return True
        return key is not None and key.startswith(self.keys)

    def before(self, key: str | None) -> None:
        """Check for an outage before a call.

        Raises:
            OutageError: There is an outage for this key.
        """
        if self.outage and self.applies_to(key):
            raise OutageError(cause='outage')

    def after_write(self, key: str | None) -> None:
        """Lose the answer of a completed write, if that fault is active.

        Raises:
            LostAnswerError: The write took effect; its answer is lost.
        """
        if self.lose_answers > 0 and self.applies_to(key):
            self.lose_answers -= 1
            raise LostAnswerError(key=key)


@attrs.frozen
class ReceivedOrder:
    """A target order as received, with its answer."""

    at_s: float
    order: TargetOrder
    answer: TargetOrderAnswer


@attrs.frozen
class ReceivedUsage:
    """A usage report as received."""

    at_s: float
    window: UsageWindow


@attrs.define
class PlatformRecord:
    """Every order and usage report, repeats included, for checks by tests."""

    orders: list[ReceivedOrder] = attrs.field(factory=list)
    usage: list[ReceivedUsage] = attrs.field(factory=list)


@attrs.frozen
class _ListingChange:
    at_s: float
    instance: Instance | None


class PlatformModel:
    """The platform without HTTP.

    The server calls `begin_call` before each call and `finish_write` after
    each change, which count the call and apply the injected faults.
    """

    def __init__(self, settings: PlatformSettings | None = None) -> None:
        self.settings = settings or PlatformSettings()
        self.store = StoreModel()
        self.faults = PlatformFaults()
        self.meter = CallMeter(self.settings.limits_per_s)
        self.record = PlatformRecord()
        self._target_registry = TargetRegistry(self.settings.targets)
        self._listing_changes: dict[str, list[_ListingChange]] = {}

    def delay_s(self, key: str | None) -> float:
        """Return how long a call is delayed before it takes effect."""
        return self.faults.delay_s if self.faults.applies_to(key) else 0

    def begin_call(self, kind: str, key: str | None, now_s: float) -> None:
        """Count a call and expire leases.

        Raises:
            RateLimitError: The rate limit is exceeded.
            OutageError: There is an outage for this key.
        """
        self.meter.count(kind, now_s)
        self.faults.before(key)
        self.store.expire(now_s)

    def finish_write(self, key: str | None) -> None:
        """Lose the answer of a completed change, if that fault is active."""
        self.faults.after_write(key)

    def list_instance(self, instance: Instance, now_s: float) -> None:
        """Add an instance to the list, or replace its entry."""
        self._record_change(instance.instance_id, instance, now_s)

    def unlist_instance(self, instance_id: str, now_s: float) -> None:
        """Remove an instance from the list."""
        self._record_change(instance_id, None, now_s)

    def instances(self, now_s: float) -> tuple[Instance, ...]:
        """Return the instance list as it was `lag_s` ago."""
        listed = (
            self._listed_instance(instance_id, now_s)
            for instance_id in self._listing_changes
        )
        return tuple(instance for instance in listed if instance is not None)

    def replace_targets(
        self, targets: list[Target], spares: list[Target]
    ) -> None:
        """Replace the listed targets and the spares that orders may add."""
        self._target_registry.replace(targets, spares)

    def targets(self, now_s: float) -> tuple[Target, ...]:
        """Return the current targets."""
        return self._target_registry.targets(now_s)

    def order_targets(
        self, order: TargetOrder, now_s: float
    ) -> TargetOrderAnswer:
        """Process a target order and record it."""
        answer = self._target_registry.order(order, now_s)
        self.record.orders.append(ReceivedOrder(now_s, order, answer))
        return answer

    def reclaim_targets(
        self, domain: str, notice_s: float, now_s: float
    ) -> None:
        """Reclaim the spot targets of a domain after a notice period."""
        self._target_registry.reclaim(domain, notice_s, now_s)

    def report_usage(self, window: UsageWindow, now_s: float) -> None:
        """Record a usage report, even if it repeats an earlier one."""
        self.record.usage.append(ReceivedUsage(now_s, window))

    def _record_change(
        self, instance_id: str, instance: Instance | None, now_s: float
    ) -> None:
        changes = self._listing_changes.setdefault(instance_id, [])
        changes.append(_ListingChange(now_s, instance))

    def _listed_instance(
        self, instance_id: str, now_s: float
    ) -> Instance | None:
        changes = self._listing_changes[instance_id]
        visible_until_s = now_s - self.settings.lag_s
        while len(changes) > 1 and changes[1].at_s <= visible_until_s:
            changes.pop(0)
        if changes[0].at_s > visible_until_s:
            return None
        return changes[0].instance
