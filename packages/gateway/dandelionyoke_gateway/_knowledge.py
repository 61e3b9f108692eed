"""A node's in-memory state: configuration, targets, loads and retry budget.

It also records how old that state is.
"""

from collections.abc import Iterable, Mapping
from random import Random
from types import MappingProxyType

import attrs

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch import (
    AnswerTimes,
    AnswerTimeSettings,
    CountsReceiver,
    CountsSender,
    CrashFindings,
    CrashGuard,
    CrashReport,
    CrashSettings,
    DemandSample,
    DomainReach,
    EngineNeedEstimate,
    EngineNeedSettings,
    EngineRoom,
    EngineRoomSettings,
    FirstArrivals,
    FirstArrivalSettings,
    FleetConfiguration,
    FleetDemand,
    FleetDemandSettings,
    FleetLimiter,
    FleetLimiterSettings,
    Freshness,
    FreshnessSettings,
    LeastBusyDecode,
    LimitScope,
    Member,
    OpenStreams,
    OverloadDetector,
    OverloadSettings,
    PaceChoice,
    Phase,
    Placement,
    PlainLoads,
    PlainLoadSettings,
    PlainQueue,
    PlainQueueSettings,
    PrefillTimeEstimate,
    PrefillTimeSettings,
    PrefillWork,
    PrefillWorkSettings,
    PromptQueue,
    PromptQueueSettings,
    RegisteredTarget,
    RegistrySettings,
    RetryBudgets,
    RetryBudgetSettings,
    ServiceDemand,
    Shutdown,
    ShutdownSettings,
    SourceChoice,
    SourceSettings,
    StreamGroup,
    StreamReports,
    SuspicionSettings,
    TargetLimitNote,
    TargetLimits,
    TargetLimitSettings,
    TargetListing,
    TargetLoads,
    TargetReach,
    TargetReachSettings,
    TargetRegistry,
    TargetRests,
    TargetRestSettings,
    TargetSpeeds,
    TrueTime,
    UsageCounter,
)
from dandelionyoke_gateway._change_signal import ChangeSignal
from dandelionyoke_gateway._clock import clock_s, stalled_s, wall_s
from dandelionyoke_gateway._queue_waiters import QueueWaiters
from dandelionyoke_gateway._settings import GatewaySettings
from dandelionyoke_gateway._standstills import Standstills
from dandelionyoke_links import ClientResources, MachineLimits

# One slow KV cache fetch makes an engine suspect: skipping fetches costs
# little, but each further slow one delays a caller. Engines that are gone
# leave the registry within seconds.
FETCH_SUSPICION = SuspicionSettings(
    failures_in_a_row=1, min_cooldown_s=2.0, max_cooldown_s=8.0
)

# A target in need gets what it takes at an even rate: at most what this time
# earns at once. Other limiters learn at once of a tenth of a second's use.
TARGET_BURST_S = 0.5
TARGET_URGENT_SHARE = 0.1

# The median: engines differ in speed, and the times of the fastest ones are too
# short for the others.
TYPICAL_PREFILL_TIME = PrefillTimeSettings(quantile=0.5, max_step_share=0.02)

NEVER_S = float('-inf')
# Callers come back to a stream within this time after its time limit.
COME_BACK_S = 30.0
PROCESS_NAME_BITS = 48


@attrs.frozen
class ServiceState:
    """One service's prefill queue, engine time and overload signals.

    `prefill_work` is of the prompts that this node assigns to engines, and
    `decode_work` of those that decode engines prefill for it. `prefill_time`
    is that of an idle engine, `typical_prefill_time` that of most engines, as
    if their machines were as fast as usual.
    """

    overload: OverloadDetector = attrs.field(
        factory=lambda: OverloadDetector(OverloadSettings())
    )
    prefill_time: PrefillTimeEstimate = attrs.field(
        factory=lambda: PrefillTimeEstimate(PrefillTimeSettings())
    )
    typical_prefill_time: PrefillTimeEstimate = attrs.field(
        factory=lambda: PrefillTimeEstimate(TYPICAL_PREFILL_TIME)
    )
    prompt_queue: PromptQueue = attrs.field(
        factory=lambda: PromptQueue(PromptQueueSettings())
    )
    first_arrivals: FirstArrivals = attrs.field(
        factory=lambda: FirstArrivals(FirstArrivalSettings())
    )
    prefill_work: PrefillWork = attrs.field(
        factory=lambda: PrefillWork(PrefillWorkSettings())
    )
    decode_work: PrefillWork = attrs.field(
        factory=lambda: PrefillWork(PrefillWorkSettings())
    )
    engine_need: EngineNeedEstimate = attrs.field(
        factory=lambda: EngineNeedEstimate(EngineNeedSettings())
    )


