"""The platform as a pure model: store, targets, usage and instances."""

from typing import Any, Literal

import attrs

from dandelionyoke_standins._errors import LostAnswerError, OutageError
from dandelionyoke_standins._meter import CallMeter
from dandelionyoke_standins._store import StoreModel
from dandelionyoke_standins._targets import (
    Target,
    TargetBook,
    TargetOrder,
    TargetOrderAnswer,
    TargetSettings,
)

Figure = dict[str, Any]


@attrs.frozen
class PlatformSettings:
    """Lags and limits of the platform; no limit where none is given."""

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
    """A usage report as it came in."""

    window_id: str
    domain: str
    fence: int
    reporter: str
    figures: tuple[Figure, ...] = attrs.field(default=(), converter=tuple)


@attrs.define
class PlatformFaults:
    """What is wrong with the platform at present.

    Outage, delay and lost answers touch the calls on keys with the prefix,
    or every call when it is empty.
    """

    outage: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    keys: str = ''

    def touches(self, key: str | None) -> bool:
        """Tell whether a call is on the faulty part."""
        if not self.keys:
            return True
        return key is not None and key.startswith(self.keys)

    def before(self, key: str | None) -> None:
        """Refuse a call during an outage."""
        if self.outage and self.touches(key):
            raise OutageError(cause='outage')

    def after_write(self, key: str | None) -> None:
        """Lose the answer of a write that has taken effect."""
        if self.lose_answers > 0 and self.touches(key):
            self.lose_answers -= 1
            raise LostAnswerError(key=key)


@attrs.frozen
class ReceivedOrder:
    """A target order as received, with what was answered."""

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
    """All that came in, repeats too, for checks from outside."""

    orders: list[ReceivedOrder] = attrs.field(factory=list)
    usage: list[ReceivedUsage] = attrs.field(factory=list)


@attrs.frozen
class _Sighting:
    at_s: float
    instance: Instance | None


class PlatformModel:
    """The platform without HTTP.

    Who drives it says `enter` before each call and `leave` after a change,
    so that the call is counted and meets the faults of the moment.
    """

    def __init__(self, settings: PlatformSettings | None = None) -> None:
        self.settings = settings or PlatformSettings()
        self.store = StoreModel()
        self.faults = PlatformFaults()
        self.meter = CallMeter(self.settings.limits_per_s)
        self.record = PlatformRecord()
        self._book = TargetBook(self.settings.targets)
        self._sightings: dict[str, list[_Sighting]] = {}

    def delay_s(self, key: str | None) -> float:
        """Tell how long a call waits before it takes effect."""
        return self.faults.delay_s if self.faults.touches(key) else 0

    def enter(self, kind: str, key: str | None, now_s: float) -> None:
        """Count a call; refuse it over the rate limit or in an outage."""
        self.meter.count(kind, now_s)
        self.faults.before(key)
        self.store.expire(now_s)

    def leave(self, key: str | None) -> None:
        """Lose the answer of a change that has taken effect, if told so."""
        self.faults.after_write(key)

    def list_instance(self, instance: Instance, now_s: float) -> None:
        """List an instance, or change its state."""
        self._see(instance.instance_id, instance, now_s)

    def unlist_instance(self, instance_id: str, now_s: float) -> None:
        """Take an instance off the list."""
        self._see(instance_id, None, now_s)

    def instances(self, now_s: float) -> tuple[Instance, ...]:
        """Give the list as it was some time ago."""
        listed = (
            self._listed(instance_id, now_s) for instance_id in self._sightings
        )
        return tuple(instance for instance in listed if instance is not None)

    def replace_targets(
        self, targets: list[Target], spares: list[Target]
    ) -> None:
        """List these targets; orders take further ones from the spares."""
        self._book.replace(targets, spares)

    def targets(self, now_s: float) -> tuple[Target, ...]:
        """Give the targets of this moment."""
        return self._book.targets(now_s)

    def order_targets(
        self, order: TargetOrder, now_s: float
    ) -> TargetOrderAnswer:
        """Take a target order and record it."""
        answer = self._book.order(order, now_s)
        self.record.orders.append(ReceivedOrder(now_s, order, answer))
        return answer

    def reclaim_targets(
        self, domain: str, notice_s: float, now_s: float
    ) -> None:
        """Take back the reclaimable targets of a domain after a notice."""
        self._book.reclaim(domain, notice_s, now_s)

    def report_usage(self, window: UsageWindow, now_s: float) -> None:
        """Record a usage report, also when it repeats another."""
        self.record.usage.append(ReceivedUsage(now_s, window))

    def _see(
        self, instance_id: str, instance: Instance | None, now_s: float
    ) -> None:
        sightings = self._sightings.setdefault(instance_id, [])
        sightings.append(_Sighting(now_s, instance))

    def _listed(self, instance_id: str, now_s: float) -> Instance | None:
        sightings = self._sightings[instance_id]
        until_s = now_s - self.settings.lag_s
        while len(sightings) > 1 and sightings[1].at_s <= until_s:
            sightings.pop(0)
        if sightings[0].at_s > until_s:
            return None
        return sightings[0].instance
