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
    callers without any target.
    """

    return_grace_s: float = 2.5
    outage_s: float = 1.5


@attrs.define
class _Entry:
    target: RegisteredTarget
    is_listed: bool = True
    left_s: float | None = None


class TargetRegistry:
    """The last listing, with what targets themselves have said since."""

    def __init__(self, settings: RegistrySettings) -> None:
        self._settings = settings
        self._entries: dict[str, _Entry] = {}
        self._is_known = False
        self._away_since_s: float | None = None
        self._forgive_until_s = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there was a listing at all."""
        return self._is_known

    def replace(
        self, targets: Iterable[RegisteredTarget], now_s: float
    ) -> None:
        """Take a whole listing."""
        self._is_known = True
        away_s = self._away_since_s
        if away_s is not None and now_s - away_s > self._settings.outage_s:
            self._forgive_until_s = now_s + self._settings.return_grace_s
        self._away_since_s = None
        missing = dict(self._entries)
        for target in targets:
            missing.pop(target.target_id, None)
            self._take(target)
        for target_id in missing:
            if now_s >= self._forgive_until_s:
                self._entries.pop(target_id)

    def store_failed(self, now_s: float) -> None:
        """Note that the store gave no listing."""
        if self._away_since_s is None:
            self._away_since_s = now_s

    def mark_leaving(self, target_id: str, started_ms: int | None) -> None:
        """Remember that a target itself said that it leaves."""
        entry = self._entries.get(target_id)
        if entry is not None and entry.target.started_ms == started_ms:
            entry.target = attrs.evolve(entry.target, is_leaving=True)

    def find(self, target_id: str) -> RegisteredTarget | None:
        """Look a target up; None when it is gone."""
        entry = self._entries.get(target_id)
        return None if entry is None else entry.target

    def of_service(self, service: str) -> list[RegisteredTarget]:
        """List the targets of a service that take new work."""
        found = (entry.target for entry in self._entries.values())
        return [
            target
            for target in found
            if target.service == service and not target.is_leaving
        ]

    def all_of_service(self, service: str) -> list[RegisteredTarget]:
        """List the targets of a service, with those that are leaving."""
        found = (entry.target for entry in self._entries.values())
        return [target for target in found if target.service == service]

    def _take(self, target: RegisteredTarget) -> None:
        known = self._entries.get(target.target_id)
        # A late listing must not call back a target that said itself that it
        # leaves; only a new start under the same id does.
        if known is not None and known.target.started_ms == target.started_ms:
            if known.target.is_leaving:
                target = attrs.evolve(target, is_leaving=True)
        self._entries[target.target_id] = _Entry(target)
