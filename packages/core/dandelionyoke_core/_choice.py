"""Which few targets are compared for a call, and what each would cost."""

from collections.abc import Mapping, Sequence
from random import Random

from dandelionyoke_core._load_estimate import Estimate, WorkSize, estimate
from dandelionyoke_core._names import Domain, TargetId
from dandelionyoke_core._ports import RouteNeed
from dandelionyoke_core._records import Role
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._reuse_estimate import ReuseEstimate
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
        self,
        settings: RoutingSettings,
        domain: Domain,
        reuse: ReuseEstimate,
        random: Random,
    ) -> None:
        self._settings = settings
        self._reuse = reuse
        self._domain = domain
        self._random = random

    def best(
        self, need: RouteNeed, size: WorkSize, usable: States, now_s: float
    ) -> TargetState:
        """Choose for a call; there must be a usable target."""
        near, far = self._split(usable, now_s)
        pointed = self._pointed(need, usable, near, far)
        ids = [*self._sampled(near, far), *pointed]
        if need.prefer is not None and need.prefer in usable:
            ids.append(need.prefer)
        states = [usable[target_id] for target_id in dict.fromkeys(ids)]
        home = pointed[0] if pointed else None
        return min(
            states, key=lambda state: self._cost(need, size, state, home)
        )

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
        self,
        need: RouteNeed,
        usable: States,
        near: Sequence[TargetId],
        far: Sequence[TargetId],
    ) -> list[TargetId]:
        """Name the targets that the prefix hashes to.

        Cache events are late and have gaps; the hash brings calls with one
        prefix together even while no event has told of it. Where all far
        targets are known, all domains share one choice: their caches then
        hold each prefix once, and domains are a fraction of a millisecond
        apart.
        """
        if not need.blocks:
            return []
        all_known = len(near) + len(far) == len(usable)
        ids = [*near, *far] if all_known else near or far
        head = need.blocks[: self._settings.affinity_blocks][-1]
        return list(rendezvous(ids, head, MAX_HOLDERS))

    def _cost(
        self,
        need: RouteNeed,
        size: WorkSize,
        state: TargetState,
        home: TargetId | None,
    ) -> float:
        settings = self._settings
        is_far = state.target.domain != self._domain
        far_s = settings.far_penalty_s if is_far else 0
        if not state.is_engine:
            return state.load().calls + far_s
        cached = state.prefixes.overlap(need.blocks)
        if need.prefer == state.target.target_id:
            cached = len(need.blocks)
        found = self._estimate(size, state, cached)
        cost = found.total_s + settings.engine_time_weight * found.engine_s
        cost += found.short_blocks * settings.short_block_penalty_s
        if state.target.target_id == home:
            cost -= self._reuse_s(need, state)
        return cost + far_s

    def _reuse_s(self, need: RouteNeed, state: TargetState) -> float:
        """Time that later calls may save if this one goes to its home.

        This entry sees a part of the calls only, so what it sees again
        counts several times.
        Without it the first calls with a prefix go wherever it is idle just
        then, and each target computes and keeps the prefix once more.
        """
        tokens = len(need.blocks) * state.report.block_tokens
        prefill_s = self._settings.speed.engine_s(tokens, 0, Role.MIXED)
        weight = self._settings.engine_time_weight
        seen = self._reuse.share(need.service)
        reuse_share = self._settings.reuse_factor * seen
        return (
            weight
            * prefill_s
            * max(
                self._settings.least_reuse_share,
                min(self._settings.most_reuse_share, reuse_share),
            )
        )

    def _estimate(
        self, size: WorkSize, state: TargetState, cached_blocks: int
    ) -> Estimate:
        return estimate(size, state.load(), cached_blocks, self._settings.speed)


def _urgency(found: Estimate) -> tuple[bool, float]:
    return found.short_blocks > 0, found.total_s
