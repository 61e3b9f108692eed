"""The targets that asked this instance to send nothing for a while."""

from collections.abc import Iterable, Sequence
from random import Random

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class TargetRestSettings:
    """How calls return after a rest.

    Many nodes may be asked for the same rest at the same moment. Each adds up
    to `spread_share` of it, and up to `max_spread_s`; so do the callers that a
    node refuses. No caller is told to wait for longer than
    `max_retry_after_s`.
    """

    spread_share: float = 0.2
    max_spread_s: float = 1.0
    max_retry_after_s: float = 10.0


@attrs.frozen
class _Rest:
    started_ms: int | None
    until_s: float
    spread_s: float


class TargetRests:
    """The ends of the rests that targets asked for."""

    def __init__(self, settings: TargetRestSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._rests: dict[str, _Rest] = {}

    def ask(
        self, target: RegisteredTarget, rest_s: float, now_s: float
    ) -> None:
        """Record that a target wants no request for so long.

        A shorter rest does not end an earlier one.
        """
        settings = self._settings
        spread_s = min(settings.max_spread_s, settings.spread_share * rest_s)
        until_s = now_s + rest_s + self._random.uniform(0, spread_s)
        known = self._rests.get(target.target_id)
        if known is not None and known.started_ms == target.started_ms:
            until_s = max(until_s, known.until_s)
        self._rests[target.target_id] = _Rest(
            target.started_ms, until_s, spread_s
        )

    def left_s(self, target: RegisteredTarget, now_s: float) -> float:
        """Return how long a target still rests; 0 if it does not.

        A rest ends when the target starts anew.
        """
        rest = self._rests.get(target.target_id)
        if rest is None or rest.started_ms != target.started_ms:
            return 0.0
        return max(0.0, rest.until_s - now_s)

    def is_resting(self, target: RegisteredTarget, now_s: float) -> bool:
        """Whether a target wants no request now."""
        return self.left_s(target, now_s) > 0

    @property
    def has_rests(self) -> bool:
        """Whether any listed target has asked for rest."""
        return bool(self._rests)

    def retry_after_s(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> float:
        """Return when a caller may return: after the soonest end."""
        ends = [
            (self.left_s(target, now_s), self._rests[target.target_id].spread_s)
            for target in targets
            if self.is_resting(target, now_s)
        ]
        left_s, spread_s = min(ends, default=(0.0, 0.0))
        spread_s = self._random.uniform(0, spread_s)
        return min(left_s + spread_s, self._settings.max_retry_after_s)

    def forget(self, targets: Iterable[RegisteredTarget]) -> None:
        """Drop the rests of targets that are gone."""
        if self._rests:
            listed = {target.target_id for target in targets}
            self._rests = {
                target_id: rest
                for target_id, rest in self._rests.items()
                if target_id in listed
            }
