"""How slow the machines of targets are, by what the targets say.

Load: targets of one service share their machines with other work, and differ
in speed by a factor of two. A count of calls takes a slow target for as good as
a fast one, so that its callers wait.

A report changes many times a second, and a node hears from a target only with
its answers, so that a single report says little of the next call. The mean of
the last reports says which targets are slow for longer.
"""

import math

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget

USUAL = 1.0


@attrs.frozen
class TargetSpeedSettings:
    """How fast reports fade.

    A report replaces `1 - 1/e` of the mean after `mean_s` without others; a
    mean without a report for `lifetime_s` is not used.
    """

    mean_s: float = 1.0
    lifetime_s: float = 5.0


@attrs.frozen
class _Slowness:
    mean: float
    reported_s: float


class TargetSpeeds:
    """The mean slowness of each target, at one node."""

    def __init__(self, settings: TargetSpeedSettings) -> None:
        self._settings = settings
        self._slowness: dict[str, _Slowness] = {}
        self._services: set[str] = set()
        self._is_everywhere = False

    def balance_all(self) -> None:
        """Balance every service by capacity, whatever its targets say."""
        self._is_everywhere = True

    def observe(
        self, target: RegisteredTarget, slowness: float, now_s: float
    ) -> None:
        """Add a report; 1 means that work takes as long as usual."""
        self._services.add(target.service)
        known = self._slowness.get(target.target_id)
        mean = slowness
        if known is not None:
            elapsed_s = max(0.0, now_s - known.reported_s)
            kept = math.exp(-elapsed_s / self._settings.mean_s)
            mean = kept * known.mean + (1 - kept) * slowness
        self._slowness[target.target_id] = _Slowness(mean, now_s)

    def is_balanced(self, service: str) -> bool:
        """Whether to balance a service by the capacity of its targets.

        It is if any of them has told its slowness, or if all services are.
        """
        return self._is_everywhere or service in self._services

    def slowness(self, target_id: str, now_s: float) -> float:
        """Return how long work takes at a target, as a multiple of usual.

        1 if that is unknown.
        """
        known = self._slowness.get(target_id)
        if (
            known is None
            or now_s - known.reported_s > self._settings.lifetime_s
        ):
            return USUAL
        return known.mean

    def age_s(self, target_id: str, now_s: float) -> float | None:
        """Return the age of the latest report of a target; None if none."""
        known = self._slowness.get(target_id)
        return None if known is None else now_s - known.reported_s

    def forget(self, known: frozenset[str]) -> None:
        """Remove the reports of targets that are gone."""
        self._slowness = {
            target_id: slowness
            for target_id, slowness in self._slowness.items()
            if target_id in known
        }
