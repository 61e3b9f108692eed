"""The assignment of language engines to the prefill and decode phases."""

import math
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from itertools import groupby

import attrs

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
    ended before then, all of them would have to switch back.
    """

    min_decode_share: float = 0.2
    hold_s: float = 8.0
    max_switching_share: float = 0.1


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
        decoding = sum(engine.phase is Phase.DECODE for engine in engines)
        # A single surplus engine keeps decoding: it would be needed again when
        # missing engines return, and each switch takes seconds.
        if decoding == wanted + 1 and decoding < len(engines):
            wanted = decoding
        self.wanted = wanted
        decode = _choose_decode(engines, wanted)
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
        lost, and their streams are waiting.
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
        return to_decode[: max(0, allowed, missing)]

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
        heartbeats, and callers would be refused for seconds. An engine in
        neither of the two phases may switch at any time.
        """
        ready = sum(
            engine.phase is Phase.DECODE
            and (settled is None or engine.target_id in settled)
            for engine in engines
        )
        surplus = max(0, ready - wanted)
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
        return others + decode[:surplus]

    def _wanted_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        slots = sum(engine.slots for engine in engines) / len(engines)
        needed = math.ceil(
            self._split.decode_count(len(engines), slots, self.peak)
        )
        return min(max(self._min_decode(engines), needed), len(engines) - 1)

    def _min_decode(self, engines: Sequence[RegisteredTarget]) -> int:
        return math.ceil(len(engines) * self._settings.min_decode_share)


def _choose_decode(
    engines: Sequence[RegisteredTarget], count: int
) -> frozenset[str]:
    """Return the ids of the engines that should decode.

    Engines that decode already are preferred: a switch takes seconds, during
    which the streams of all nodes are refused. Next come on-demand engines,
    because a stream is lost with its engine, while a prompt can be prefilled
    again. The engines are spread over the failure domains, so that they are
    close to most prompts and not all lost together.
    """
    chosen_by_domain: Counter[str] = Counter()
    target_ids: list[str] = []
    for _, equivalent in groupby(sorted(engines, key=_sort_key), _sort_key):
        by_domain = _group_by_domain(equivalent)
        while by_domain and len(target_ids) < count:
            target_ids.append(
                _pop_from_emptiest_domain(by_domain, chosen_by_domain)
            )
    return frozenset(target_ids)


def _pop_from_emptiest_domain(
    by_domain: dict[str, deque[str]], chosen_by_domain: Counter[str]
) -> str:
    """Remove and return the next engine of the domain with fewest chosen."""
    domain = min(
        by_domain,
        key=lambda candidate: (
            chosen_by_domain[candidate],
            by_domain[candidate][0],
        ),
    )
    chosen_by_domain[domain] += 1
    target_id = by_domain[domain].popleft()
    if not by_domain[domain]:
        by_domain.pop(domain)
    return target_id


def _sort_key(engine: RegisteredTarget) -> tuple[bool, bool]:
    return engine.phase is not Phase.DECODE, engine.is_reclaimable


def _group_by_domain(
    engines: Iterable[RegisteredTarget],
) -> dict[str, deque[str]]:
    """Return the sorted engine ids of each domain."""
    ids_by_domain: dict[str, deque[str]] = {}
    for engine in sorted(engines, key=lambda member: member.target_id):
        ids_by_domain.setdefault(engine.domain, deque()).append(
            engine.target_id
        )
    return ids_by_domain
