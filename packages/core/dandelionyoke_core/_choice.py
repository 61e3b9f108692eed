"""Which few targets are compared for a call, and what each would cost."""

from collections.abc import Mapping, Sequence
from random import Random

from dandelionyoke_core._load_estimate import Estimate, WorkSize, estimate
from dandelionyoke_core._names import Domain, TargetId
from dandelionyoke_core._ports import RouteNeed
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import TargetState

MAX_HOLDERS = 2

States = Mapping[TargetId, TargetState]


class Chooser:
    """Compares a small random set and the targets that a prefix points to.

    Comparing the whole fleet would send every entry's next call to the same
    target, the one whose last report looked best, and would cost more the
    larger the fleet is.
    """

    def __init__(
        self, settings: RoutingSettings, domain: Domain, random: Random
    ) -> None:
        self._settings = settings
        self._domain = domain
        self._random = random

    def best(
        self, need: RouteNeed, size: WorkSize, usable: States, now_s: float
    ) -> TargetState:
        """Choose for a call; there must be a usable target."""
        near, far = self._split(usable, now_s)
        ids = [*self._sampled(near, far), *self._pointed(need, near or far)]
        if need.prefer is not None and need.prefer in usable:
            ids.append(need.prefer)
        states = [usable[target_id] for target_id in dict.fromkeys(ids)]
        return min(states, key=lambda state: self._cost(need, size, state))

    def outlook(
        self, size: WorkSize, usable: States, now_s: float
    ) -> tuple[Estimate, TargetState]:
        """Give the best estimate of a small random set for any call."""
        near, far = self._split(usable, now_s)
        states = [usable[target_id] for target_id in self._sampled(near, far)]
        found = [(self._estimate(size, state, 0), state) for state in states]
        return min(found, key=lambda pair: _urgency(pair[0]))

    def _split(
        self, usable: States, now_s: float
    ) -> tuple[Sequence[TargetId], Sequence[TargetId]]:
        """Part the near ones from the far ones that are known well enough."""
        since_s = now_s - self._settings.report_fresh_s
        near = [
            target_id
            for target_id, state in usable.items()
            if state.target.domain == self._domain
        ]
        fresh = [
            target_id
            for target_id, state in usable.items()
            if state.target.domain != self._domain and state.heard_s >= since_s
        ]
        if near or fresh:
            return near, fresh
        return near, list(usable)

    def _sampled(
        self, near: Sequence[TargetId], far: Sequence[TargetId]
    ) -> list[TargetId]:
        count = self._settings.sample
        sampled = self._random.sample(near, min(count, len(near)))
        rest = 1 if near else count
        return sampled + self._random.sample(far, min(rest, len(far)))

    def _pointed(
        self, need: RouteNeed, ids: Sequence[TargetId]
    ) -> list[TargetId]:
        """Name the target that the prefix hashes to.

        Cache events are late and have gaps; the hash brings calls with one
        prefix together even while no event has told of it.
        """
        if not need.blocks:
            return []
        head = need.blocks[: self._settings.affinity_blocks][-1]
        return list(rendezvous(ids, head, MAX_HOLDERS))

    def _cost(
        self, need: RouteNeed, size: WorkSize, state: TargetState
    ) -> float:
        cached = state.prefixes.overlap(need.blocks)
        if need.prefer == state.target.target_id:
            cached = len(need.blocks)
        found = self._estimate(size, state, cached)
        settings = self._settings
        cost = found.total_s + settings.engine_time_weight * found.engine_s
        cost += found.short_blocks * settings.short_block_penalty_s
        if state.target.domain != self._domain:
            cost += settings.far_penalty_s
        return cost

    def _estimate(
        self, size: WorkSize, state: TargetState, cached_blocks: int
    ) -> Estimate:
        return estimate(size, state.load(), cached_blocks, self._settings.speed)


def _urgency(found: Estimate) -> tuple[bool, float]:
    return found.short_blocks > 0, found.total_s
