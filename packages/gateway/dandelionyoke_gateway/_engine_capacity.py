"""What this node knows of the capacity of a service's engines and its need."""

from collections.abc import Collection

import attrs

from dandelionyoke_dispatch import (
    EngineDemand,
    EngineNeed,
    RegisteredTarget,
)
from dandelionyoke_gateway._knowledge import Knowledge

# The sum of samples covers one failure domain. If it has less than this share
# of a domain's nodes, it says nothing of the fleet.
MIN_KNOWN_SHARE = 0.5
# Calls that wait at an engine count as streams up to this share of its slots.
WAITING_STREAM_SHARE = 0.25


@attrs.frozen
class EngineCapacity:
    """The engines of a service that accept work, and what callers need.

    `speeds` are multiples of the usual speed, by engine. `age_s` is the age of
    the samples of demand, of `known_nodes` nodes.
    """

    need: EngineNeed | None
    speeds: dict[str, float]
    mean_speed: float
    known_nodes: int
    age_s: float | None

    @property
    def is_settled(self) -> bool:
        """Whether the need was observed for the whole hold time."""
        return self.need is not None and self.need.is_settled

    def log_fields(self) -> dict[str, str | float | None]:
        """Return the inputs of a decision for its log line."""
        need = self.need
        if need is None:
            return {'need': 'unknown', 'known_nodes': self.known_nodes}
        return {
            'need': 'known' if need.is_settled else 'keeps what runs',
            'need_prefill': need.prefill,
            'need_decode': need.decode,
            'least_engines': need.min_engines,
            'peak_prefill_s_per_s': need.peak.prefill,
            'peak_decode_s_per_s': need.peak.decode,
            'peak_streams': need.peak.streams,
            'mean_speed': self.mean_speed,
            'known_nodes': self.known_nodes,
            'age_s': self.age_s,
        }


class EngineCapacities:
    """Follows the need for engines of the services that report slowness."""

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge

    def is_planned(self, service: str, now_s: float) -> bool:
        """Whether engines of a service are planned by their capacity.

        Only if the settings ask for it. A node that has just started learns from the samples of others that
        targets report their slowness.
        """
        knowledge = self._knowledge
        if not knowledge.settings.plans_by_need:
            return False
        if knowledge.speeds.is_balanced(service):
            return True
        return knowledge.demand.of_service(service, now_s).has_slowness

    def observe(self, service: str, now_s: float) -> None:
        """Record the demand, also while another node has the duty."""
        demand = self._demand(service, now_s)
        if demand is not None:
            state = self._knowledge.service_state(service)
            state.engine_need.observe(demand, now_s)

    def read(self, service: str, now_s: float) -> EngineCapacity:
        """Return the present need, and the speeds of the engines."""
        knowledge = self._knowledge
        state = knowledge.service_state(service)
        engines = knowledge.registry.of_service(service)
        speeds = self._speeds(engines, now_s)
        return EngineCapacity(
            need=state.engine_need.need(
                _mean([engine.slots for engine in engines]),
                now_s,
                is_late=state.overload.is_overloaded(now_s),
            ),
            speeds=speeds,
            mean_speed=_mean(speeds.values()),
            known_nodes=knowledge.demand.total(now_s).nodes,
            age_s=knowledge.demand.age_s(now_s),
        )

    def _demand(self, service: str, now_s: float) -> EngineDemand | None:
        knowledge = self._knowledge
        domains = 1 + len(knowledge.sources.first_of_other_domains())
        demand = knowledge.demand.expected_engines(
            service,
            knowledge.node_count,
            MIN_KNOWN_SHARE * knowledge.node_count / domains,
            now_s,
        )
        if demand is None:
            return None
        decode = knowledge.placement.decode_targets(service)
        max_streams = (1 + WAITING_STREAM_SHARE) * sum(
            engine.slots for engine in decode
        )
        return attrs.evolve(demand, streams=min(demand.streams, max_streams))

    def _speeds(
        self, engines: list[RegisteredTarget], now_s: float
    ) -> dict[str, float]:
        """Return the speeds; engines that did not report get the mean."""
        speeds = self._knowledge.speeds
        known = {
            engine.target_id: 1 / speeds.slowness(engine.target_id, now_s)
            for engine in engines
            if speeds.age_s(engine.target_id, now_s) is not None
        }
        mean = _mean(known.values())
        return {
            engine.target_id: known.get(engine.target_id, mean)
            for engine in engines
        }


def _mean(figures: Collection[float]) -> float:
    """Return the mean; 1 if there are no figures."""
    return sum(figures) / len(figures) if figures else 1.0