@attrs.define
class Knowledge:
    """The state of one node, shared by its tasks within one thread."""

    settings: GatewaySettings
    random: Random
    freshness: Freshness
    registry: TargetRegistry
    _loads: TargetLoads
    # Outcomes of KV cache fetches for shared prefixes, by source engine.
    fetches: TargetLoads
    _placement: Placement
    budget: RetryBudgets
    usage: UsageCounter
    shutdown: Shutdown
    crashes: CrashGuard
    # Unique among all processes that ever ran under this instance ID.
    process_name: str
    listing: TargetListing
    sources: SourceChoice
    counts_sender: CountsSender
    _limiters: Mapping[LimitScope, FleetLimiter]
    target_limits: TargetLimits
    rests: TargetRests
    speeds: TargetSpeeds
    plain_loads: PlainLoads
    room: EngineRoom
    # What the connections of callers may use.
    client_resources: ClientResources
    reach: TargetReach = attrs.field(
        factory=lambda: TargetReach(TargetReachSettings())
    )
    # The failure domains that the nodes of this one do not reach.
    domain_reach: DomainReach = attrs.field(
        factory=lambda: DomainReach(TargetReachSettings())
    )
    counts_receiver: CountsReceiver = attrs.field(factory=CountsReceiver)
    open_streams: OpenStreams = attrs.field(factory=OpenStreams)
    # The open streams of the nodes that ask this one for news.
    stream_reports: StreamReports = attrs.field(factory=StreamReports)
    signal: ChangeSignal = attrs.field(factory=ChangeSignal)
    # Each listing of targets, also one without a change.
    listed: ChangeSignal = attrs.field(factory=ChangeSignal)
    waiters: QueueWaiters = attrs.field(factory=QueueWaiters)
    answer_times: AnswerTimes = attrs.field(
        factory=lambda: AnswerTimes(AnswerTimeSettings())
    )
    _demand: FleetDemand = attrs.field(
        factory=lambda: FleetDemand(FleetDemandSettings())
    )
    # The number of nodes, including this one.
    node_count: int = 1
    configuration: FleetConfiguration | None = None
    configuration_revision: int = 0
    # The operator's text, compressed, for the nodes that request it.
    configuration_packed: bytes | None = None
    # When another node last sent this one a news request, and last answered
    # one of this node's.
    news_requested_s: float = NEVER_S
    news_received_s: float = NEVER_S
    in_progress: int = 0
    _service_states: dict[str, ServiceState] = attrs.field(factory=dict)
    _plain_queues: dict[str, PlainQueue] = attrs.field(factory=dict)
    _standstills: Standstills = attrs.field(factory=Standstills)

    @property
    def limiters(self) -> Mapping[LimitScope, FleetLimiter]:
        """The limiters by what they limit."""
        self._leave_out_standstills()
        return self._limiters

    @property
    def limiter(self) -> FleetLimiter:
        """The limiter of the organisations' calls."""
        return self.limiters[LimitScope.ORGANISATION]

    @property
    def loads(self) -> TargetLoads:
        """The calls in flight and the failures by target."""
        self._leave_out_standstills()
        return self._loads

    def plain_queue(self, service: str) -> PlainQueue:
        """Return the queue of a plain service, created on first use."""
        queue = self._plain_queues.get(service)
        if queue is None:
            queue = PlainQueue(service, PlainQueueSettings())
            self._plain_queues[service] = queue
        return queue

    @property
    def placement(self) -> Placement:
        """The choice of targets, by their loads among others."""
        self._leave_out_standstills()
        return self._placement

    @property
    def demand(self) -> FleetDemand:
        """The demand that the nodes of the domain observe."""
        self._leave_out_standstills()
        return self._demand

    def _leave_out_standstills(self) -> None:
        """Keep the reports of others from expiring before they can be read."""
        standstill_s = self._standstills.take_s()
        if not standstill_s:
            return
        self._demand.leave_out(standstill_s)
        self._loads.leave_out(standstill_s)
        self.room.leave_out(standstill_s)
        for limiter in self._limiters.values():
            limiter.leave_out(standstill_s)
        for state in self._service_states.values():
            state.prompt_queue.leave_out(standstill_s)

    def observe_target_limit(
        self, target: RegisteredTarget, rate_per_s: float | None
    ) -> bool:
        """Record the limit in a target's answer; return whether it changed."""
        is_changed = self.target_limits.observe(target, rate_per_s, clock_s())
        if is_changed:
            self._apply_target_limits()
        return is_changed

    def take_target_limits(self, notes: Iterable[TargetLimitNote]) -> bool:
        """Record what other nodes observed; return whether a limit changed.

        Notes about targets that this node does not list are left out.
        """
        listed = [
            note
            for note in notes
            if (target := self.registry.find(note.target_id)) is not None
            and target.started_ms == note.started_ms
        ]
        is_changed = self.target_limits.take(listed, clock_s())
        if is_changed:
            self._apply_target_limits()
        return is_changed

    def forget_target_limits(self) -> None:
        """Drop the limits of targets that are gone or have started anew."""
        if self.target_limits.forget(self.listing.targets):
            self._apply_target_limits()

    def _apply_target_limits(self) -> None:
        limits = self.target_limits.rate_limits()
        self.limiters[LimitScope.TARGET].take_limits(limits)
        self.signal.notify()

    def service_state(self, service: str) -> ServiceState:
        """Return the state of a service, created on first use."""
        self._leave_out_standstills()
        return self._service_states.setdefault(service, ServiceState())

    @property
    def service_states(self) -> Mapping[str, ServiceState]:
        """The state of each service by name."""
        self._leave_out_standstills()
        return self._service_states

    @property
    def own_member(self) -> Member:
        """This node's entry among the members."""
        settings = self.settings
        return Member(
            settings.instance_id,
            settings.domain,
            f'{settings.peers.host}:{settings.peers.port}',
            settings.processors * settings.processor_share,
            takes_calls=True,
            keeps_origins=True,
        )

    def own_demand(self, now_s: float) -> DemandSample:
        """Return this node's own demand by service."""
        return DemandSample(
            1,
            tuple(
                self._service_demand(name, now_s)
                for name in self._service_states
            ),
        )

    def _service_demand(self, service: str, now_s: float) -> ServiceDemand:
        loads = self.loads
        streams = sum(
            loads.own(target.target_id)
            for target in self.registry.all_of_service(service)
            if target.phase is Phase.DECODE
        )
        state = self.service_state(service)
        begun, slow = state.overload.recent(now_s)
        return ServiceDemand(
            service,
            streams,
            begun,
            slow,
            state.prompt_queue.prompt_count,
            state.prefill_work.rate(now_s),
            state.decode_work.rate(now_s),
            self.speeds.is_balanced(service),
        )

    @property
    def stream_lifetime_s(self) -> float:
        """How long after its first event a stream may be taken up."""
        if self.configuration is None:
            return COME_BACK_S
        timeouts_s = (route.timeout_s for route in self.configuration.routes)
        return max(timeouts_s, default=0.0) + COME_BACK_S

    def unproven_streams(self) -> tuple[StreamGroup, ...]:
        """Return the open streams that may be of one of several versions."""
        now_s, lifetime_s = clock_s(), self.stream_lifetime_s
        history = self.registry.version_history
        return tuple(
            group
            for group in self.open_streams.groups(now_s, lifetime_s)
            if history.only_version(group.origin.service, now_s - lifetime_s)
            is None
        )

    def store_replaced(self) -> None:
        """Keep targets for a while that the copy of the store may lack."""
        self.registry.store_replaced(clock_s())

    def forget_targets(self, usable: frozenset[str]) -> None:
        """Drop the state of targets that are no longer usable.

        Fetch and queue state of leaving targets is kept until they are no
        longer listed.
        """
        self.loads.forget(usable)
        listed = frozenset(target.target_id for target in self.listing.targets)
        self.fetches.forget(listed)
        self.speeds.forget(listed)
        self.placement.prefill_hints.forget(listed)
        self.plain_loads.forget(listed)
        self.room.forget(listed)
        self.rests.forget(self.listing.targets)
        for state in self._service_states.values():
            state.prompt_queue.forget(listed)

    def take_crash(self, report: CrashReport) -> CrashFindings:
        """Take a report of a crash and pass it on; return what it changes."""
        count = self.crashes.report_count
        findings = self.crashes.take_report(report, clock_s())
        if self.crashes.report_count > count:
            self.signal.notify()
        return findings

    @property
    def crash_mark(self) -> str:
        """What this process knows of crashes, as a mark for other nodes."""
        return f'{self.process_name}:{self.crashes.report_count}'

    def crashes_since(self, mark: str | None) -> tuple[CrashReport, ...]:
        """Return the reports of crashes after a mark; all if it is another's."""
        process, _, count = (mark or '').rpartition(':')
        is_own = process == self.process_name and count.isdigit()
        return self.crashes.reports_since(
            int(count) if is_own else 0, clock_s()
        )

    def tries_key(self, key: str) -> bool:
        """Whether this node is the one that tries calls with a refused key."""
        own_id = self.settings.instance_id
        others = (member.instance_id for member in self.sources.others())
        return rendezvous([own_id, *others], key, 1)[0] == own_id

    def take_node_count(self, count: int) -> None:
        """Set the number of nodes, including this one."""
        self.node_count = max(1, count)
        self.budget.take_nodes(self.node_count, clock_s())

    @property
    def is_ready(self) -> bool:
        """Whether this node can accept new calls."""
        return (
            not self.shutdown.is_leaving
            and self.configuration is not None
            and self._is_configuration_current
            and self._is_registry_current
        )

    @property
    def _is_configuration_current(self) -> bool:
        """Whether keys are accepted and the store responds.

        The store is not blamed for a standstill of this process.
        """
        freshness, now_s = self.freshness, clock_s()
        if not freshness.may_accept_keys(now_s):
            return False
        paused_s = stalled_s(freshness.confirmed_s or now_s)
        return freshness.is_current(now_s - paused_s)

    @property
    def _is_registry_current(self) -> bool:
        """Whether the targets are known and still followed."""
        if not self.registry.is_known:
            return False
        confirmed_s = self.listing.confirmed_s
        if confirmed_s is None:
            return True
        age_s = clock_s() - confirmed_s - stalled_s(confirmed_s)
        return self.freshness.may_accept_keys_of(age_s)


