"""The request rates that targets in need take from all nodes together."""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_dispatch._rate_limit import RateLimit
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class TargetLimitSettings:
    """Lifetimes of observations, and the least rate of requests.

    Only an answer shows that a limit has ended, so a target that names less
    than `min_rate_per_s` gets that rate. The end of a limit is told to other
    nodes for `ended_memory_s`. At most `max_notes` observations are told at
    once, the newest ones. No caller is told to wait for longer than
    `max_retry_after_s`.
    """

    min_rate_per_s: float = 0.1
    ended_memory_s: float = 10.0
    max_notes: int = 64
    max_retry_after_s: float = 10.0


@attrs.frozen
class TargetLimitNote:
    """The limit that an answer of a target named `age_s` ago; None: no limit.

    `started_ms` tells the target apart from a later one with the same id.
    """

    target_id: str
    started_ms: int | None
    rate_per_s: float | None
    age_s: float

    @property
    def is_valid(self) -> bool:
        """Whether the figures are finite and not negative."""
        figures = (self.rate_per_s or 0.0, self.age_s)
        return all(math.isfinite(figure) and figure >= 0 for figure in figures)


@attrs.frozen
class _Observation:
    started_ms: int | None
    rate_per_s: float | None
    observed_s: float


class TargetLimits:
    """The limits that targets named last, as this node or another observed."""

    def __init__(self, settings: TargetLimitSettings) -> None:
        self._settings = settings
        self._observations: dict[str, _Observation] = {}
        # Until when a target takes no further request.
        self._withheld_until_s: dict[str, float] = {}
        # By service, when the next refused caller may return.
        self._next_return_s: dict[str, float] = {}
        # Counts the changes of limits.
        self.version = 0

    def observe(
        self, target: RegisteredTarget, rate_per_s: float | None, now_s: float
    ) -> bool:
        """Record what an answer named; return whether the limit changed.

        An answer without a limit ends an earlier one.
        """
        return self._record(
            target.target_id,
            _Observation(target.started_ms, rate_per_s, now_s),
        )

    def take(self, notes: Iterable[TargetLimitNote], now_s: float) -> bool:
        """Record what other nodes observed; return whether a limit changed."""
        changes = [
            self._record(
                note.target_id,
                _Observation(
                    note.started_ms, note.rate_per_s, now_s - note.age_s
                ),
            )
            for note in notes
            if note.is_valid
        ]
        return any(changes)

    def notes(self, now_s: float) -> tuple[TargetLimitNote, ...]:
        """Return the limits, and the ends of limits, that nodes should know."""
        oldest_s = now_s - self._settings.ended_memory_s
        notes = [
            TargetLimitNote(
                target_id,
                observation.started_ms,
                observation.rate_per_s,
                max(0.0, now_s - observation.observed_s),
            )
            for target_id, observation in self._observations.items()
            if observation.rate_per_s is not None
            or observation.observed_s >= oldest_s
        ]
        notes.sort(key=lambda note: note.age_s)
        return tuple(notes[: self._settings.max_notes])

    def rate_limits(self) -> Mapping[str, RateLimit]:
        """Return the limits in force by target."""
        limits = {}
        for target_id, observation in self._observations.items():
            if observation.rate_per_s is not None:
                rate = max(
                    self._settings.min_rate_per_s, observation.rate_per_s
                )
                limits[target_id] = RateLimit(rate, burst=max(1.0, rate))
        return limits

    def rate_of(self, target_id: str) -> float | None:
        """Return the limit that a target named; None if there is none."""
        observation = self._observations.get(target_id)
        return None if observation is None else observation.rate_per_s

    def withhold(self, target_id: str, until_s: float) -> None:
        """Record that a target takes no further request for a while."""
        if self.rate_of(target_id) is not None:
            self._withheld_until_s[target_id] = until_s

    @property
    def has_withheld(self) -> bool:
        """Whether any target was at its limit since it named one."""
        return bool(self._withheld_until_s)

    def is_withheld(self, target_id: str, now_s: float) -> bool:
        """Whether a target takes no request now because of its limit."""
        return now_s < self._withheld_until_s.get(target_id, 0.0)

    def are_all_withheld(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> bool:
        """Whether there are targets and their limits are all used up."""
        return bool(targets) and all(
            self.is_withheld(target.target_id, now_s) for target in targets
        )

    def retry_after_s(
        self,
        service: str,
        targets: Sequence[RegisteredTarget],
        node_count: int,
        now_s: float,
    ) -> float:
        """Return when a refused caller may return to this node.

        Each caller returns later than the one before, at this node's share of
        the rate that the targets take together.
        """
        if not targets:
            return 0.0
        ids = [target.target_id for target in targets]
        opens_s = min(self._withheld_until_s.get(name, 0.0) for name in ids)
        rate_per_s = sum(self.rate_of(name) or 0.0 for name in ids)
        rate_per_s = max(rate_per_s, self._settings.min_rate_per_s)
        latest_s = now_s + self._settings.max_retry_after_s
        earliest_s = max(now_s, opens_s, self._next_return_s.get(service, 0.0))
        return_s = min(earliest_s, latest_s)
        self._next_return_s[service] = return_s + node_count / rate_per_s
        return return_s - now_s

    def forget(self, targets: Iterable[RegisteredTarget]) -> bool:
        """Drop the limits of targets that are gone; return whether any was.

        A target that started anew under the same id has named no limit yet.
        """
        if not self._observations:
            return False
        started_ms = {target.target_id: target.started_ms for target in targets}
        gone = [
            target_id
            for target_id, observation in self._observations.items()
            if started_ms.get(target_id, -1) != observation.started_ms
        ]
        for target_id in gone:
            self._observations.pop(target_id)
            self._withheld_until_s.pop(target_id, None)
        self.version += bool(gone)
        return bool(gone)

    def _record(self, target_id: str, observation: _Observation) -> bool:
        known = self._observations.get(target_id)
        if known is None and observation.rate_per_s is None:
            return False
        if known is not None and observation.observed_s <= known.observed_s:
            return False
        self._observations[target_id] = observation
        if known is not None and known.rate_per_s == observation.rate_per_s:
            return False
        if observation.rate_per_s is None:
            self._withheld_until_s.pop(target_id, None)
        self.version += 1
        return True
