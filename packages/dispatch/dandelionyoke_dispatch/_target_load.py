"""What this node has under way at each target, and which ones misbehave."""

import enum
from collections.abc import Callable

import attrs

# A reported load says nothing about work that came and went since.
REPORT_LIFETIME_S = 1.0


@enum.unique
class TargetFailure(enum.Enum):
    """What a call met at a target instead of an answer."""

    BROKEN = 'broken'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'


FailureListener = Callable[[str, TargetFailure], None]


@attrs.frozen
class SuspicionSettings:
    """When a target is left alone, and for how long.

    A target that fails calls while its health check passes would swallow a
    share of the traffic for as long as it lasts. After `failures_in_a_row`
    it gets nothing for `first_rest_s`, doubled with each further failure.
    One that another node suspects gets nothing for `suspected_s`. Failures
    are forgotten after `forgotten_s` without a further one.
    """

    failures_in_a_row: int = 2
    first_rest_s: float = 0.5
    longest_rest_s: float = 4.0
    suspected_s: float = 0.4
    forgotten_s: float = 8.0


@attrs.define
class _Load:
    own: int = 0
    reported: int = 0
    reported_s: float = -REPORT_LIFETIME_S
    failures: int = 0
    failed_s: float = 0.0
    rests_until_s: float = 0.0
    is_lost: bool = False


class TargetLoads:
    """Counts dispatches and their ends by target."""

    def __init__(self, settings: SuspicionSettings) -> None:
        self._settings = settings
        self._loads: dict[str, _Load] = {}
        self._listener: FailureListener | None = None

    def listen(self, listener: FailureListener) -> None:
        """Tell a listener of each failure that this node's calls meet."""
        self._listener = listener

    def began(self, target_id: str) -> None:
        """Count a dispatch."""
        self._of(target_id).own += 1

    def ended(self, target_id: str) -> None:
        """Count the end of a dispatch, however it went."""
        load = self._of(target_id)
        load.own = max(0, load.own - 1)

    def reported(self, target_id: str, busy: int, now_s: float) -> None:
        """Take what a target said of its running and waiting calls."""
        load = self._of(target_id)
        load.reported = busy
        load.reported_s = now_s

    def succeeded(self, target_id: str) -> None:
        """Forget the failures of a target."""
        load = self._of(target_id)
        load.failures = 0
        load.is_lost = False

    def failed(self, target_id: str, now_s: float) -> None:
        """Count a failure; several in a row make the target rest."""
        self._count(target_id, TargetFailure.BROKEN, now_s)
        self._tell(target_id, TargetFailure.BROKEN)

    def refused(self, target_id: str, now_s: float) -> None:
        """Leave a target alone that said it did not run a call.

        It is full, or it is changing its phase, which the registry tells
        only seconds later; each further refusal doubles the pause.
        """
        self._count(target_id, TargetFailure.REFUSED, now_s)
        self._tell(target_id, TargetFailure.REFUSED)

    def unreachable(self, target_id: str, now_s: float) -> None:
        """Leave a target alone that took no connection."""
        self._count(target_id, TargetFailure.UNREACHABLE, now_s)
        self._tell(target_id, TargetFailure.UNREACHABLE)

    def told(
        self, target_id: str, failure: TargetFailure, now_s: float
    ) -> None:
        """Count a failure that a call of another node met.

        Calls of many nodes fail at the same moment, which says no more than
        one of them.
        """
        if not self.rests(target_id, now_s):
            self._count(target_id, failure, now_s)

    def suspected(self, target_id: str, now_s: float) -> None:
        """Leave a target alone for a moment that another node leaves alone."""
        load = self._of(target_id)
        until_s = now_s + self._settings.suspected_s
        load.rests_until_s = max(load.rests_until_s, until_s)

    def resting(self, now_s: float) -> list[str]:
        """List the targets that are left alone."""
        return sorted(
            target_id
            for target_id, load in self._loads.items()
            if now_s < load.rests_until_s
        )

    def lost(self, now_s: float) -> list[str]:
        """List the targets that take no connection."""
        return [
            target_id
            for target_id in self.resting(now_s)
            if self._of(target_id).is_lost
        ]

    def _tell(self, target_id: str, failure: TargetFailure) -> None:
        if self._listener is not None:
            self._listener(target_id, failure)

    def _count(
        self, target_id: str, failure: TargetFailure, now_s: float
    ) -> None:
        load = self._of(target_id)
        if now_s - load.failed_s > self._settings.forgotten_s:
            load.failures = 0
        load.failed_s = now_s
        if failure is not TargetFailure.BROKEN:
            # One is enough: the target cannot serve the next call either.
            load.failures = max(load.failures, self._settings.failures_in_a_row)
            load.is_lost = failure is TargetFailure.UNREACHABLE
        load.failures += 1
        excess = load.failures - self._settings.failures_in_a_row
        if excess >= 0:
            rest_s = self._settings.first_rest_s * 2**excess
            load.rests_until_s = now_s + min(
                rest_s, self._settings.longest_rest_s
            )

    def is_lost(self, target_id: str, now_s: float) -> bool:
        """Whether a target took no connection and has not answered since.

        The registry lists one that crashed for some heartbeats more.
        """
        return self.rests(target_id, now_s) and self._of(target_id).is_lost

    def own(self, target_id: str) -> int:
        """Tell how many dispatches of this node are under way."""
        return self._of(target_id).own

    def busy(self, target_id: str, now_s: float) -> int:
        """Estimate the calls at a target, those of other nodes included."""
        load = self._of(target_id)
        if not self.is_told(target_id, now_s):
            return load.own
        return max(load.own, load.reported)

    def is_told(self, target_id: str, now_s: float) -> bool:
        """Whether a target has told its load of late."""
        reported_s = self._of(target_id).reported_s
        return now_s - reported_s <= REPORT_LIFETIME_S

    def rests(self, target_id: str, now_s: float) -> bool:
        """Whether a target is left alone for now."""
        return now_s < self._of(target_id).rests_until_s

    def forget(self, known: frozenset[str]) -> None:
        """Drop targets that are gone and have nothing under way."""
        for target_id in tuple(self._loads):
            if target_id not in known and not self._loads[target_id].own:
                self._loads.pop(target_id)

    def _of(self, target_id: str) -> _Load:
        return self._loads.setdefault(target_id, _Load())
