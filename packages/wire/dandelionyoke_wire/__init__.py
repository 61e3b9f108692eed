"""I/O layer of an entry: caller-facing server, clients and their tasks."""

from dandelionyoke_wire._caller_server import serve_callers as serve_callers
from dandelionyoke_wire._callers import (
    CallerApp as CallerApp,
    CallerSettings as CallerSettings,
)
from dandelionyoke_wire._platform import PlatformClient as PlatformClient
from dandelionyoke_wire._response_queues import ResponseQueues as ResponseQueues
from dandelionyoke_wire._runtime import (
    ActionExecutor as ActionExecutor,
    ActionSink as ActionSink,
    EventHandler as EventHandler,
    EventQueue as EventQueue,
    NodeEventLoop as NodeEventLoop,
)
from dandelionyoke_wire._store import StoreClient as StoreClient
from dandelionyoke_wire._transport import (
    JsonResponse as JsonResponse,
    TransportError as TransportError,
    call_json as call_json,
    new_pool as new_pool,
)
