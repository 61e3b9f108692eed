"""The phase changes that may start now, towards a number of decode engines.

An engine that switches does no work for seconds, and the nodes learn of its
new phase only from later heartbeats.
"""

import math
from collections import Counter
from collections.abc import Sequence

import attrs

from dandelionyoke_dispatch._decode_choice import choose_decode, decode_bounds
from dandelionyoke_dispatch._registry import Phase, RegisteredTarget

MIN_SWITCHING = 2


@attrs.frozen
class PhaseChange:
    """An engine that has to switch to another phase."""

    target: RegisteredTarget
    phase: Phase


@attrs.frozen
class PhaseSwitchSettings:
    """How many engines switch at a time, and what each version keeps.

    At most `max_switching_share` of all engines, but at least two, switch to
    decode at the same time. A version has at least `min_version_share` of its
    proportion of each phase.
    """

    max_switching_share: float = 0.1
    min_version_share: float = 0.75


@attrs.frozen
class DecodeTarget:
    """How many engines should decode, and how many of them must do so now."""

    wanted: int
    urgent: int


class PhaseSwitch:
    """Chooses the engines that switch, and when they do."""

    def __init__(self, settings: PhaseSwitchSettings) -> None:
        self._settings = settings
        # The number of decode engines that the latest changes lead to.
        self.wanted = 0

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        target: DecodeTarget,
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """Return the phase changes that are wanted now.

        `settled` names the engines that have already switched to their listed
        phase, excluding those that were only ordered to do so; None means all.
        """
        bounds = decode_bounds(
            engines, target.wanted, self._settings.min_version_share
        )
        wanted = bounds.clamp(target.wanted)
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
        limited = self._limit_to_decode(
            to_decode, engines, target.urgent, settled
        )
        return limited + released

    def _limit_to_decode(
        self,
        to_decode: list[PhaseChange],
        engines: Sequence[RegisteredTarget],
        urgent: int,
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Return the changes to decode that may start now.

        Engines missing from `urgent` ones switch at once: decode engines were
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
        missing = urgent - len(decode)
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
