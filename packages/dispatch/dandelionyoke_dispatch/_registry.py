"""The registered targets, and which of them accept work."""

import enum
from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._version_history import (
    StreamOrigin,
    VersionHistory,
)

# Targets that leave or left; far more than leave within minutes.
MAX_LEAVING_TARGETS = 1024


@enum.unique
class Phase(enum.Enum):
    """The phase of the work that a language engine performs.

    UNKNOWN: the engine refused work of its listed phase.
    """

    PREFILL = 'prefill'
    DECODE = 'decode'
    ANY = 'any'
    UNKNOWN = 'unknown'


@attrs.frozen
class RegisteredTarget:
    """The registry entry of a target.

    `version` is that of its software; empty if the entry names none.
    """

    target_id: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool
    phase: Phase = Phase.ANY
    is_reclaimable: bool = False
    started_ms: int | None = None
    version: str = ''


@attrs.frozen
class RegistrySettings:
    """Grace periods for missing and for new targets.

    After an outage of the store in which their entries expired, targets need
    about two seconds to register again. If they were removed at once, no
    targets would be left for callers. A target counts as new for
    `new_target_s`: the phase of an engine that has just started is often
    changed at once, and the change is visible only after the heartbeat, the
    order and the delay of a listing. What an engine's refusal shows of its
    phase counts for `phase_notice_s`, or until the registry lists that phase.
    """

    return_grace_s: float = 2.5
    outage_s: float = 1.5
    new_target_s: float = 5.0
    phase_notice_s: float = 5.0


@attrs.frozen
class _PhaseNotice:
    """The phase whose work a start of a target refused, until it is listed."""

    refused: Phase
    started_ms: int | None
    until_s: float
    actual: Phase = Phase.UNKNOWN

    def applies_to(self, target: RegisteredTarget, now_s: float) -> bool:
        """Whether an entry still shows the phase that was refused."""
        return (
            now_s < self.until_s
            and target.phase is self.refused
            and target.started_ms == self.started_ms
        )


