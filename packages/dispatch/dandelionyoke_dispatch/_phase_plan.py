"""How many language engines read prompts and how many make tokens."""

import math
from collections import Counter
from collections.abc import Sequence

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
    ) -> list[PhaseChange]:
        """List the changes that are wanted now.

        `busy_share` is the share of the decode engines' slots in use.
        """
        if len(engines) < 2:
            return []
        wanted = self._wanted_decode(len(engines), busy_share)
        decode = [one for one in engines if one.phase is Phase.DECODE]
        prefill = [one for one in engines if one.phase is Phase.PREFILL]
        if len(decode) > wanted:
            chosen = _from_crowded_domains(decode, len(decode) - wanted)
            return [PhaseChange(one, Phase.PREFILL) for one in chosen]
        if len(decode) < wanted:
            chosen = _from_crowded_domains(prefill, wanted - len(decode))
            return [PhaseChange(one, Phase.DECODE) for one in chosen]
        return []

    def _wanted_decode(self, total: int, busy_share: float) -> int:
        if busy_share > self._settings.busy_share:
            self._extra += 1
        elif busy_share < self._settings.idle_share:
            self._extra = max(0, self._extra - 1)
        base = max(1, math.ceil(total * self._settings.decode_share))
        most = total - 1
        self._extra = min(self._extra, max(0, most - base))
        return min(base + self._extra, most)


def _from_crowded_domains(
    engines: list[RegisteredTarget], count: int
) -> list[RegisteredTarget]:
    """Choose engines so that the rest stay spread over the domains."""
    left = sorted(engines, key=lambda one: one.target_id)
    chosen = []
    for _ in range(min(count, len(left) - 1)):
        crowd = Counter(one.domain for one in left)
        taken = max(left, key=lambda one: (crowd[one.domain], one.target_id))
        left.remove(taken)
        chosen.append(taken)
    return chosen
