"""The calls of this node in flight per target, and its suspect targets."""

import enum
import math
from collections.abc import Callable

import attrs

# A reported load does not include calls that started or ended since.
REPORT_LIFETIME_S = 1.0
# Bounds the doublings of a cooldown: 2 to the power of 1024 is no float.
MAX_COOLDOWN_DOUBLINGS = 30


@enum.unique
class TargetFailure(enum.Enum):
    """The kind of failure of a call at a target."""

    BROKEN = 'broken'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'


FailureListener = Callable[[str, TargetFailure], None]


@attrs.frozen
class SuspicionSettings:
    """When a target becomes suspect, and for how long.

    A target that fails calls while its health check passes would otherwise keep
    receiving a share of the traffic. After `failures_in_a_row` it gets no calls
    for a cooldown of `min_cooldown_s`, which doubles with each further failure. A
    target that another node suspects gets no calls for `peer_suspicion_s`.
    Failures expire after `failure_lifetime_s` without a further one.
    """

    failures_in_a_row: int = 2
    min_cooldown_s: float = 0.5
    max_cooldown_s: float = 4.0
    peer_suspicion_s: float = 0.4
    failure_lifetime_s: float = 8.0


@attrs.define
class _Load:
    in_flight: int = 0
    reported: int = 0
    reported_s: float = -math.inf
    failures: int = 0
    last_failure_s: float = 0.0
    cooldown_until_s: float = 0.0
    is_unreachable: bool = False


