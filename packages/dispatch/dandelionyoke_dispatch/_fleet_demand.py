"""The demand of callers for a service, summed over many nodes.

A node of a large fleet sees too few calls to tell how many engines they need.
"""

import math

import attrs

from dandelionyoke_dispatch._engine_need import EngineDemand
from dandelionyoke_dispatch._phase_split import PhaseLoad


@attrs.frozen
class ServiceDemand:
    """Streams in flight and recent times to first token of a service.

    Of the `begun` calls of the last seconds, `slow` had a late first token or
    were refused because it would have been late. `prompts` are queued or in
    flight at prefill engines. `prefill_s_per_s` and `decode_s_per_s` are the
    engine seconds that arriving prompts need in a second, at prefill engines
    and at decode engines that prefill; None if a node does not measure them.
    `has_slowness` is whether a target told a node how slow its machine is.
    """

    service: str
    streams: int
    begun: int
    slow: int
    prompts: int = 0
    prefill_s_per_s: float | None = None
    decode_s_per_s: float | None = None
    has_slowness: bool = False


@attrs.frozen
class DemandSample:
    """The summed demand that a number of nodes observe."""

    nodes: int
    services: tuple[ServiceDemand, ...]


@attrs.frozen
class FleetDemandSettings:
    """A sample expires after `lifetime_s`, also when its node is gone."""

    lifetime_s: float = 2.5


class FleetDemand:
    """The latest sample of each sender."""

    def __init__(self, settings: FleetDemandSettings) -> None:
        self._settings = settings
        self._samples: dict[str, tuple[DemandSample, float]] = {}

    def take(self, sender: str, sample: DemandSample, now_s: float) -> None:
        """Store the sample of one node."""
        if sample.nodes > 0 and all(map(_is_valid, sample.services)):
            self._samples[sender] = sample, now_s

    def take_sum(self, sender: str, sample: DemandSample, now_s: float) -> None:
        """Replace all samples by the sum that another node computed."""
        self._samples.clear()
        self.take(sender, sample, now_s)

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no sample could be read out of their ages."""
        self._samples = {
            sender: (sample, received_s + standstill_s)
            for sender, (sample, received_s) in self._samples.items()
        }

    def total(self, now_s: float) -> DemandSample:
        """Return the sum of all samples that have not expired."""
        self._samples = {
            sender: (sample, received_s)
            for sender, (sample, received_s) in self._samples.items()
            if now_s - received_s < self._settings.lifetime_s
        }
        samples = [sample for sample, _ in self._samples.values()]
        services: dict[str, ServiceDemand] = {}
        for sample in samples:
            for demand in sample.services:
                services[demand.service] = _add_demand(
                    services.get(demand.service), demand
                )
        nodes = sum(sample.nodes for sample in samples)
        return DemandSample(nodes, tuple(services.values()))

    def of_service(self, service: str, now_s: float) -> ServiceDemand:
        """Return the known demand for a service, without extrapolation."""
        services = self.total(now_s).services
        nothing = ServiceDemand(service, 0, 0, 0)
        return next(
            (demand for demand in services if demand.service == service),
            nothing,
        )

    def expected(
        self, service: str, fleet_nodes: int, now_s: float
    ) -> PhaseLoad:
        """Extrapolate the load of the whole fleet from the known nodes."""
        nodes = self.total(now_s).nodes
        if not nodes:
            return PhaseLoad(0.0)
        known = self.of_service(service, now_s)
        scale = max(1, fleet_nodes / nodes)
        return PhaseLoad(known.streams * scale, known.prompts * scale)

    def expected_engines(
        self, service: str, fleet_nodes: int, min_nodes: float, now_s: float
    ) -> EngineDemand | None:
        """Extrapolate the engine time that the whole fleet asks for.

        None if fewer than `min_nodes` are known, or if one of these does not
        measure it. A node that assigns the prompts of many others is no
        measure of nodes that assign none.
        """
        nodes = self.total(now_s).nodes
        known = self.of_service(service, now_s)
        prefill, decode = known.prefill_s_per_s, known.decode_s_per_s
        if not nodes or nodes < min_nodes or prefill is None or decode is None:
            return None
        scale = max(1, fleet_nodes / nodes)
        return EngineDemand(
            prefill * scale, decode * scale, known.streams * scale
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the oldest sample in use; None if there is none."""
        self.total(now_s)
        ages_s = [now_s - taken_s for _, taken_s in self._samples.values()]
        return max(ages_s, default=None)


def _is_valid(demand: ServiceDemand) -> bool:
    figures = (
        demand.streams,
        demand.prompts,
        demand.slow,
        demand.prefill_s_per_s or 0.0,
        demand.decode_s_per_s or 0.0,
    )
    if not all(math.isfinite(figure) for figure in figures):
        return False
    return min(figures) >= 0 and demand.slow <= demand.begun


def _add_demand(
    total: ServiceDemand | None, added: ServiceDemand
) -> ServiceDemand:
    if total is None:
        return added
    return ServiceDemand(
        total.service,
        total.streams + added.streams,
        total.begun + added.begun,
        total.slow + added.slow,
        total.prompts + added.prompts,
        _add_known(total.prefill_s_per_s, added.prefill_s_per_s),
        _add_known(total.decode_s_per_s, added.decode_s_per_s),
        total.has_slowness or added.has_slowness,
    )


def _add_known(total: float | None, added: float | None) -> float | None:
    """Return the sum; None if either is unknown."""
    return None if total is None or added is None else total + added
