"""How slow engines are, by the times that their prefills took.

Load: engines of one service differ in speed by a factor of two, and slow down
and recover within seconds. A node hears reports only from engines that answer
its own calls; the placing node learns the prefill times of its whole domain.
"""

import math

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_speed import USUAL, TargetSpeeds


@attrs.frozen
class EnginePaceSettings:
    """How prefill times are turned into a slowness.

    A prompt replaces `engine_weight` of the slowness of its engine, and
    `service_weight` of what is usual in its service. What was measured gives
    way to what the engine reports, by `1 - 1/e` in `fade_s` without a prompt, so
    that a slow engine is tried again. A prompt that should take less than
    `min_expected_s` mostly measures the network and is ignored. None counts as
    more than `max_ratio` times as slow, or as fast, as usual.
    """

    engine_weight: float = 0.25
    service_weight: float = 0.05
    fade_s: float = 2.0
    min_expected_s: float = 0.02
    max_ratio: float = 3.0


@attrs.frozen
class _Measured:
    slowness: float
    measured_s: float
    started_ms: int | None


class EnginePaces:
    """The slowness of each engine, at one node; 1 is usual."""

    def __init__(
        self, settings: EnginePaceSettings, speeds: TargetSpeeds
    ) -> None:
        self._settings = settings
        self._speeds = speeds
        self._measured: dict[str, _Measured] = {}
        # By service: the mean of measured times over expected ones.
        self._usual_ratios: dict[str, float] = {}

    def observe(
        self,
        target: RegisteredTarget,
        expected_s: float,
        took_s: float,
        now_s: float,
    ) -> None:
        """Add a prefill that would take `expected_s` at a usual engine."""
        if expected_s < self._settings.min_expected_s or took_s <= 0:
            return
        ratio = took_s / expected_s
        usual_ratio = self._usual_ratios.get(target.service, USUAL)
        max_ratio = self._settings.max_ratio
        relative = min(max_ratio, max(1 / max_ratio, ratio / usual_ratio))
        self._usual_ratios[target.service] = usual_ratio * (
            1 + self._settings.service_weight * (relative - 1)
        )
        known = self.slowness(target, now_s)
        change = self._settings.engine_weight * (relative - known)
        self._measured[target.target_id] = _Measured(
            known + change, now_s, target.started_ms
        )

    def slowness(self, target: RegisteredTarget, now_s: float) -> float:
        """Return how long a prefill takes, as a multiple of usual."""
        reported = self._speeds.slowness(target.target_id, now_s)
        known = self._measured.get(target.target_id)
        if known is None or known.started_ms != target.started_ms:
            return reported
        elapsed_s = max(0.0, now_s - known.measured_s)
        kept = math.exp(-elapsed_s / self._settings.fade_s)
        return kept * known.slowness + (1 - kept) * reported

    def age_s(self, target: RegisteredTarget, now_s: float) -> float | None:
        """Return the age of the last measured prefill; None if none."""
        known = self._measured.get(target.target_id)
        return None if known is None else now_s - known.measured_s

    def forget(self, known: frozenset[str]) -> None:
        """Remove engines that are gone."""
        self._measured = {
            target_id: measured
            for target_id, measured in self._measured.items()
            if target_id in known
        }
