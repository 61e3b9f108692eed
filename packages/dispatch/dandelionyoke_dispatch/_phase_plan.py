"""Which language engines prefill and which decode."""

import math
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from itertools import groupby

import attrs

from dandelionyoke_dispatch._peak import Peak
from dandelionyoke_dispatch._phase_split import PhaseLoad, PhaseSplit
from dandelionyoke_dispatch._registry import Phase, RegisteredTarget

LEAST_COMING = 2


@attrs.frozen
class PhasePlanSettings:
    """How far the phases follow the load, and how fast.

    No fewer than `least_share` of all engines decode: each call needs one, so
    that those left have to carry all when some are lost. A number falls once
    it has been too high for `hold_s`, a few times the seconds that a change
    costs. No more than `coming_share` of all engines, two at least, change to
    decode at a time: they do no work meanwhile, and a load that was gone
    before they had changed would have them all change back.
    """

    least_share: float = 0.2
    hold_s: float = 8.0
    coming_share: float = 0.1


@attrs.frozen
class PhaseChange:
    """An engine that has to change its phase."""

    target: RegisteredTarget
    phase: Phase


class PhasePlan:
    """Compares the engines of a service with the number wanted."""

    def __init__(self, settings: PhasePlanSettings, split: PhaseSplit) -> None:
        self._settings = settings
        self._split = split
        self._streams = Peak(settings.hold_s)
        self._prompts = Peak(settings.hold_s)
        # What the last plan went by.
        self.peak = PhaseLoad(0.0)
        self.wanted = 0

    def observe(self, load: PhaseLoad, now_s: float) -> None:
        """Follow the load, so that a plan made later knows its peak."""
        self.peak = PhaseLoad(
            self._streams.take(load.streams, now_s),
            self._prompts.take(load.prompts, now_s),
        )

    def changes(
        self,
        engines: Sequence[RegisteredTarget],
        load: PhaseLoad,
        now_s: float,
        settled: frozenset[str] | None = None,
    ) -> list[PhaseChange]:
        """List the changes that are wanted now.

        `settled` names the engines that have the phase they are taken to
        have, without those only ordered to change (None: all).
        """
        self.observe(load, now_s)
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
        leaving = self._those_not_needed(go, engines, wanted, settled)
        if len({one.phase for one in engines}) < 2:
            return come + leaving
        return self._first(come, engines, settled) + leaving

    def _first(
        self,
        come: list[PhaseChange],
        engines: Sequence[RegisteredTarget],
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Take as many changes to decode as may be under way.

        What is missing of the least number comes at once: decode engines
        were lost, and their streams wait.
        """
        decode = [one for one in engines if one.phase is Phase.DECODE]
        coming = sum(
            settled is not None and one.target_id not in settled
            for one in decode
        )
        most = math.ceil(len(engines) * self._settings.coming_share)
        more = max(LEAST_COMING, most) - coming
        missing = self._least(engines) - len(decode)
        return come[: max(0, more, missing)]

    def _those_not_needed(
        self,
        go: Sequence[PhaseChange],
        engines: Sequence[RegisteredTarget],
        wanted: int,
        settled: frozenset[str] | None,
    ) -> list[PhaseChange]:
        """Let a decode engine go once another one has taken its place.

        When engines are exchanged, the old decode engines would all refuse
        streams before the new ones take any; the nodes hear of that only with
        the next heartbeats, and their callers are refused for seconds. An engine
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
            self._split.decode_count(len(engines), slots, self.peak)
        )
        return min(max(self._least(engines), needed), len(engines) - 1)

    def _least(self, engines: Sequence[RegisteredTarget]) -> int:
        return math.ceil(len(engines) * self._settings.least_share)


def _choose_decode(
    engines: Sequence[RegisteredTarget], count: int
) -> frozenset[str]:
    """Choose the decode engines.

    Those that decode already come first: a change costs seconds, in which
    the streams of all nodes are refused. Then come steady ones, since a
    stream is lost with its engine and a prompt can be read again. Spread over
    the domains they are near to most prompts and not all lost with one.
    """
    crowd: Counter[str] = Counter()
    names: list[str] = []
    for _, alike in groupby(sorted(engines, key=_preference), _preference):
        by_domain = _by_domain(alike)
        while by_domain and len(names) < count:
            names.append(_take_first(by_domain, crowd))
    return frozenset(names)


def _take_first(by_domain: dict[str, deque[str]], crowd: Counter[str]) -> str:
    """Take the first engine of the domain that has the fewest so far."""
    domain = min(by_domain, key=lambda one: (crowd[one], by_domain[one][0]))
    crowd[domain] += 1
    name = by_domain[domain].popleft()
    if not by_domain[domain]:
        by_domain.pop(domain)
    return name


def _preference(engine: RegisteredTarget) -> tuple[bool, bool]:
    return engine.phase is not Phase.DECODE, engine.is_reclaimable


def _by_domain(engines: Iterable[RegisteredTarget]) -> dict[str, deque[str]]:
    """Name the engines of each domain, in order."""
    found: dict[str, deque[str]] = {}
    for engine in sorted(engines, key=lambda one: one.target_id):
        found.setdefault(engine.domain, deque()).append(engine.target_id)
    return found
