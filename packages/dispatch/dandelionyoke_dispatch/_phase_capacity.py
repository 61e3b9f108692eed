"""The phases of engines, by the capacity that each phase needs.

Load: bursts of calls with long prompts and of calls with long answers change
places every few seconds, while engines are lost and come back. A plan by
streams and prompts in flight turned engines with each burst, and an engine
that switches does no work for longer than such a burst lasts.

Both needs are peaks, so that a burst that comes back finds its engines. An
engine switches only for a phase that lacks capacity, and only if the other
phase lacks less. New engines thus go where more is missing.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_dispatch._engine_need import EngineNeed
from dandelionyoke_dispatch._phase_switch import (
    DecodeTarget,
    PhaseChange,
    PhaseSwitch,
    PhaseSwitchSettings,
)
from dandelionyoke_dispatch._registry import Phase, RegisteredTarget


@attrs.frozen
class CapacityPhaseSettings:
    """When a change of phases is worth its seconds without work.

    The phase that lacks more must gain at least `min_gain`, as a share of its
    need. Each phase keeps `min_engines`, in different domains if possible.
    """

    min_gain: float = 0.1
    min_engines: int = 2


@attrs.frozen
class PhaseCapacity:
    """The capacity of both phases, in engines of usual speed."""

    prefill: float
    decode: float

    def served(self, need: EngineNeed) -> float:
        """Return the share of its need that the phase has that lacks more."""
        return min(
            _share(self.prefill, need.prefill), _share(self.decode, need.decode)
        )


class CapacityPhasePlan:
    """Compares the capacity of the phases of a service with their need."""

    def __init__(
        self, settings: CapacityPhaseSettings, switch: PhaseSwitchSettings
    ) -> None:
        self._settings = settings
        self._switch = PhaseSwitch(switch)
        # The input and result of the latest plan.
        self.capacity = PhaseCapacity(0.0, 0.0)
        self.wanted = 0

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        need: EngineNeed | None,
        speeds: Mapping[str, float],
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """Return the phase changes that are wanted now.

        `speeds` are multiples of the usual speed by engine, 1 if left out.
        `settled` names the engines that have switched to their listed phase;
        None means all. If the need is unknown, each phase only keeps its least
        number of engines.
        """
        if len(engines) < 2:
            return []
        decoding = [one for one in engines if one.phase is Phase.DECODE]
        others = [one for one in engines if one.phase is not Phase.DECODE]
        self.capacity = PhaseCapacity(
            _capacity(others, speeds), _capacity(decoding, speeds)
        )
        least = min(self._settings.min_engines, len(engines) // 2)
        wanted = len(decoding)
        if need is not None:
            wanted += self._added(need, len(others), len(decoding))
        if wanted == len(decoding):
            wanted += _spread_change(others, decoding)
        wanted = min(max(least, wanted), len(engines) - least)
        urgent = least
        if need is not None:
            urgent = min(wanted, max(least, round(need.min_decode)))
        switches = self._switch.changes(
            engines, DecodeTarget(wanted, urgent), settled
        )
        self.wanted = self._switch.wanted
        return switches

    def _added(self, need: EngineNeed, others: int, decoding: int) -> int:
        """Return how many engines more should decode, or fewer if negative.

        Engines switch one by one as long as the phase that lacks more gains.
        """
        speed = (self.capacity.prefill + self.capacity.decode) / (
            others + decoding
        )
        best, best_served = 0, self.capacity.served(need)
        prefill_served = _share(self.capacity.prefill, need.prefill)
        step = 1 if prefill_served > best_served else -1
        for added in range(step, step * (others + decoding), step):
            moved = PhaseCapacity(
                self.capacity.prefill - added * speed,
                self.capacity.decode + added * speed,
            )
            if moved.served(need) <= best_served:
                break
            best, best_served = added, moved.served(need)
        gain = best_served - self.capacity.served(need)
        return best if gain >= self._settings.min_gain else 0


def _share(capacity: float, need: float) -> float:
    """Return the share of a need that is served, up to 1."""
    return 1.0 if capacity >= need else max(0.0, capacity) / need


def _capacity(
    engines: Iterable[RegisteredTarget], speeds: Mapping[str, float]
) -> float:
    return sum(speeds.get(engine.target_id, 1.0) for engine in engines)


def _spread_change(
    others: Sequence[RegisteredTarget], decoding: Sequence[RegisteredTarget]
) -> int:
    """Return the change that gives a phase an engine in a second domain.

    Otherwise a single domain takes all engines of that phase with it.
    """
    domains = {engine.domain for engine in (*others, *decoding)}
    if len(domains) < 2 or len(others) + len(decoding) < 4:
        return 0
    if len({engine.domain for engine in decoding}) == 1:
        return 1
    if len({engine.domain for engine in others}) == 1 and len(decoding) > 3:
        # One engine fewer would be taken for a surplus that stays.
        return -2
    return 0
