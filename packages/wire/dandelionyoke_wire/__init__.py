"""Tasks that own the sockets of dandelionyoke."""

from dandelionyoke_wire._store import StoreClient as StoreClient
from dandelionyoke_wire._transport import (
    Reply as Reply,
    TransportError as TransportError,
    call_json as call_json,
    new_pool as new_pool,
)
