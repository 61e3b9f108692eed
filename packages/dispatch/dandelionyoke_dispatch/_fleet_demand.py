"""The demand of callers for a service, summed over many nodes.

A node of a large fleet sees too few calls to tell how many engines they need.
"""

import attrs

from dandelionyoke_dispatch._phase_split import PhaseLoad


@attrs.frozen
class ServiceDemand:
    """Streams in flight and recent times to first token of a service.

    Of the `begun` calls of the last seconds, `slow` had a late first token or
    were refused because it would have been late. `prompts` are queued or in
    flight at prefill engines.
    """

    service: str
    streams: int
    begun: int
    slow: int
    prompts: int = 0


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


def _is_valid(demand: ServiceDemand) -> bool:
    counts = (demand.streams, demand.prompts, demand.slow)
    return min(counts) >= 0 and demand.slow <= demand.begun


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
    )
