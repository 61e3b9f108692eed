"""The choice of the engines that decode."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from itertools import groupby

import attrs

from dandelionyoke_dispatch._registry import Phase, RegisteredTarget


@attrs.frozen
class DecodeBounds:
    """The least and the largest number of decode engines by version."""

    least: Mapping[str, int]
    most: Mapping[str, int]

    def clamp(self, count: int) -> int:
        """Return the nearest number of decode engines that is possible."""
        least, most = sum(self.least.values()), sum(self.most.values())
        return min(max(least, count), most)

    def count_kept(self, decoding: Mapping[str, int]) -> int:
        """Return how many engines that decode, by version, may stay so."""
        return sum(
            min(count, self.most[version])
            for version, count in decoding.items()
        )


def decode_bounds(
    engines: Sequence[RegisteredTarget], wanted: int, min_share: float
) -> DecodeBounds:
    """Return the bounds if `wanted` of all engines should decode.

    A stream goes on only at the version that began it, and a prompt is decoded
    at the version that prefilled it. So each version keeps a decode engine
    and, if it has two or more engines, one that prefills. Each phase gets at
    least `min_share` of the engines that it would have if all versions were
    split alike. The only engine of a version decodes, and prefills its prompts
    itself.
    """
    least, most = {}, {}
    for version, count in Counter(engine.version for engine in engines).items():
        share = min_share * count / len(engines)
        min_prefill = max(1, int(share * (len(engines) - wanted)))
        least[version] = max(1, int(share * wanted))
        most[version] = max(least[version], count - min_prefill)
    return DecodeBounds(least, most)


def choose_decode(
    engines: Sequence[RegisteredTarget], count: int, bounds: DecodeBounds
) -> frozenset[str]:
    """Return the ids of the engines that should decode.

    Engines that decode already are preferred: a switch takes seconds, during
    which the streams of all nodes are refused. Next come on-demand engines,
    because a stream is lost with its engine, while a prompt can be prefilled
    again. The engines are spread over the failure domains, so that they are
    close to most prompts and not all lost together.
    """
    ranked = _rank(engines)
    kept = _take(ranked, len(ranked), bounds.least)
    taken = {engine.target_id for engine in kept}
    others = [engine for engine in ranked if engine.target_id not in taken]
    left = {
        version: most - bounds.least[version]
        for version, most in bounds.most.items()
    }
    added = _take(others, count - len(kept), left)
    return frozenset(engine.target_id for engine in (*kept, *added))


def _take(
    engines: Iterable[RegisteredTarget], count: int, limits: Mapping[str, int]
) -> list[RegisteredTarget]:
    """Return the first engines, up to the limit of each version."""
    taken: list[RegisteredTarget] = []
    left = Counter(limits)
    for engine in engines:
        if len(taken) >= count:
            break
        if left[engine.version] > 0:
            left[engine.version] -= 1
            taken.append(engine)
    return taken


def _rank(engines: Sequence[RegisteredTarget]) -> list[RegisteredTarget]:
    """Sort engines by preference, taking turns between failure domains."""
    chosen_by_domain: Counter[str] = Counter()
    ranked: list[RegisteredTarget] = []
    for _, equivalent in groupby(sorted(engines, key=_sort_key), _sort_key):
        by_domain = _group_by_domain(equivalent)
        while by_domain:
            ranked.append(
                _pop_from_emptiest_domain(by_domain, chosen_by_domain)
            )
    return ranked


def _pop_from_emptiest_domain(
    by_domain: dict[str, deque[RegisteredTarget]],
    chosen_by_domain: Counter[str],
) -> RegisteredTarget:
    """Remove and return the next engine of the domain with fewest chosen."""
    domain = min(
        by_domain,
        key=lambda candidate: (
            chosen_by_domain[candidate],
            by_domain[candidate][0].target_id,
        ),
    )
    chosen_by_domain[domain] += 1
    engine = by_domain[domain].popleft()
    if not by_domain[domain]:
        by_domain.pop(domain)
    return engine


def _sort_key(engine: RegisteredTarget) -> tuple[bool, bool]:
    return engine.phase is not Phase.DECODE, engine.is_reclaimable


def _group_by_domain(
    engines: Iterable[RegisteredTarget],
) -> dict[str, deque[RegisteredTarget]]:
    """Return the engines of each domain, sorted by id."""
    by_domain: dict[str, deque[RegisteredTarget]] = {}
    for engine in sorted(engines, key=lambda member: member.target_id):
        by_domain.setdefault(engine.domain, deque()).append(engine)
    return by_domain
