"""The assignment of language engines to the prefill and decode phases."""

import math
from collections import Counter
from collections.abc import Sequence

import attrs

from dandelionyoke_dispatch._decode_choice import choose_decode, decode_bounds
from dandelionyoke_dispatch._peak import Peak
from dandelionyoke_dispatch._phase_split import PhaseLoad, PhaseSplit
from dandelionyoke_dispatch._registry import Phase, RegisteredTarget

MIN_SWITCHING = 2


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


@attrs.frozen
class PhaseChange:
    """An engine that has to switch to another phase."""

    target: RegisteredTarget
    phase: Phase


class PhasePlan:
    """Compares the phases of the engines of a service with the demand."""

    def __init__(self, settings: PhasePlanSettings, split: PhaseSplit) -> None:
        self._settings = settings
        self._split = split
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
        wanted = self._wanted_decode(engines)
        bounds = decode_bounds(
            engines, wanted, self._settings.min_version_share
        )
        wanted = bounds.clamp(wanted)
        decoding = Counter(
            engine.version for engine in engines if engine.phase is Phase.DECODE
        )
        # A single surplus engine keeps decoding: it would be needed again when
        # missing engines return, and each switch takes seconds.
        if decoding.total() == wanted + 1 == bounds.count_kept(decoding):
            wanted += 1
        self.wanted = wanted
        decode = choose_decode(engines, wanted, bounds)
        to_decode = [
            PhaseChange(engine, Phase.DECODE)
            for engine in engines
            if engine.target_id in decode and engine.phase is not Phase.DECODE
        ]
        to_prefill = [
            PhaseChange(engine, Phase.PREFILL)
            for engine in engines
            if engine.target_id not in decode
            and engine.phase is not Phase.PREFILL
        ]
        released = self._limit_to_prefill(to_prefill, engines, wanted, settled)
        if len({engine.phase for engine in engines}) < 2:
            return to_decode + released
        return self._limit_to_decode(to_decode, engines, settled) + released

    def _limit_to_decode(
        self,
        to_decode: list[PhaseChange],
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Return the changes to decode that may start now.

        Engines missing from the minimum switch at once: decode engines were
        lost, and their streams are waiting. So do those of versions that have
        no decode engine: nothing else can go on with their streams.
        """
        decode = [engine for engine in engines if engine.phase is Phase.DECODE]
        switching = sum(
            settled is not None and engine.target_id not in settled
            for engine in decode
        )
        max_switching = math.ceil(
            len(engines) * self._settings.max_switching_share
        )
        allowed = max(MIN_SWITCHING, max_switching) - switching
        missing = self._min_decode(engines) - len(decode)
        versions = {engine.version for engine in decode}
        # Stable: the changes of versions without a decode engine come first.
        ordered = sorted(
            to_decode, key=lambda change: change.target.version in versions
        )
        stranded = sum(
            change.target.version not in versions for change in ordered
        )
        return ordered[: max(0, allowed, missing, stranded)]

    def _limit_to_prefill(
        self,
        to_prefill: Sequence[PhaseChange],
        engines: Sequence[RegisteredTarget],
        wanted: int,
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Return the changes to prefill that may start now.

        A decode engine switches only once another one has replaced it.
        Otherwise the old decode engines would all refuse streams before the new
        ones accept any. Nodes learn of the change only from the next
        heartbeats, and callers would be refused for seconds. The last one of
        a version stays for its streams. An engine in neither of the two phases
        may switch at any time.
        """
        ready = Counter(
            engine.version
            for engine in engines
            if engine.phase is Phase.DECODE
            and (settled is None or engine.target_id in settled)
        )
        surplus = max(0, ready.total() - wanted)
        decode = [
            change
            for change in to_prefill
            if change.target.phase is Phase.DECODE
        ]
        others = [
            change
            for change in to_prefill
            if change.target.phase is not Phase.DECODE
        ]
        released: list[PhaseChange] = []
        for change in decode:
            version = change.target.version
            if len(released) < surplus and ready[version] > 1:
                ready[version] -= 1
                released.append(change)
        return others + released

    def _wanted_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        slots = sum(engine.slots for engine in engines) / len(engines)
        needed = math.ceil(
            self._split.decode_count(len(engines), slots, self.peak)
        )
        return min(max(self._min_decode(engines), needed), len(engines) - 1)

    def _min_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        return math.ceil(len(engines) * self._settings.min_decode_share)