class TargetRegistry:
    """The latest listing, updated with what targets reported since."""

    def __init__(self, settings: RegistrySettings) -> None:
        self._settings = settings
        self._targets: dict[str, RegisteredTarget] = {}
        # When each target was added, except those of the first listing.
        self._added_s: dict[str, float] = {}
        self._is_known = False
        self.version_history = VersionHistory()
        self._outage_since_s: float | None = None
        self._grace_until_s = 0.0
        self._missing: set[str] = set()
        # The starts of the targets that leave or left, the latest last.
        self._leaving_starts: dict[str, int | None] = {}
        self._phase_notices: dict[str, _PhaseNotice] = {}
        # The versions of the targets by service; filled on use.
        self._versions: dict[str, frozenset[str]] = {}

    @property
    def is_known(self) -> bool:
        """Whether any listing was received."""
        return self._is_known

    @property
    def settled_s(self) -> float:
        """When the targets that an outage removed must be listed again."""
        return self._grace_until_s

    def replace(
        self,
        targets: Iterable[RegisteredTarget],
        now_s: float,
        confirmed_s: float | None = None,
    ) -> None:
        """Replace the targets by a complete listing.

        It was valid at `confirmed_s`, by default now.
        """
        targets = tuple(targets)
        is_first = not self._is_known
        self._is_known = True
        outage_since_s = self._outage_since_s
        if (
            outage_since_s is not None
            and now_s - outage_since_s > self._settings.outage_s
        ):
            self._grace_until_s = now_s + self._settings.return_grace_s
        self._outage_since_s = None
        missing = dict(self._targets)
        for target in targets:
            known = missing.pop(target.target_id, None)
            is_same = known and known.started_ms == target.started_ms
            if not is_first and not is_same:
                self._added_s[target.target_id] = now_s
            self._store_target(self._with_phase(target, now_s))
        self._missing = set(missing)
        self.version_history.observe(
            # An entry that is not used here may be used by another node.
            _origins((*self._targets.values(), *targets)),
            now_s if confirmed_s is None else confirmed_s,
        )
        self.end_grace(now_s)

    def grace_left_s(self, now_s: float) -> float | None:
        """Return the time left until missing targets are removed, if any."""
        if not self._missing:
            return None
        return max(0, self._grace_until_s - now_s)

    def end_grace(self, now_s: float) -> None:
        """Remove missing targets if the grace period is over."""
        if now_s < self._grace_until_s:
            return
        self._versions.clear()
        for target_id in self._missing:
            self._remove(target_id)
        self._missing.clear()

    def store_replaced(self, now_s: float) -> None:
        """Record that the store came back from a copy that may lack targets."""
        self._grace_until_s = now_s + self._settings.return_grace_s

    def store_failed(self, now_s: float) -> None:
        """Record that the store returned no listing."""
        if self._outage_since_s is None:
            self._outage_since_s = now_s

    def mark_leaving(self, target_id: str, started_ms: int | None) -> bool:
        """Record that a target said it leaves; return whether that is new.

        Only a new start under the same id ends this. The target need not be
        listed at the moment.
        """
        known = self._targets.get(target_id)
        if known is not None and known.started_ms != started_ms:
            return False
        is_new = target_id not in self._leaving_starts
        self._remember_leaving(target_id, started_ms)
        if known is not None:
            self._targets[target_id] = attrs.evolve(known, is_leaving=True)
        return is_new

    def refuse_phase(self, target: RegisteredTarget, now_s: float) -> bool:
        """Record that a target refused work of the phase of its entry.

        Its phase is unknown from now on. False if its entry has changed since
        the work was sent.
        """
        known = self._targets.get(target.target_id)
        if (
            known is None
            or known.phase is not target.phase
            or known.started_ms != target.started_ms
        ):
            return False
        until_s = now_s + self._settings.phase_notice_s
        notice = _PhaseNotice(target.phase, target.started_ms, until_s)
        self._set_phase(known, notice)
        return True

    def settle_phase(self, target: RegisteredTarget) -> Phase | None:
        """Record that a target itself refused work; return its phase.

        None if its entry has changed since.
        """
        notice = self._phase_notices.get(target.target_id)
        known = self._targets.get(target.target_id)
        if notice is None or known is None:
            return None
        if notice.started_ms != target.started_ms:
            return None
        is_decoding = notice.refused is Phase.PREFILL
        phase = Phase.DECODE if is_decoding else Phase.PREFILL
        self._set_phase(known, attrs.evolve(notice, actual=phase))
        return phase

    def forget_phase(self, target_id: str) -> None:
        """Use the listed phase of a target again if its own is unknown."""
        known = self._targets.get(target_id)
        if known is None or known.phase is not Phase.UNKNOWN:
            return
        phase = self.listed_phase(known)
        self._phase_notices.pop(target_id)
        self._targets[target_id] = attrs.evolve(known, phase=phase)

    def listed_phase(self, target: RegisteredTarget) -> Phase:
        """Return the phase of a target, the listed one if it is unknown."""
        notice = self._phase_notices.get(target.target_id)
        if target.phase is Phase.UNKNOWN and notice is not None:
            return notice.refused
        return target.phase

    def refused_phase(self, target_id: str) -> Phase | None:
        """Return the listed phase whose work a target refused, if any."""
        notice = self._phase_notices.get(target_id)
        return None if notice is None else notice.refused

    def is_new(self, target_id: str, now_s: float) -> bool:
        """Whether a target was added a short while ago."""
        added_s = self._added_s.get(target_id)
        return (
            added_s is not None
            and now_s - added_s < self._settings.new_target_s
        )

    def find(self, target_id: str) -> RegisteredTarget | None:
        """Return a target by its id; None if it is not listed."""
        return self._targets.get(target_id)

    def has_ended(self, target: RegisteredTarget) -> bool:
        """Whether the start of a target is listed no more, or replaced."""
        known = self._targets.get(target.target_id)
        return known is None or self.is_replaced(target)

    def is_replaced(self, target: RegisteredTarget) -> bool:
        """Whether a later start has the id or the address of a target."""
        return any(
            _is_earlier_start(target, other)
            for other in self._targets.values()
            if target.target_id == other.target_id
            or target.address == other.address
        )

    def of_service(self, service: str) -> list[RegisteredTarget]:
        """Return the targets of a service that accept new work."""
        targets = self.all_of_service(service)
        return [target for target in targets if not target.is_leaving]

    def all_of_service(self, service: str) -> list[RegisteredTarget]:
        """Return all targets of a service, including leaving ones."""
        targets = self._targets.values()
        return [target for target in targets if target.service == service]

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of the listed targets of a service."""
        known = self._versions.get(service)
        if known is None:
            targets = self.all_of_service(service)
            known = frozenset(target.version for target in targets)
            self._versions[service] = known
        return known

    def _remove(self, target_id: str) -> None:
        self._added_s.pop(target_id, None)
        self._phase_notices.pop(target_id, None)
        target = self._targets.pop(target_id, None)
        # A store that comes back from a copy may list it as usable again.
        if target is not None and target.is_leaving:
            if target.started_ms is not None:
                self._remember_leaving(target_id, target.started_ms)

    def _remember_leaving(self, target_id: str, started_ms: int | None) -> None:
        self._leaving_starts.pop(target_id, None)
        self._leaving_starts[target_id] = started_ms
        if len(self._leaving_starts) > MAX_LEAVING_TARGETS:
            self._leaving_starts.pop(next(iter(self._leaving_starts)))

    def _set_phase(self, known: RegisteredTarget, notice: _PhaseNotice) -> None:
        self._phase_notices[known.target_id] = notice
        self._targets[known.target_id] = attrs.evolve(
            known, phase=notice.actual
        )

    def _with_phase(
        self, target: RegisteredTarget, now_s: float
    ) -> RegisteredTarget:
        """Apply what a refusal shows, unless the entry shows it or is newer."""
        notice = self._phase_notices.get(target.target_id)
        if notice is None:
            return target
        if notice.applies_to(target, now_s):
            return attrs.evolve(target, phase=notice.actual)
        self._phase_notices.pop(target.target_id)
        return target

    def _store_target(self, target: RegisteredTarget) -> None:
        known = self._targets.get(target.target_id)
        if known is not None and _is_earlier_start(target, known):
            # Of a store that came back from a copy, or of a late listing.
            return
        # An outdated listing must not reactivate a target that reported that it
        # is leaving; only a restart under the same id does.
        if known is not None and known.started_ms == target.started_ms:
            if known.is_leaving:
                target = attrs.evolve(target, is_leaving=True)
        if target.target_id in self._leaving_starts:
            target = self._with_notice(target)
        self._versions.clear()
        self._targets[target.target_id] = target

    def _with_notice(self, target: RegisteredTarget) -> RegisteredTarget:
        """Apply what a target said itself, unless it has started anew."""
        if self._leaving_starts[target.target_id] == target.started_ms:
            return attrs.evolve(target, is_leaving=True)
        self._leaving_starts.pop(target.target_id)
        return target


def _origins(targets: Iterable[RegisteredTarget]) -> list[StreamOrigin]:
    pairs = {(target.service, target.version) for target in targets}
    return [StreamOrigin(*pair) for pair in pairs]


def _is_earlier_start(
    target: RegisteredTarget, known: RegisteredTarget
) -> bool:
    """Whether an entry is of a start before the known one."""
    if target.started_ms is None or known.started_ms is None:
        return False
    return target.started_ms < known.started_ms
