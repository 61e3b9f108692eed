"""What a node believes: configuration, targets, loads, budget, its age."""

from collections.abc import Mapping
from random import Random

import attrs

from dandelionyoke_core import RetryBudget
from dandelionyoke_dispatch import (
    CountsReceiver,
    CountsSender,
    CrashGuard,
    CrashSettings,
    DemandSample,
    Departure,
    DepartureSettings,
    FleetConfiguration,
    FleetDemand,
    FleetDemandSettings,
    FleetLimiter,
    FleetLimiterSettings,
    Freshness,
    FreshnessSettings,
    LineSettings,
    Phase,
    Placement,
    PromptPace,
    ReadingLine,
    ReadingPaceSettings,
    RegistrySettings,
    ServiceDemand,
    SourceChoice,
    SourceSettings,
    Strain,
    StrainSettings,
    SuspicionSettings,
    TargetListing,
    TargetLoads,
    TargetRegistry,
    TrueTime,
    UsageCounter,
)
from dandelionyoke_gateway._change_signal import ChangeSignal
from dandelionyoke_gateway._clock import clock_s, wall_s
from dandelionyoke_gateway._queue_waiters import QueueWaiters
from dandelionyoke_gateway._settings import GatewaySettings

# All nodes together may repeat only so much, and each spends its own part
# without a word to the others. Until a node knows how many there are it takes
# its part among this many; afterwards among half as many again as it knows.
ASSUMED_NODE_COUNT = 16
NODE_COUNT_MARGIN = 1.5
RETRY_SHARE_FACTOR = 0.7

# One slow fetch is enough: to do without costs little, and each further one
# makes a caller late. Engines that are gone leave the registry within seconds.
FETCH_SUSPICION = SuspicionSettings(
    failures_in_a_row=1, first_rest_s=2.0, longest_rest_s=8.0
)

NEVER_S = float('-inf')
PROCESS_NAME_BITS = 48


@attrs.frozen
class ServiceState:
    """What this node saw of a service's engines and of the waits for them."""

    strain: Strain = attrs.field(factory=lambda: Strain(StrainSettings()))
    pace: PromptPace = attrs.field(
        factory=lambda: PromptPace(ReadingPaceSettings())
    )
    line: ReadingLine = attrs.field(factory=lambda: ReadingLine(LineSettings()))


@attrs.define
class Knowledge:
    """The beliefs of one node, shared by its tasks within one thread."""

    settings: GatewaySettings
    random: Random
    freshness: Freshness
    registry: TargetRegistry
    loads: TargetLoads
    # How fetching shared parts of prompts from engines went.
    fetches: TargetLoads
    placement: Placement
    budget: RetryBudget
    usage: UsageCounter
    departure: Departure
    crashes: CrashGuard
    # This process among all that ever ran under the instance's name.
    process_name: str
    listing: TargetListing
    sources: SourceChoice
    counts_sender: CountsSender
    limiter: FleetLimiter
    counts_receiver: CountsReceiver = attrs.field(factory=CountsReceiver)
    signal: ChangeSignal = attrs.field(factory=ChangeSignal)
    waiters: QueueWaiters = attrs.field(factory=QueueWaiters)
    demand: FleetDemand = attrs.field(
        factory=lambda: FleetDemand(FleetDemandSettings())
    )
    # How many nodes there are, this one included.
    node_count: int = 1
    configuration: FleetConfiguration | None = None
    configuration_revision: int = 0
    # As the operator wrote it, compressed, for the nodes that ask this one.
    configuration_packed: bytes | None = None
    # When another node last asked this one, and last answered it.
    news_requested_s: float = NEVER_S
    news_received_s: float = NEVER_S
    in_progress: int = 0
    _service_states: dict[str, ServiceState] = attrs.field(factory=dict)

    def watch_of(self, service: str) -> ServiceState:
        """Find what this node saw of a service."""
        return self._service_states.setdefault(service, ServiceState())

    @property
    def service_states(self) -> Mapping[str, ServiceState]:
        """What this node saw of each service."""
        return self._service_states

    def own_demand(self, now_s: float) -> DemandSample:
        """Sample the calls of this node."""
        return DemandSample(
            1,
            tuple(
                self._service_demand(name, now_s)
                for name in self._service_states
            ),
        )

    def _service_demand(self, service: str, now_s: float) -> ServiceDemand:
        streams = sum(
            self.loads.own(target.target_id)
            for target in self.registry.all_of_service(service)
            if target.phase is Phase.DECODE
        )
        state = self.watch_of(service)
        begun, slow = state.strain.recent(now_s)
        return ServiceDemand(
            service, streams, begun, slow, state.line.prompt_count
        )

    def forget_targets(self, usable: frozenset[str]) -> None:
        """Drop what is kept of targets that are not listed any more.

        Those that leave are listed until they are gone.
        """
        self.loads.forget(usable)
        listed = frozenset(target.target_id for target in self.listing.targets)
        self.fetches.forget(listed)
        for state in self._service_states.values():
            state.line.forget(listed)

    def take_node_count(self, count: int) -> None:
        """Take the number of nodes, this one included."""
        self.node_count = max(1, count)
        assumed_count = NODE_COUNT_MARGIN * self.node_count
        self.budget.resize(self.settings.retry_extra / assumed_count)

    @property
    def is_ready(self) -> bool:
        """Whether new callers are welcome."""
        return (
            not self.departure.is_leaving
            and self.configuration is not None
            and self.registry.is_known
            and self.freshness.is_current(clock_s())
        )


def new_knowledge(settings: GatewaySettings, random: Random) -> Knowledge:
    """Begin with no beliefs."""
    registry = TargetRegistry(RegistrySettings())
    loads = TargetLoads(SuspicionSettings())
    fetches = TargetLoads(FETCH_SUSPICION)
    clock = TrueTime(wall_s() - clock_s())
    usage = UsageCounter(settings.usage_window_s, clock)
    incarnation = f'{random.getrandbits(PROCESS_NAME_BITS):012x}'
    process_name = f'{settings.instance_id}.{incarnation}'
    retry_reserve = settings.retry_extra / ASSUMED_NODE_COUNT
    return Knowledge(
        settings=settings,
        random=random,
        freshness=Freshness(FreshnessSettings(settings.revocation_s)),
        registry=registry,
        loads=loads,
        fetches=fetches,
        placement=Placement(
            registry, loads, fetches, settings.domain, settings.instance_id
        ),
        budget=RetryBudget(
            share=settings.retry_share * RETRY_SHARE_FACTOR,
            reserve=retry_reserve,
            refill_per_s=0,
        ),
        usage=usage,
        crashes=CrashGuard(CrashSettings()),
        process_name=process_name,
        listing=TargetListing(process_name),
        sources=SourceChoice(
            settings.instance_id, settings.domain, SourceSettings()
        ),
        counts_sender=CountsSender(process_name, usage),
        limiter=FleetLimiter(
            FleetLimiterSettings(
                window_s=settings.limit_window_s,
                overrun_share=settings.limit_overrun_share,
                slack=settings.limit_slack,
            )
        ),
        departure=Departure(DepartureSettings(settings.grace_s)),
    )
