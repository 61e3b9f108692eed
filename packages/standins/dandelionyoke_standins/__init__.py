"""Small stand-ins for the systems that dandelionyoke talks to.

The models are pure: they use no sockets and no clock. `python -m` serves
them over HTTP.
"""

from dandelionyoke_standins._attempt import (
    GenerateRequest as GenerateRequest,
    Output as Output,
    StreamEnd as StreamEnd,
)
from dandelionyoke_standins._batch import BatchSettings as BatchSettings
from dandelionyoke_standins._blocks import (
    CacheEvent as CacheEvent,
    CacheEvents as CacheEvents,
    CacheEventSettings as CacheEventSettings,
)
from dandelionyoke_standins._engine import (
    EngineFaults as EngineFaults,
    EngineModel as EngineModel,
    EngineSettings as EngineSettings,
    KvExport as KvExport,
)
from dandelionyoke_standins._engine_orders import (
    EngineOrder as EngineOrder,
    EngineOrderAnswer as EngineOrderAnswer,
    OrderTimes as OrderTimes,
)
from dandelionyoke_standins._engine_report import (
    AttemptRecord as AttemptRecord,
    EngineRecord as EngineRecord,
    LoadReport as LoadReport,
    ReportSettings as ReportSettings,
)
from dandelionyoke_standins._errors import (
    BadCallError as BadCallError,
    ConflictError as ConflictError,
    GoneError as GoneError,
    LostAnswerError as LostAnswerError,
    MissingError as MissingError,
    NotRunError as NotRunError,
    OutageError as OutageError,
    RateLimitError as RateLimitError,
    StandinError as StandinError,
    TooLargeError as TooLargeError,
)
from dandelionyoke_standins._meter import CallMeter as CallMeter
from dandelionyoke_standins._node_simulation import (
    CallRecord as CallRecord,
    NodeSimulation as NodeSimulation,
)
from dandelionyoke_standins._output import (
    answer_plan as answer_plan,
    answer_text as answer_text,
    output_token as output_token,
)
from dandelionyoke_standins._plain import (
    PlainFaults as PlainFaults,
    PlainModel as PlainModel,
    PlainRun as PlainRun,
)
from dandelionyoke_standins._platform import (
    Instance as Instance,
    PlatformFaults as PlatformFaults,
    PlatformModel as PlatformModel,
    PlatformSettings as PlatformSettings,
    UsageWindow as UsageWindow,
)
from dandelionyoke_standins._store import (
    Store as Store,
    StoreChanges as StoreChanges,
    StoreEntry as StoreEntry,
    StoreModel as StoreModel,
)
from dandelionyoke_standins._targets import (
    Target as Target,
    TargetOrder as TargetOrder,
    TargetOrderAnswer as TargetOrderAnswer,
    TargetSettings as TargetSettings,
)
from dandelionyoke_standins._world_platform import (
    NodeSimulationSettings as NodeSimulationSettings,
)
from dandelionyoke_standins._world_setup import (
    DeploymentPlan as DeploymentPlan,
    EngineGroup as EngineGroup,
    add_entry as add_entry,
    commit as commit,
    deploy as deploy,
)
from dandelionyoke_standins._world_targets import VirtualEngine as VirtualEngine