class TargetLoads:
    """Counts the calls in flight and the failures by target."""

    def __init__(self, settings: SuspicionSettings) -> None:
        self._settings = settings
        self._loads: dict[str, _Load] = {}
        self._listener: FailureListener | None = None

    def listen(self, listener: FailureListener) -> None:
        """Set the listener for failures of calls from this node."""
        self._listener = listener

    def call_started(self, target_id: str) -> None:
        """Count the start of a call."""
        self._load_of(target_id).in_flight += 1

    def call_ended(self, target_id: str) -> None:
        """Count the end of a call, whether it succeeded or not."""
        load = self._load_of(target_id)
        load.in_flight = max(0, load.in_flight - 1)

    def reported(self, target_id: str, busy: int, now_s: float) -> None:
        """Record the running and queued calls that a target reported."""
        load = self._load_of(target_id)
        load.reported = busy
        load.reported_s = now_s

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no report could be read out of their ages."""
        for load in self._loads.values():
            load.reported_s += standstill_s

    def succeeded(self, target_id: str) -> None:
        """Reset the failures of a target."""
        load = self._load_of(target_id)
        load.failures = 0
        load.is_unreachable = False

    def connected(self, target_id: str) -> None:
        """Record that an unreachable target accepts connections again."""
        load = self._load_of(target_id)
        if load.is_unreachable:
            load.is_unreachable = False
            load.failures = 0
            load.cooldown_until_s = 0.0

    def failed(self, target_id: str, now_s: float) -> None:
        """Count a failure; several in a row make the target suspect."""
        self._count_failure(target_id, TargetFailure.BROKEN, now_s)
        self._notify(target_id, TargetFailure.BROKEN)

    def refused(self, target_id: str, now_s: float) -> None:
        """Make a target suspect that reported not running a call.

        It is full, or it is changing its phase, which appears in the registry
        only seconds later. Each further refusal doubles the cooldown.
        """
        self._count_failure(target_id, TargetFailure.REFUSED, now_s)
        self._notify(target_id, TargetFailure.REFUSED)

    def unreachable(self, target_id: str, now_s: float) -> None:
        """Make a target suspect that accepted no connection."""
        self._count_failure(target_id, TargetFailure.UNREACHABLE, now_s)
        self._notify(target_id, TargetFailure.UNREACHABLE)

    def record_peer_failure(
        self, target_id: str, failure: TargetFailure, now_s: float
    ) -> None:
        """Count a failure of a call from another node.

        Failures that many nodes report at the same moment carry no more
        information than one, so they are ignored during a cooldown. A target
        that responded here a moment ago is not unreachable; the other node may
        have lost its own path.
        """
        if failure is TargetFailure.UNREACHABLE and self.has_recent_report(
            target_id, now_s
        ):
            return
        if not self.is_in_cooldown(target_id, now_s):
            self._count_failure(target_id, failure, now_s)

    def suspected(self, target_id: str, now_s: float) -> None:
        """Make a target suspect briefly because another node suspects it."""
        self.suspect_until(target_id, now_s + self._settings.peer_suspicion_s)

    def suspect_until(self, target_id: str, until_s: float) -> None:
        """Make a target suspect until a time, for another reason than calls."""
        load = self._load_of(target_id)
        load.cooldown_until_s = max(load.cooldown_until_s, until_s)

    def in_cooldown(self, now_s: float) -> list[str]:
        """Return the targets in cooldown."""
        return sorted(
            target_id
            for target_id, load in self._loads.items()
            if now_s < load.cooldown_until_s
        )

    def unreachable_ids(self, now_s: float) -> list[str]:
        """Return the targets that accept no connection."""
        return [
            target_id
            for target_id in self.in_cooldown(now_s)
            if self._load_of(target_id).is_unreachable
        ]

    def _notify(self, target_id: str, failure: TargetFailure) -> None:
        if self._listener is not None:
            self._listener(target_id, failure)

    def _count_failure(
        self, target_id: str, failure: TargetFailure, now_s: float
    ) -> None:
        load = self._load_of(target_id)
        if now_s - load.last_failure_s > self._settings.failure_lifetime_s:
            load.failures = 0
        load.last_failure_s = now_s
        if failure is not TargetFailure.BROKEN:
            # One is enough: the target cannot serve the next call either.
            load.failures = max(load.failures, self._settings.failures_in_a_row)
            load.is_unreachable = failure is TargetFailure.UNREACHABLE
        load.failures += 1
        excess = load.failures - self._settings.failures_in_a_row
        if excess >= 0:
            doublings = min(excess, MAX_COOLDOWN_DOUBLINGS)
            cooldown_s = self._settings.min_cooldown_s * 2**doublings
            load.cooldown_until_s = now_s + min(
                cooldown_s, self._settings.max_cooldown_s
            )

    def is_unreachable(self, target_id: str, now_s: float) -> bool:
        """Whether a target accepted no connection and is still in cooldown.

        The registry lists a crashed target for some heartbeats more.
        """
        return (
            self.is_in_cooldown(target_id, now_s)
            and self._load_of(target_id).is_unreachable
        )

    def own(self, target_id: str) -> int:
        """Return the number of calls that this node has in flight."""
        return self._load_of(target_id).in_flight

    def busy(self, target_id: str, now_s: float) -> int:
        """Estimate the calls at a target, including those of other nodes."""
        load = self._load_of(target_id)
        if not self.has_recent_report(target_id, now_s):
            return load.in_flight
        return max(load.in_flight, load.reported)

    def has_recent_report(self, target_id: str, now_s: float) -> bool:
        """Whether a target reported its load recently."""
        reported_s = self._load_of(target_id).reported_s
        return now_s - reported_s <= REPORT_LIFETIME_S

    def is_in_cooldown(self, target_id: str, now_s: float) -> bool:
        """Whether a target is in cooldown."""
        return now_s < self._load_of(target_id).cooldown_until_s

    def forget(self, known: frozenset[str]) -> None:
        """Remove targets that are gone and have no calls in flight."""
        for target_id in tuple(self._loads):
            if target_id not in known and not self._loads[target_id].in_flight:
                self._loads.pop(target_id)

    def _load_of(self, target_id: str) -> _Load:
        return self._loads.setdefault(target_id, _Load())
