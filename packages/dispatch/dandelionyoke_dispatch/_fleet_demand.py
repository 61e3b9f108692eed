"""What the callers of many nodes ask of a service, summed up.

A node of a large fleet sees too few calls to tell how many engines they need.
"""

import attrs

from dandelionyoke_dispatch._phase_split import PhaseLoad


@attrs.frozen
class ServiceDemand:
    """The streams under way, and how the calls of the last seconds began.

    `slow` of the `begun` calls had their first token late, or were refused
    since it would have been. `prompts` are at prefill engines or wait.
    """

    service: str
    streams: int
    begun: int
    slow: int
    prompts: int = 0


@attrs.frozen
class DemandSample:
    """The demand that some nodes see together."""

    nodes: int
    services: tuple[ServiceDemand, ...]


@attrs.frozen
class FleetDemandSettings:
    """A sample counts for `lifetime_s`; a node that is gone sends no more."""

    lifetime_s: float = 2.5


class FleetDemand:
    """The newest sample of each sender."""

    def __init__(self, settings: FleetDemandSettings) -> None:
        self._settings = settings
        self._samples: dict[str, tuple[DemandSample, float]] = {}

    def take(self, sender: str, sample: DemandSample, now_s: float) -> None:
        """Take a sample of a node's own calls."""
        if sample.nodes > 0 and all(map(_is_possible, sample.services)):
            self._samples[sender] = sample, now_s

    def take_sum(self, sender: str, sample: DemandSample, now_s: float) -> None:
        """Take the sum that another node made; it holds all that it knows."""
        self._samples.clear()
        self.take(sender, sample, now_s)

    def total(self, now_s: float) -> DemandSample:
        """Add up the samples that are not too old."""
        self._samples = {
            sender: (sample, taken_s)
            for sender, (sample, taken_s) in self._samples.items()
            if now_s - taken_s < self._settings.lifetime_s
        }
        samples = [sample for sample, _ in self._samples.values()]
        services: dict[str, ServiceDemand] = {}
        for sample in samples:
            for one in sample.services:
                services[one.service] = _sum(services.get(one.service), one)
        nodes = sum(sample.nodes for sample in samples)
        return DemandSample(nodes, tuple(services.values()))

    def of_service(self, service: str, now_s: float) -> ServiceDemand:
        """Tell the demand that is known, of however many nodes."""
        services = self.total(now_s).services
        nothing = ServiceDemand(service, 0, 0, 0)
        return next(
            (one for one in services if one.service == service), nothing
        )

    def expected(
        self, service: str, fleet_nodes: int, now_s: float
    ) -> PhaseLoad:
        """Estimate the load of the whole fleet from the nodes known."""
        nodes = self.total(now_s).nodes
        if not nodes:
            return PhaseLoad(0.0)
        known = self.of_service(service, now_s)
        scale = max(1, fleet_nodes / nodes)
        return PhaseLoad(known.streams * scale, known.prompts * scale)


def _is_possible(demand: ServiceDemand) -> bool:
    counts = (demand.streams, demand.prompts, demand.slow)
    return min(counts) >= 0 and demand.slow <= demand.begun


def _sum(known: ServiceDemand | None, more: ServiceDemand) -> ServiceDemand:
    if known is None:
        return more
    return ServiceDemand(
        known.service,
        known.streams + more.streams,
        known.begun + more.begun,
        known.slow + more.slow,
        known.prompts + more.prompts,
    )
