"""How many language engines read prompts and how many make tokens."""

import math
from collections import Counter
from collections.abc import Sequence
from functools import partial

import attrs

from dandelionyoke_dispatch._registry import Phase, RegisteredTarget


@attrs.frozen
class PhasePlanSettings:
    """The share of engines that make tokens, and when it changes.

    Long prompts and short answers keep most engines busy with prompts: with
    `decode_share` of a fifth, each decode engine holds a few dozen streams,
    at which a step takes under twice its least time (from the engines'
    sheet). Above `busy_share` of its slots a further one is wanted; below
    `idle_share` it is given back, so that the number does not swing.
    """

    decode_share: float = 0.2
    busy_share: float = 0.5
    idle_share: float = 0.2


@attrs.frozen
class PhaseChange:
    """An engine that has to change its phase."""

    target: RegisteredTarget
    phase: Phase


class PhasePlan:
    """Compares the engines of a service with the number wanted."""

    def __init__(self, settings: PhasePlanSettings) -> None:
        self._settings = settings
        self._extra = 0

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        busy_share: float,
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """List the changes that are wanted now.

        `busy_share` is the share of the decode engines' slots in use;
        `settled` names the engines that have the phase they are taken to
        have, without those that were only ordered to change (None: all).
        """
        if len(engines) < 2:
            return []
        present = sum(one.phase is Phase.DECODE for one in engines)
        wanted = self._wanted_decode(len(engines), busy_share)
        # One too many is left: it would be wanted again when the engines
        # that are missing now have come back, and each change costs seconds.
        if present == wanted + 1 and present < len(engines):
            wanted = present
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

    def _wanted_decode(self, total: int, busy_share: float) -> int:
        if busy_share > self._settings.busy_share:
            self._extra += 1
        elif busy_share < self._settings.idle_share:
            self._extra = max(0, self._extra - 1)
        base = max(1, math.ceil(total * self._settings.decode_share))
        most = total - 1
        self._extra = min(self._extra, max(0, most - base))
        return min(base + self._extra, most)


def _choose_decode(
    engines: Sequence[RegisteredTarget], count: int
) -> frozenset[str]:
    """Choose the engines that make tokens.

    A stream cannot be moved from an engine that is taken away, a prompt can
    be read again: so steady engines come first, and among them those that do
    it already. Spread over the domains they are near to most prompts and not
    all lost with one.
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
        engine.is_reclaimable,
        engine.phase is not Phase.DECODE,
        crowd[engine.domain],
        engine.target_id,
    )
