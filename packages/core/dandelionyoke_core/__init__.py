"""The decision logic of dandelionyoke, without input or output."""

from dandelionyoke_core._actions import (
    AbandonAttempt as AbandonAttempt,
    Action as Action,
    CallService as CallService,
    CancelAttempt as CancelAttempt,
    ConnectPeer as ConnectPeer,
    CountMetric as CountMetric,
    DisconnectPeer as DisconnectPeer,
    FinishCall as FinishCall,
    LeaseGrant as LeaseGrant,
    LeaseRelease as LeaseRelease,
    LeaseRenew as LeaseRenew,
    ListInstances as ListInstances,
    ListTargets as ListTargets,
    NodeStatus as NodeStatus,
    ObserveLatency as ObserveLatency,
    PollCacheEvents as PollCacheEvents,
    PollLoad as PollLoad,
    ReadEngineOrder as ReadEngineOrder,
    RefuseCall as RefuseCall,
    RespondModels as RespondModels,
    RespondService as RespondService,
    RespondStatus as RespondStatus,
    ResumeAttempt as ResumeAttempt,
    SendEngineOrder as SendEngineOrder,
    SendPeer as SendPeer,
    SendTargetOrder as SendTargetOrder,
    SendTokens as SendTokens,
    StartAttempt as StartAttempt,
    StopProcess as StopProcess,
    StoreDelete as StoreDelete,
    StoreGet as StoreGet,
    StoreList as StoreList,
    StorePut as StorePut,
    StoreWatch as StoreWatch,
    SubmitUsage as SubmitUsage,
    WriteLog as WriteLog,
)
from dandelionyoke_core._admission import (
    AdmissionPart as AdmissionPart,
)
from dandelionyoke_core._admission_settings import (
    AdmissionSettings as AdmissionSettings,
)
from dandelionyoke_core._assembly import (
    Node as Node,
    NodeSettings as NodeSettings,
)
from dandelionyoke_core._back_off import (
    BackOff as BackOff,
    BackOffSettings as BackOffSettings,
)
from dandelionyoke_core._capacity import (
    CallForecast as CallForecast,
    CapacityView as CapacityView,
    ServiceCapacity as ServiceCapacity,
)
from dandelionyoke_core._changes import (
    Problem as Problem,
    apply_change as apply_change,
    diff_snapshots as diff_snapshots,
    validate as validate,
)
from dandelionyoke_core._chat import (
    ChatMessage as ChatMessage,
    chat_prompt as chat_prompt,
)
from dandelionyoke_core._claims import (
    IdempotencySettings as IdempotencySettings,
)
from dandelionyoke_core._codec import (
    message_from_mapping as message_from_mapping,
    message_to_mapping as message_to_mapping,
    record_from_json as record_from_json,
    record_to_json as record_to_json,
)
from dandelionyoke_core._commit import (
    CommitOutcome as CommitOutcome,
    Committed as Committed,
    Committer as Committer,
    Conflicted as Conflicted,
    Proposal as Proposal,
    Rejected as Rejected,
)
from dandelionyoke_core._configuration import (
    ConfigurationPart as ConfigurationPart,
    ConfigurationSettings as ConfigurationSettings,
)
from dandelionyoke_core._configuration_messages import (
    ConfigurationNews as ConfigurationNews,
    ConfigurationOffered as ConfigurationOffered,
    ConfigurationWanted as ConfigurationWanted,
)
from dandelionyoke_core._configuration_queries import (
    PeerQuerySettings as PeerQuerySettings,
)
from dandelionyoke_core._configuration_reader import (
    ReaderSettings as ReaderSettings,
)
from dandelionyoke_core._demand import (
    DemandShared as DemandShared,
)
from dandelionyoke_core._duty_lease import (
    REPORT_DUTY as REPORT_DUTY,
    DutyLeasePart as DutyLeasePart,
    DutyRecord as DutyRecord,
)
from dandelionyoke_core._duty_lease_settings import (
    DutyLeaseSettings as DutyLeaseSettings,
)
from dandelionyoke_core._entities import (
    ApiKey as ApiKey,
    Change as Change,
    Entity as Entity,
    Model as Model,
    Operation as Operation,
    Organisation as Organisation,
    Put as Put,
    Remove as Remove,
    Section as Section,
    Service as Service,
    ServiceKind as ServiceKind,
    Snapshot as Snapshot,
)
from dandelionyoke_core._errors import (
    CodecError as CodecError,
    ConfigurationError as ConfigurationError,
    DandelionyokeError as DandelionyokeError,
    SettingsError as SettingsError,
)
from dandelionyoke_core._events import (
    AttemptAccepted as AttemptAccepted,
    AttemptEnded as AttemptEnded,
    AttemptFailed as AttemptFailed,
    AttemptRefused as AttemptRefused,
    CacheEventsReported as CacheEventsReported,
    CallerDisconnected as CallerDisconnected,
    CompletionRequested as CompletionRequested,
    EngineOrderResponded as EngineOrderResponded,
    Event as Event,
    InstancesListed as InstancesListed,
    ListingFailed as ListingFailed,
    LoadReported as LoadReported,
    ModelListRequested as ModelListRequested,
    Notice as Notice,
    PeerConnected as PeerConnected,
    PeerDisconnected as PeerDisconnected,
    PeerMessage as PeerMessage,
    PeerMessageArrived as PeerMessageArrived,
    ProcessStalled as ProcessStalled,
    ServiceAnswered as ServiceAnswered,
    ServiceCallRequested as ServiceCallRequested,
    SharedRecord as SharedRecord,
    ShutdownForced as ShutdownForced,
    ShutdownRequested as ShutdownRequested,
    Started as Started,
    StatusRequested as StatusRequested,
    StoreResponded as StoreResponded,
    TargetOrderResponded as TargetOrderResponded,
    TargetsListed as TargetsListed,
    TargetUnreachable as TargetUnreachable,
    TimerFired as TimerFired,
    TokensArrived as TokensArrived,
    UsageReportResponded as UsageReportResponded,
)
from dandelionyoke_core._fleet import (
    CONTROL_DUTY as CONTROL_DUTY,
    FleetPart as FleetPart,
)
from dandelionyoke_core._fleet_notices import (
    FleetSizeChangeRequested as FleetSizeChangeRequested,
    RoleChangeRequested as RoleChangeRequested,
)
from dandelionyoke_core._fleet_settings import (
    FleetSettings as FleetSettings,
)
from dandelionyoke_core._fleet_view import (
    TargetStatus as TargetStatus,
    TargetView as TargetView,
    WorkView as WorkView,
)
from dandelionyoke_core._gossip import (
    GossipSettings as GossipSettings,
)
from dandelionyoke_core._idempotency import (
    IdempotencyPart as IdempotencyPart,
)
from dandelionyoke_core._json import parse_json as parse_json
from dandelionyoke_core._keys import (
    KeysPart as KeysPart,
    KeysSettings as KeysSettings,
    hash_key as hash_key,
)
from dandelionyoke_core._knowledge import (
    KnowledgeSettings as KnowledgeSettings,
)
from dandelionyoke_core._lifecycle import (
    LifecyclePart as LifecyclePart,
    LifecycleSettings as LifecycleSettings,
)
from dandelionyoke_core._links import (
    LinkSettings as LinkSettings,
)
from dandelionyoke_core._load_estimate import (
    EngineSpeed as EngineSpeed,
    WorkSize as WorkSize,
)
from dandelionyoke_core._membership import (
    MembershipPart as MembershipPart,
)
from dandelionyoke_core._membership_messages import (
    Heartbeat as Heartbeat,
    MemberRecord as MemberRecord,
    MemberState as MemberState,
    RecordBatch as RecordBatch,
    RecordEntry as RecordEntry,
    RecordSummary as RecordSummary,
)
from dandelionyoke_core._membership_settings import (
    MembershipSettings as MembershipSettings,
)
from dandelionyoke_core._metrics import (
    Metrics as Metrics,
)
from dandelionyoke_core._names import (
    AttemptId as AttemptId,
    ChangeId as ChangeId,
    Domain as Domain,
    InstanceId as InstanceId,
    LeaseId as LeaseId,
    ModelName as ModelName,
    OperationId as OperationId,
    OrderId as OrderId,
    OrganisationId as OrganisationId,
    RequestId as RequestId,
    ServiceName as ServiceName,
    TargetId as TargetId,
    WindowId as WindowId,
)
from dandelionyoke_core._node import (
    Composition as Composition,
    NoticeLoopError as NoticeLoopError,
)
from dandelionyoke_core._notices import (
    CallAdmitted as CallAdmitted,
    CallRejected as CallRejected,
    ClaimAnswered as ClaimAnswered,
    ClaimGranted as ClaimGranted,
    ClaimRefused as ClaimRefused,
    ConfigurationInForce as ConfigurationInForce,
    DutyExtended as DutyExtended,
    DutyGained as DutyGained,
    DutyLost as DutyLost,
    KeyRevoked as KeyRevoked,
    Leaving as Leaving,
    LivePeersChanged as LivePeersChanged,
    RecordReceived as RecordReceived,
    ReplicateRecord as ReplicateRecord,
    StoreReplaced as StoreReplaced,
    TargetCrashed as TargetCrashed,
    TargetLeaving as TargetLeaving,
    UsageDelivered as UsageDelivered,
)
from dandelionyoke_core._observation import (
    LoadsShared as LoadsShared,
)
from dandelionyoke_core._order_plans import (
    Goal as Goal,
    Journal as Journal,
    Plan as Plan,
    PlanStep as PlanStep,
)
from dandelionyoke_core._orders import (
    OrdersPart as OrdersPart,
)
from dandelionyoke_core._orders_settings import (
    OrdersSettings as OrdersSettings,
)
from dandelionyoke_core._ports import (
    Admitted as Admitted,
    Admitter as Admitter,
    Authenticator as Authenticator,
    Claimer as Claimer,
    ConfigurationView as ConfigurationView,
    Identity as Identity,
    NoRoute as NoRoute,
    Output as Output,
    Part as Part,
    Peers as Peers,
    Quarantine as Quarantine,
    Queued as Queued,
    Router as Router,
    RouteRequirements as RouteRequirements,
    Ticket as Ticket,
)
from dandelionyoke_core._quarantine import (
    QuarantinePart as QuarantinePart,
)
from dandelionyoke_core._quarantine_messages import (
    Suspicion as Suspicion,
    SuspicionShared as SuspicionShared,
    TrialShared as TrialShared,
)
from dandelionyoke_core._quarantine_settings import (
    QuarantineSettings as QuarantineSettings,
)
from dandelionyoke_core._rate import (
    TokenBucket as TokenBucket,
)
from dandelionyoke_core._records import (
    CacheEvent as CacheEvent,
    EngineOrder as EngineOrder,
    EngineOrderKind as EngineOrderKind,
    Instance as Instance,
    LeaseExpired as LeaseExpired,
    LeaseGranted as LeaseGranted,
    LoadReport as LoadReport,
    OrderState as OrderState,
    Presence as Presence,
    Role as Role,
    StoreConflict as StoreConflict,
    StoreFailed as StoreFailed,
    StoreItem as StoreItem,
    StoreListing as StoreListing,
    StoreResult as StoreResult,
    StoreWritten as StoreWritten,
    Target as Target,
    TargetAction as TargetAction,
    TargetKind as TargetKind,
    TargetOrder as TargetOrder,
    UsageFigure as UsageFigure,
    UsageWindow as UsageWindow,
)
from dandelionyoke_core._refusals import (
    Refusal as Refusal,
    RefusalKind as RefusalKind,
    RunState as RunState,
)
from dandelionyoke_core._rendezvous import (
    rendezvous as rendezvous,
)
from dandelionyoke_core._request import (
    RequestPart as RequestPart,
)
from dandelionyoke_core._request_settings import (
    RequestSettings as RequestSettings,
)
from dandelionyoke_core._retry_budget import (
    RetryBudget as RetryBudget,
)
from dandelionyoke_core._routing import (
    RoutingPart as RoutingPart,
)
from dandelionyoke_core._routing_settings import (
    RoutingSettings as RoutingSettings,
)
from dandelionyoke_core._store_era import (
    MAX_ERA as MAX_ERA,
    EraListener as EraListener,
    EraStore as EraStore,
    Exchange as Exchange,
    StoreEra as StoreEra,
    era_of as era_of,
    number_of as number_of,
    revision_in as revision_in,
)
from dandelionyoke_core._store_layout import (
    ConfigurationLoader as ConfigurationLoader,
    Head as Head,
    Loaded as Loaded,
    LoadOutcome as LoadOutcome,
    StoreLayoutSettings as StoreLayoutSettings,
    TaskFailed as TaskFailed,
)
from dandelionyoke_core._target_changes import (
    TargetsShared as TargetsShared,
)
from dandelionyoke_core._tokens import (
    BLOCK_TOKENS as BLOCK_TOKENS,
    prefix_blocks as prefix_blocks,
    split_tokens as split_tokens,
)
from dandelionyoke_core._topology import (
    TopologySettings as TopologySettings,
    choose_links as choose_links,
)
from dandelionyoke_core._usage import (
    UsagePart as UsagePart,
)
from dandelionyoke_core._usage_records import (
    CounterRecord as CounterRecord,
    ReportedRecord as ReportedRecord,
    UsageCopied as UsageCopied,
    WindowRecord as WindowRecord,
)
from dandelionyoke_core._usage_settings import (
    UsageSettings as UsageSettings,
)
from dandelionyoke_core._work_mix import (
    MixRow as MixRow,
)
