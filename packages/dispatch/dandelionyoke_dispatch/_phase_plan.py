"""How many language engines read prompts and how many make tokens."""

import math
from collections import Counter
from collections.abc import Sequence
from functools import partial

import attrs

from dandelionyoke_dispatch._peak import Peak
from dandelionyoke_dispatch._registry import Phase, RegisteredTarget


@attrs.frozen
class PhasePlanSettings:
    """How many engines make tokens.

    As many as hold the streams of late with `filled_share` of their slots
    taken, and no fewer than `least_share` of all engines: each call needs
    one, so that those left have to carry all when some are lost. A number
    falls once it has been too high for `hold_s`, a few times the seconds that
    a change costs.
    """

    filled_share: float = 0.7
    least_share: float = 0.2
    hold_s: float = 8.0


@attrs.frozen
class PhaseChange:
    """An engine that has to change its phase."""

    target: RegisteredTarget
    phase: Phase


class PhasePlan:
    """Compares the engines of a service with the number wanted."""

    def __init__(self, settings: PhasePlanSettings) -> None:
        self._settings = settings
        self._peak = Peak(settings.hold_s)
        # What the last plan went by.
        self.peak_streams = 0.0
        self.wanted = 0

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        streams: float,
        now_s: float,
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """List the changes that are wanted now.

        `streams` are those at the engines that make tokens, waiting ones
        included; `settled` names the engines that have the phase they are
        taken to have, without those only ordered to change (None: all).
        """
        self.peak_streams = self._peak.take(streams, now_s)
        if len(engines) < 2:
            return []
        wanted = self._wanted_decode(engines)
        present = sum(one.phase is Phase.DECODE for one in engines)
        # One too many is left: it would be wanted again when the engines
        # that are missing now have come back, and each change costs seconds.
        if present == wanted + 1 and present < len(engines):
            wanted = present
        self.wanted = wanted
        decode = _choose_decode(engines, wanted)
        come = [
            PhaseChange(one, Phase.DECODE)
            for one in engines
            if one.target_id in decode and one.phase is not Phase.DECODE
        ]
        go = [
            PhaseChange(one, Phase.PREFILL)
            for one in engines
            if one.target_id not in decode and one.phase is not Phase.PREFILL
        ]
        return come + self._those_not_needed(go, engines, wanted, settled)

    def _those_not_needed(
        self,
        go: Sequence[PhaseChange],
        engines: Sequence[RegisteredTarget],
        wanted: int,
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Let a decode engine go once another one has taken its place.

        When engines are exchanged, those that make tokens would all refuse
        calls before the others do it; the nodes hear of that only with the
        next heartbeats, and their callers are refused for seconds. An engine
        of another phase than these two is free to change at any time.
        """
        ready = sum(
            one.phase is Phase.DECODE
            and (settled is None or one.target_id in settled)
            for one in engines
        )
        free = max(0, ready - wanted)
        decode = [one for one in go if one.target.phase is Phase.DECODE]
        others = [one for one in go if one.target.phase is not Phase.DECODE]
        return others + decode[:free]

    def _wanted_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        slots = sum(one.slots for one in engines) / len(engines)
        needed = math.ceil(
            self.peak_streams / (slots * self._settings.filled_share)
        )
        least = math.ceil(len(engines) * self._settings.least_share)
        return min(max(least, needed), len(engines) - 1)


def _choose_decode(
    engines: Sequence[RegisteredTarget], count: int
) -> frozenset[str]:
    """Choose the decode engines.

    Those that decode already come first: a change costs seconds, in which
    the streams of all nodes are refused. Then come steady ones, since a
    stream is lost with its engine and a prompt can be read again. Spread over
    the domains they are near to most prompts and not all lost with one.
    """
    left = list(engines)
    crowd: Counter[str] = Counter()
    names = set()
    for _ in range(count):
        best = min(left, key=partial(_suitability, crowd))
        left.remove(best)
        crowd[best.domain] += 1
        names.add(best.target_id)
    return frozenset(names)


def _suitability(
    crowd: Counter[str], engine: RegisteredTarget
) -> tuple[bool, bool, int, str]:
    return (
        engine.phase is not Phase.DECODE,
        engine.is_reclaimable,
        crowd[engine.domain],
        engine.target_id,
    )
