"""Choice of a target for a call from a small set of candidates."""

from collections.abc import Mapping, Sequence
from random import Random

from dandelionyoke_core._load_estimate import Estimate, WorkSize, estimate
from dandelionyoke_core._names import Domain, TargetId
from dandelionyoke_core._ports import RouteRequirements
from dandelionyoke_core._records import Role
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._reuse_estimate import ReuseEstimate
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import TargetState

MAX_AFFINITY_TARGETS = 2

TargetStates = Mapping[TargetId, TargetState]


class TargetChooser:
    """Compare a small random sample and the affinity targets of the prefix.

    With a comparison of the whole fleet, all entries would send their next
    call to the same target, the one with the best last report. The cost would
    also grow with the fleet.
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
        self,
        requirements: RouteRequirements,
        size: WorkSize,
        usable: TargetStates,
        now_s: float,
    ) -> TargetState:
        """Choose a target for a call from at least one usable target."""
        local, remote = self._split_by_domain(usable, now_s)
        affinity_ids = self._affinity_targets(
            requirements, usable, local, remote
        )
        ids = [*self._sample(local, remote), *affinity_ids]
        if (
            requirements.preferred_target is not None
            and requirements.preferred_target in usable
        ):
            ids.append(requirements.preferred_target)
        states = [usable[target_id] for target_id in dict.fromkeys(ids)]
        affinity_id = affinity_ids[0] if affinity_ids else None
        return min(
            states,
            key=lambda state: self._cost(
                requirements, size, state, affinity_id
            ),
        )

    def forecast(
        self, size: WorkSize, usable: TargetStates, now_s: float
    ) -> tuple[Estimate, TargetState]:
        """Return the best estimate in a random sample, ignoring prefixes."""
        local, remote = self._split_by_domain(usable, now_s)
        states = [
            usable[target_id] for target_id in self._sample(local, remote)
        ]
        forecasts = [
            (self._estimate(size, state, 0), state) for state in states
        ]
        return min(forecasts, key=lambda pair: _estimate_rank(pair[0]))

    def _split_by_domain(
        self, usable: TargetStates, now_s: float
    ) -> tuple[Sequence[TargetId], Sequence[TargetId]]:
        """Split targets into local ones and remote ones with fresh reports.

        If there are none of either, all usable targets are returned as remote.
        """
        since_s = now_s - self._settings.max_report_age_s
        local = [
            target_id
            for target_id, state in usable.items()
            if state.target.domain == self._domain
        ]
        fresh = [
            target_id
            for target_id, state in usable.items()
            if state.target.domain != self._domain
            and state.last_response_s >= since_s
        ]
        if local or fresh:
            return local, fresh
        return local, list(usable)

    def _sample(
        self, local: Sequence[TargetId], remote: Sequence[TargetId]
    ) -> list[TargetId]:
        count = self._settings.sample
        sampled = self._random.sample(local, min(count, len(local)))
        remote_count = 1 if local else count
        return sampled + self._random.sample(
            remote, min(remote_count, len(remote))
        )

    def _affinity_targets(
        self,
        requirements: RouteRequirements,
        usable: TargetStates,
        local: Sequence[TargetId],
        remote: Sequence[TargetId],
    ) -> list[TargetId]:
        """Return the targets that the prefix hashes to.

        Cache events are delayed and have gaps. The hash sends calls with the
        same prefix to the same target even before an event reports it. If all
        remote targets have fresh reports, all domains hash to the same
        targets. Their caches then hold each prefix once, and domains are only
        a fraction of a millisecond apart.
        """
        if not requirements.blocks:
            return []
        all_known = len(local) + len(remote) == len(usable)
        ids = [*local, *remote] if all_known else local or remote
        prefix_block = requirements.blocks[: self._settings.affinity_blocks][-1]
        return list(rendezvous(ids, prefix_block, MAX_AFFINITY_TARGETS))

    def _cost(
        self,
        requirements: RouteRequirements,
        size: WorkSize,
        state: TargetState,
        affinity_id: TargetId | None,
    ) -> float:
        settings = self._settings
        is_remote = state.target.domain != self._domain
        distance_s = settings.remote_penalty_s if is_remote else 0
        if not state.is_engine:
            return state.load().calls + distance_s
        cached_blocks = state.prefixes.overlap(requirements.blocks)
        if requirements.preferred_target == state.target.target_id:
            cached_blocks = len(requirements.blocks)
        forecast = self._estimate(size, state, cached_blocks)
        cost = (
            forecast.total_s + settings.engine_time_weight * forecast.engine_s
        )
        cost += forecast.missing_blocks * settings.missing_block_penalty_s
        if state.target.target_id == affinity_id:
            cost -= self._expected_saving_s(requirements, state)
        return cost + distance_s

    def _expected_saving_s(
        self, requirements: RouteRequirements, state: TargetState
    ) -> float:
        """Time that later calls may save if this one uses its affinity target.

        This entry sees only a part of the calls, so the observed reuse is
        multiplied by `reuse_factor`. Without this saving the first calls with
        a prefix would go to whichever target is idle, and each of these
        targets would compute and cache the prefix again.
        """
        tokens = len(requirements.blocks) * state.report.block_tokens
        prefill_s = self._settings.speed.engine_s(tokens, 0, Role.MIXED)
        weight = self._settings.engine_time_weight
        observed_share = self._reuse.share(requirements.service)
        reuse_share = self._settings.reuse_factor * observed_share
        return (
            weight
            * prefill_s
            * max(
                self._settings.min_reuse_share,
                min(self._settings.max_reuse_share, reuse_share),
            )
        )

    def _estimate(
        self, size: WorkSize, state: TargetState, cached_blocks: int
    ) -> Estimate:
        return estimate(size, state.load(), cached_blocks, self._settings.speed)


def _estimate_rank(forecast: Estimate) -> tuple[bool, float]:
    return forecast.missing_blocks > 0, forecast.total_s