def new_knowledge(settings: GatewaySettings, random: Random) -> Knowledge:
    """Create the initial state of a node that knows nothing yet."""
    registry = TargetRegistry(RegistrySettings())
    loads = TargetLoads(SuspicionSettings())
    fetches = TargetLoads(FETCH_SUSPICION)
    target_limits = TargetLimits(TargetLimitSettings())
    rests = TargetRests(TargetRestSettings(), random)
    placement = Placement(
        registry,
        loads,
        fetches,
        target_limits,
        rests,
        settings.domain,
        settings.instance_id,
    )
    speeds = placement.prefill_hints.speeds
    if settings.balances_by_capacity:
        speeds.balance_all()
    clock = TrueTime(wall_s() - clock_s())
    usage = UsageCounter(settings.usage_window_s, clock)
    incarnation = f'{random.getrandbits(PROCESS_NAME_BITS):012x}'
    process_name = f'{settings.instance_id}.{incarnation}'
    room = EngineRoom(EngineRoomSettings())
    placement.choose_decode_by(PaceChoice(room, speeds, LeastBusyDecode(loads)))
    return Knowledge(
        settings=settings,
        random=random,
        freshness=Freshness(FreshnessSettings(settings.revocation_s)),
        registry=registry,
        loads=loads,
        fetches=fetches,
        placement=placement,
        budget=_new_retry_budgets(settings, random),
        usage=usage,
        crashes=CrashGuard(CrashSettings()),
        process_name=process_name,
        listing=TargetListing(process_name),
        sources=SourceChoice(
            settings.instance_id, settings.domain, SourceSettings()
        ),
        counts_sender=CountsSender(process_name, usage),
        limiters=_new_limiters(settings),
        target_limits=target_limits,
        rests=rests,
        speeds=speeds,
        plain_loads=PlainLoads(PlainLoadSettings(), loads, speeds),
        room=room,
        client_resources=ClientResources(
            MachineLimits(settings.memory_mb, settings.max_descriptors)
        ),
        shutdown=Shutdown(ShutdownSettings(settings.grace_s)),
    )


def _new_retry_budgets(
    settings: GatewaySettings, random: Random
) -> RetryBudgets:
    retries = RetryBudgetSettings(
        settings.retry_share, settings.retry_extra, settings.retry_window_s
    )
    return RetryBudgets(retries, random, clock_s())


def _new_limiters(
    settings: GatewaySettings,
) -> Mapping[LimitScope, FleetLimiter]:
    organisations = FleetLimiterSettings(
        window_s=settings.limit_window_s,
        overrun_share=settings.limit_overrun_share,
        slack=settings.limit_slack,
    )
    targets = FleetLimiterSettings(
        urgent_burst_share=TARGET_URGENT_SHARE,
        spaced_burst_s=TARGET_BURST_S,
    )
    return MappingProxyType(
        {
            LimitScope.ORGANISATION: FleetLimiter(organisations),
            LimitScope.TARGET: FleetLimiter(targets),
        }
    )
