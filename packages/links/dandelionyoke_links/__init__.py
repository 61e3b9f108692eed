"""Event loop, authenticated links between processes, and socket helpers."""

from dandelionyoke_links._body_decoders import (
    BodyDecoder as BodyDecoder,
    ChunkedDecoder as ChunkedDecoder,
    FramingError as FramingError,
    LengthDecoder as LengthDecoder,
    UntilCloseDecoder as UntilCloseDecoder,
    new_answer_decoder as new_answer_decoder,
)
from dandelionyoke_links._body_reader import (
    BodyEndedError as BodyEndedError,
    BodyError as BodyError,
    BodyFramingError as BodyFramingError,
    BodyLimits as BodyLimits,
    BodyReader as BodyReader,
    BodyRefusedError as BodyRefusedError,
    BodySource as BodySource,
    BodyTimeoutError as BodyTimeoutError,
    BodyTooLargeError as BodyTooLargeError,
    DecodeTurns as DecodeTurns,
)
from dandelionyoke_links._clock import (
    clock_s as clock_s,
)
from dandelionyoke_links._connection_slots import (
    ConnectionSlots as ConnectionSlots,
    WaitingConnection as WaitingConnection,
)
from dandelionyoke_links._event_loop import (
    EventLoop as EventLoop,
    install_event_loop as install_event_loop,
    last_ran_s as last_ran_s,
    running_s as running_s,
    stalled_s as stalled_s,
)
from dandelionyoke_links._input_wait import InputWait as InputWait
from dandelionyoke_links._machine import (
    ClientResources as ClientResources,
    MachineLimits as MachineLimits,
    request_bytes as request_bytes,
)
from dandelionyoke_links._memory_budget import (
    MemoryBudget as MemoryBudget,
    MemoryShortError as MemoryShortError,
    Reservation as Reservation,
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
    close_after_refusal as close_after_refusal,
    limit_silence as limit_silence,
    listen as listen,
    receive as receive,
    reset_on_close as reset_on_close,
    set_socket_options as set_socket_options,
)
