"""Event loop, authenticated links between processes, and socket helpers."""

from dandelionyoke_links._clock import (
    clock_s as clock_s,
)
from dandelionyoke_links._event_loop import (
    EventLoop as EventLoop,
    install_event_loop as install_event_loop,
    running_s as running_s,
    stalled_s as stalled_s,
)
from dandelionyoke_links._peers import (
    CallChannel as CallChannel,
    LinkError as LinkError,
    PeerHub as PeerHub,
    PeerSettings as PeerSettings,
)
from dandelionyoke_links._sockets import (
    BRIEF as BRIEF,
    MAX_SILENCE_S as MAX_SILENCE_S,
    PATIENT as PATIENT,
    READER as READER,
    URGENT as URGENT,
    SilenceLimits as SilenceLimits,
    limit_silence as limit_silence,
    listen as listen,
    receive as receive,
    reset_on_close as reset_on_close,
    set_socket_options as set_socket_options,
)
