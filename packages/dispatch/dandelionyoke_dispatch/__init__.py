"""Decision logic for calls, free of I/O and of call payload parsing."""

from dandelionyoke_dispatch._answer_times import (
    AnswerTimes as AnswerTimes,
    AnswerTimeSettings as AnswerTimeSettings,
)
from dandelionyoke_dispatch._attempts import (
    Attempts as Attempts,
    Outcome as Outcome,
)
from dandelionyoke_dispatch._calls import (
    Call as Call,
    Prompt as Prompt,
    PromptPart as PromptPart,
)
from dandelionyoke_dispatch._capacity_plan import (
    CapacityPlan as CapacityPlan,
    CapacityPlanSettings as CapacityPlanSettings,
    PlanBasis as PlanBasis,
    PlannedEngines as PlannedEngines,
)
from dandelionyoke_dispatch._configuration import (
    CallerLimits as CallerLimits,
    CallKind as CallKind,
    ConfigurationError as ConfigurationError,
    EngineTraits as EngineTraits,
    FleetConfiguration as FleetConfiguration,
    Organisation as Organisation,
    Route as Route,
    ScalingRange as ScalingRange,
    Service as Service,
    ServiceShare as ServiceShare,
)
from dandelionyoke_dispatch._counts_handover import (
    CountsParcel as CountsParcel,
    CountsReceiver as CountsReceiver,
    CountsSender as CountsSender,
)
from dandelionyoke_dispatch._crash_guard import CrashGuard as CrashGuard
from dandelionyoke_dispatch._crash_keys import (
    CrashKeys as CrashKeys,
    crash_keys as crash_keys,
    fingerprint as fingerprint,
)
from dandelionyoke_dispatch._crash_quarantine import (
    CrashVerdict as CrashVerdict,
    QuarantineSettings as QuarantineSettings,
)
from dandelionyoke_dispatch._crash_reports import (
    MAX_ALIVE_AGE_S as MAX_ALIVE_AGE_S,
    BlamedKey as BlamedKey,
    CrashFindings as CrashFindings,
    CrashReport as CrashReport,
    CrashSettings as CrashSettings,
    KeyAnswer as KeyAnswer,
    UntoldAnswers as UntoldAnswers,
)
from dandelionyoke_dispatch._decode_target import (
    DecodeChoice as DecodeChoice,
    LeastBusyDecode as LeastBusyDecode,
    PaceChoice as PaceChoice,
)
from dandelionyoke_dispatch._domain_reach import (
    DomainReach as DomainReach,
)
from dandelionyoke_dispatch._engine_need import (
    EngineDemand as EngineDemand,
    EngineNeed as EngineNeed,
    EngineNeedEstimate as EngineNeedEstimate,
    EngineNeedSettings as EngineNeedSettings,
)
from dandelionyoke_dispatch._engine_plan import (
    EngineCountPlan as EngineCountPlan,
    EnginePlan as EnginePlan,
    EnginePlanSettings as EnginePlanSettings,
    FleetNeed as FleetNeed,
    WantedCount as WantedCount,
)
from dandelionyoke_dispatch._engine_room import (
    DecodeCall as DecodeCall,
    EngineRoom as EngineRoom,
    EngineRoomSettings as EngineRoomSettings,
)
from dandelionyoke_dispatch._first_arrivals import (
    FirstArrivals as FirstArrivals,
    FirstArrivalSettings as FirstArrivalSettings,
)
from dandelionyoke_dispatch._fleet_demand import (
    DemandSample as DemandSample,
    FleetDemand as FleetDemand,
    FleetDemandSettings as FleetDemandSettings,
    ServiceDemand as ServiceDemand,
)
from dandelionyoke_dispatch._fleet_limiter import (
    FleetLimiter as FleetLimiter,
    FleetLimiterSettings as FleetLimiterSettings,
    GroupUse as GroupUse,
)
from dandelionyoke_dispatch._freshness import (
    Freshness as Freshness,
    FreshnessSettings as FreshnessSettings,
)
from dandelionyoke_dispatch._import_refusal import (
    ImportRefusal as ImportRefusal,
    is_full as is_full,
)
from dandelionyoke_dispatch._load_report import (
    LoadReport as LoadReport,
    LoadReportError as LoadReportError,
)
from dandelionyoke_dispatch._open_streams import (
    OpenStreams as OpenStreams,
    OpenStreamsRecord as OpenStreamsRecord,
    RecordedStreams as RecordedStreams,
    StreamGroup as StreamGroup,
    StreamReports as StreamReports,
    VersionsRecord as VersionsRecord,
    merge_groups as merge_groups,
)
from dandelionyoke_dispatch._overload import (
    OverloadDetector as OverloadDetector,
    OverloadSettings as OverloadSettings,
)
from dandelionyoke_dispatch._phase_capacity import (
    CapacityPhasePlan as CapacityPhasePlan,
    CapacityPhaseSettings as CapacityPhaseSettings,
    PhaseCapacity as PhaseCapacity,
)
from dandelionyoke_dispatch._phase_plan import (
    PhasePlan as PhasePlan,
    PhasePlanSettings as PhasePlanSettings,
)
from dandelionyoke_dispatch._phase_split import (
    BalancedSplit as BalancedSplit,
    PhaseLoad as PhaseLoad,
    PhaseSplit as PhaseSplit,
    StreamSplit as StreamSplit,
)
from dandelionyoke_dispatch._phase_switch import (
    PhaseChange as PhaseChange,
    PhaseSwitchSettings as PhaseSwitchSettings,
)
from dandelionyoke_dispatch._placement import (
    Placement as Placement,
)
from dandelionyoke_dispatch._plain_choice import (
    ExpectedTimeChoice as ExpectedTimeChoice,
    LeastBusyChoice as LeastBusyChoice,
    PlainChoice as PlainChoice,
    PlainChoiceSettings as PlainChoiceSettings,
)
from dandelionyoke_dispatch._plain_load import (
    PlainLoads as PlainLoads,
    PlainLoadSettings as PlainLoadSettings,
)
from dandelionyoke_dispatch._plain_queue import (
    PlainQueue as PlainQueue,
    PlainQueueSettings as PlainQueueSettings,
    WaitingCall as WaitingCall,
)
from dandelionyoke_dispatch._prefill_choice import (
    PrefillForecast as PrefillForecast,
    PrefillPlacement as PrefillPlacement,
)
from dandelionyoke_dispatch._prefill_hints import (
    PrefillHints as PrefillHints,
    PrefillOutcome as PrefillOutcome,
)
from dandelionyoke_dispatch._prefill_time import (
    PrefillTimeEstimate as PrefillTimeEstimate,
    PrefillTimeSettings as PrefillTimeSettings,
    TokenTimeEstimate as TokenTimeEstimate,
)
from dandelionyoke_dispatch._prefill_work import (
    PrefillWork as PrefillWork,
    PrefillWorkSettings as PrefillWorkSettings,
    prefill_work_s as prefill_work_s,
)
from dandelionyoke_dispatch._prompt_queue import (
    PromptQueue as PromptQueue,
    PromptQueueSettings as PromptQueueSettings,
)
from dandelionyoke_dispatch._queue_window import (
    PrefillCapacity as PrefillCapacity,
)
from dandelionyoke_dispatch._queued_prompt import (
    QueueDecision as QueueDecision,
    QueuedPrompt as QueuedPrompt,
)
from dandelionyoke_dispatch._rate_limit import (
    LimitScope as LimitScope,
    LimitUnit as LimitUnit,
    LimitVerdict as LimitVerdict,
    RateLimit as RateLimit,
    RateLimiter as RateLimiter,
)
from dandelionyoke_dispatch._refusals import (
    DEFAULT_RETRY_AFTER_S as DEFAULT_RETRY_AFTER_S,
    INSTANCE_CAUSES as INSTANCE_CAUSES,
    OTHER_INSTANCE_RETRY_AFTER_S as OTHER_INSTANCE_RETRY_AFTER_S,
    PROMISED_STATUSES as PROMISED_STATUSES,
    Cause as Cause,
    Refusal as Refusal,
)
from dandelionyoke_dispatch._registry import (
    Phase as Phase,
    RegisteredTarget as RegisteredTarget,
    RegistrySettings as RegistrySettings,
    TargetRegistry as TargetRegistry,
)
from dandelionyoke_dispatch._retry_budgets import (
    RetryBudgets as RetryBudgets,
    RetryBudgetSettings as RetryBudgetSettings,
    RetryVerdict as RetryVerdict,
)
from dandelionyoke_dispatch._retry_spread import (
    RetrySpreadSettings as RetrySpreadSettings,
    spread_retry_s as spread_retry_s,
)
from dandelionyoke_dispatch._shutdown import (
    Shutdown as Shutdown,
    ShutdownSettings as ShutdownSettings,
)
from dandelionyoke_dispatch._sources import (
    Member as Member,
    SourceChoice as SourceChoice,
    SourceSettings as SourceSettings,
)
from dandelionyoke_dispatch._stream_origins import (
    KeeperRanking as KeeperRanking,
    StreamOrigins as StreamOrigins,
    stream_key as stream_key,
)
from dandelionyoke_dispatch._target_answers import (
    NEVER_S as NEVER_S,
    AliveSpan as AliveSpan,
)
from dandelionyoke_dispatch._target_limits import (
    TargetLimitNote as TargetLimitNote,
    TargetLimits as TargetLimits,
    TargetLimitSettings as TargetLimitSettings,
)
from dandelionyoke_dispatch._target_listing import (
    ListingChanges as ListingChanges,
    ListingMark as ListingMark,
    TargetListing as TargetListing,
)
from dandelionyoke_dispatch._target_load import (
    SuspicionSettings as SuspicionSettings,
    TargetFailure as TargetFailure,
    TargetLoads as TargetLoads,
)
from dandelionyoke_dispatch._target_reach import (
    TargetReach as TargetReach,
    TargetReachSettings as TargetReachSettings,
)
from dandelionyoke_dispatch._target_rests import (
    TargetRests as TargetRests,
    TargetRestSettings as TargetRestSettings,
)
from dandelionyoke_dispatch._target_speed import (
    TargetSpeeds as TargetSpeeds,
    TargetSpeedSettings as TargetSpeedSettings,
)
from dandelionyoke_dispatch._tried_targets import (
    TriedTargets as TriedTargets,
)
from dandelionyoke_dispatch._unanswered_calls import (
    UnansweredCalls as UnansweredCalls,
)
from dandelionyoke_dispatch._usage import (
    ProcessCounts as ProcessCounts,
    TrueTime as TrueTime,
    UsageCounter as UsageCounter,
    WindowCounts as WindowCounts,
    WindowRecord as WindowRecord,
    sum_counts as sum_counts,
)
from dandelionyoke_dispatch._version_history import (
    StreamOrigin as StreamOrigin,
    VersionHistory as VersionHistory,
)
