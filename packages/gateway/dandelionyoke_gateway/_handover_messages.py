"""Messages with which a node hands a call to another one.

Each call has a channel of its own. Times are sent as durations because the
nodes' clocks are not synchronised.
"""

import math

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import CallKind

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class CallTerms:
    """What the configuration granted a call when it was admitted.

    The call must end within `time_left_s`. `key_age_s` is how long before the
    admission the configuration that accepted its key was known to be the
    newest; None for a call that needs no key.
    """

    kind: CallKind
    time_left_s: float
    goal_s: float
    longest_pause_s: float
    priority: int
    is_resumable: bool
    organisation: str | None = None
    organisation_priority: int | None = None
    key_age_s: float | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the figures can be those of a call."""
        times_s = (
            self.time_left_s,
            self.goal_s,
            self.longest_pause_s,
            self.key_age_s or 0.0,
        )
        return all(math.isfinite(time_s) for time_s in times_s)


@attrs.frozen
class CallHanded(PeerMessage):
    """A call whose request arrived `age_s` ago, as its caller sent it.

    The body follows in parts. `last_event_id` is the last event that the
    caller has received. At most `attempts_left` targets may run the call.
    `service` was chosen for it. `is_sent` and `is_prefill_sent` tell whether
    the call, or a prefill for it, was sent to a target before. The KV cache
    of its prompt, if any, is at the engine `cache_target_id`. An older
    program sends no `terms`. Its stream goes on at targets of `version` only;
    None: at any. The targets `refusing_ids` did not run it.
    """

    method: str
    target: str
    headers: Headers
    age_s: float
    attempts_left: int
    is_usage_counted: bool = False
    last_event_id: str | None = None
    service: str = ''
    is_sent: bool = False
    is_prefill_sent: bool = False
    cache_target_id: str = ''
    cache_handle: str = ''
    terms: CallTerms | None = None
    version: str | None = None
    refusing_ids: tuple[str, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Whether the figures can be those of a call."""
        if self.terms is not None and not self.terms.is_valid:
            return False
        is_finite = math.isfinite(self.age_s) and self.age_s >= 0
        return is_finite and self.attempts_left > 0


@attrs.frozen
class BodyPart(PeerMessage):
    """A part of the body of a call or of its response."""

    content: bytes
    is_last: bool


@attrs.frozen
class ResponseBegun(PeerMessage):
    """The head of the response.

    `may_have_run` is False only if no target ran the call. `is_elsewhere`
    means that the node could not serve the call although another node may.
    `is_sent` and `is_prefill_sent` are False only if no node has sent the
    call, or a prefill for it, to a target. The target `leaving_id`, if any,
    which has started at `leaving_started_ms`, said in its answer that it
    leaves. All events of a stream come from targets of `version`; nodes of
    earlier versions name none. The targets `refusing_ids` did not run the
    call.
    """

    status: int
    headers: Headers
    is_stream: bool = False
    may_have_run: bool = True
    is_elsewhere: bool = False
    is_sent: bool = True
    is_prefill_sent: bool = True
    leaving_id: str = ''
    leaving_started_ms: int | None = None
    version: str | None = None
    refusing_ids: tuple[str, ...] = ()
