"""The assignment of language engines to the prefill and decode phases."""

import math
from collections.abc import Sequence

import attrs

from dandelionyoke_dispatch._peak import Peak
from dandelionyoke_dispatch._phase_split import PhaseLoad, PhaseSplit
from dandelionyoke_dispatch._phase_switch import (
    DecodeTarget,
    PhaseChange,
    PhaseSwitch,
    PhaseSwitchSettings,
)
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class PhasePlanSettings:
    """How far and how fast the phases follow the load.

    At least `min_decode_share` of all engines decode: every call needs a decode
    engine, and the remaining ones must carry all calls when some are lost. The
    number of decode engines is reduced after the demand was lower for `hold_s`,
    a few times the seconds that a phase change takes. At most
    `max_switching_share` of all engines, but at least two, switch to decode at
    the same time: they do no work while they switch, and after a burst that
    ended before then, all of them would have to switch back. A version has at
    least `min_version_share` of its proportion of each phase: less, and one
    phase of it would hold up the other; more, and each engine that a release
    replaces would make others switch.
    """

    min_decode_share: float = 0.2
    hold_s: float = 8.0
    max_switching_share: float = 0.1
    min_version_share: float = 0.75


class PhasePlan:
    """Compares the phases of the engines of a service with the demand."""

    def __init__(self, settings: PhasePlanSettings, split: PhaseSplit) -> None:
        self._settings = settings
        self._split = split
        self._switch = PhaseSwitch(
            PhaseSwitchSettings(
                settings.max_switching_share, settings.min_version_share
            )
        )
        self._streams = Peak(settings.hold_s)
        self._prompts = Peak(settings.hold_s)
        # The inputs and result of the latest plan.
        self.peak = PhaseLoad(0.0)
        self.wanted = 0

    def observe(self, load: PhaseLoad, now_s: float) -> None:
        """Record the load, so that later plans use its peak."""
        self.peak = PhaseLoad(
            self._streams.update(load.streams, now_s),
            self._prompts.update(load.prompts, now_s),
        )

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        load: PhaseLoad,
        now_s: float,
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """Return the phase changes that are wanted now.

        `settled` names the engines that have already switched to their listed
        phase, excluding those that were only ordered to do so; None means all.
        """
        self.observe(load, now_s)
        if len(engines) < 2:
            return []
        target = DecodeTarget(
            self._wanted_decode(engines), self._min_decode(engines)
        )
        switches = self._switch.changes(engines, target, settled)
        self.wanted = self._switch.wanted
        return switches

    def _wanted_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        slots = sum(engine.slots for engine in engines) / len(engines)
        needed = math.ceil(
            self._split.decode_count(len(engines), slots, self.peak)
        )
        return min(max(self._min_decode(engines), needed), len(engines) - 1)

    def _min_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        return math.ceil(len(engines) * self._settings.min_decode_share)
