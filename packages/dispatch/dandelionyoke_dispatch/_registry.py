"""The targets that registered themselves, and which of them take work."""

import enum
from collections.abc import Iterable

import attrs


@enum.unique
class Phase(enum.Enum):
    """Which part of the work a language engine does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    ANY = 'any'


@attrs.frozen
class RegisteredTarget:
    """What a target says of itself in the registry."""

    target_id: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool
    phase: Phase = Phase.ANY
    is_reclaimable: bool = False
    started_ms: int | None = None


@attrs.frozen
class RegistrySettings:
    """How long an entry may be missing after the store was away.

    Targets need about two seconds to enter themselves again after an outage
    in which their entries lapsed; to take them for gone at once would leave
    callers without any target. A target is new for `new_s` after it came:
    the phase of an engine that has just started is often changed at once,
    which takes the heartbeat, the order and the lag of a listing to show.
    """

    return_grace_s: float = 2.5
    outage_s: float = 1.5
    new_s: float = 5.0


class TargetRegistry:
    """The last listing, with what targets themselves have said since."""

    def __init__(self, settings: RegistrySettings) -> None:
        self._settings = settings
        self._targets: dict[str, RegisteredTarget] = {}
        # When the targets came that were not in the first listing.
        self._came_s: dict[str, float] = {}
        self._is_known = False
        self._away_since_s: float | None = None
        self._forgive_until_s = 0.0
        self._missing: set[str] = set()

    @property
    def is_known(self) -> bool:
        """Whether there was a listing at all."""
        return self._is_known

    def replace(
        self, targets: Iterable[RegisteredTarget], now_s: float
    ) -> None:
        """Take a whole listing."""
        is_first = not self._is_known
        self._is_known = True
        away_s = self._away_since_s
        if away_s is not None and now_s - away_s > self._settings.outage_s:
            self._forgive_until_s = now_s + self._settings.return_grace_s
        self._away_since_s = None
        missing = dict(self._targets)
        for target in targets:
            known = missing.pop(target.target_id, None)
            is_same = known and known.started_ms == target.started_ms
            if not is_first and not is_same:
                self._came_s[target.target_id] = now_s
            self._take(target)
        self._missing = set(missing)
        self.end_grace(now_s)

    def grace_left_s(self, now_s: float) -> float | None:
        """Tell for how long missing targets stay; None: none is missing."""
        if not self._missing:
            return None
        return max(0, self._forgive_until_s - now_s)

    def end_grace(self, now_s: float) -> None:
        """Take missing targets for gone once the grace is over."""
        if now_s < self._forgive_until_s:
            return
        for target_id in self._missing:
            self._targets.pop(target_id, None)
            self._came_s.pop(target_id, None)
        self._missing.clear()

    def store_failed(self, now_s: float) -> None:
        """Note that the store gave no listing."""
        if self._away_since_s is None:
            self._away_since_s = now_s

    def mark_leaving(self, target_id: str, started_ms: int | None) -> None:
        """Remember that a target itself said that it leaves."""
        known = self._targets.get(target_id)
        if known is not None and known.started_ms == started_ms:
            left = attrs.evolve(known, is_leaving=True)
            self._targets[target_id] = left

    def is_new(self, target_id: str, now_s: float) -> bool:
        """Whether a target came a short while ago."""
        came_s = self._came_s.get(target_id)
        return came_s is not None and now_s - came_s < self._settings.new_s

    def find(self, target_id: str) -> RegisteredTarget | None:
        """Find a target by its id; None if it is not listed."""
        return self._targets.get(target_id)

    def of_service(self, service: str) -> list[RegisteredTarget]:
        """List the targets of a service that take new work."""
        found = self.all_of_service(service)
        return [target for target in found if not target.is_leaving]

    def all_of_service(self, service: str) -> list[RegisteredTarget]:
        """List the targets of a service, with those that are leaving."""
        found = self._targets.values()
        return [target for target in found if target.service == service]

    def _take(self, target: RegisteredTarget) -> None:
        known = self._targets.get(target.target_id)
        # A late listing must not call back a target that said itself that it
        # leaves; only a new start under the same id does.
        if known is not None and known.started_ms == target.started_ms:
            if known.is_leaving:
                target = attrs.evolve(target, is_leaving=True)
        self._targets[target.target_id] = target
