"""Authenticated links between processes, and socket helpers."""

from dandelionyoke_links._peers import (
    CallChannel as CallChannel,
    LinkError as LinkError,
    PeerHub as PeerHub,
    PeerSettings as PeerSettings,
)
from dandelionyoke_links._sockets import (
    URGENT_USER_TIMEOUT_MS as URGENT_USER_TIMEOUT_MS,
    USER_TIMEOUT_MS as USER_TIMEOUT_MS,
    listen as listen,
    receive as receive,
    reset_on_close as reset_on_close,
    set_socket_options as set_socket_options,
)
