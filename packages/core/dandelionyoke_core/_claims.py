"""The stored record of a claim, and the answer that a repeated call gets.

A claim reserves an idempotency key for one run of a call.
"""

import base64
import enum
import hashlib

import attrs

from dandelionyoke_core._events import ServiceCallRequested
from dandelionyoke_core._names import InstanceId, OrganisationId, RequestId
from dandelionyoke_core._notices import ClaimAnswered, ClaimRefused
from dandelionyoke_core._refusals import Refusal, RefusalKind, RunState

CLAIM_PREFIX = 'once'
_SEND_AGAIN = 'Send the request again after retry_after_s'
_CHECK_OUTCOME = (
    'Find out at the service whether it ran; a repeat with the same '
    'Idempotency-Key is not sent again'
)


@enum.unique
class ClaimState(enum.Enum):
    """The state of a claim. ENDED and DOUBT are final.

    OPEN means that the call did not run and the key is free again. DOUBT
    means that nobody knows whether the call ran.
    """

    RUNNING = 'running'
    OPEN = 'open'
    ENDED = 'ended'
    DOUBT = 'doubt'


@attrs.frozen
class IdempotencySettings:
    """Retention of claims, timeouts and retries of store calls.

    A claim is kept for `retention_s`; `clock_margin_s` is the largest
    expected difference between the wall clocks of two entries. A claim is in
    doubt if its owner has not recorded an end within `max_run_s` of making
    it. A call is refused if its claim is not made within `claim_timeout_s`.
    Each store call times out after `store_call_timeout_s`; retries back off
    from `retry_min_s` to `retry_max_s`. A repeated call waits up to
    `repeat_wait_s` for the first one to end and is then refused with
    `repeat_retry_after_s` as its Retry-After. An answer larger than
    `max_kept_answer_bytes` is not stored. Every `sweep_interval_s` one small
    bucket of keys is listed and at most `sweep_batch` expired claims are
    deleted.
    """

    retention_s: float = 172_800.0
    clock_margin_s: float = 600.0
    max_run_s: float = 120.0
    claim_timeout_s: float = 2.0
    store_call_timeout_s: float = 5.0
    retry_min_s: float = 0.1
    retry_max_s: float = 5.0
    repeat_wait_s: float = 0.5
    repeat_retry_after_s: float = 1.0
    max_kept_answer_bytes: int = 65_536
    max_claims: int = 2_000
    sweep_interval_s: float = 60.0
    sweep_batch: int = 20


@attrs.frozen
class ClaimRecord:
    """The stored record for one idempotency key of an organisation.

    Both times are absolute, in seconds since the epoch. They alone decide
    when the claim becomes doubtful and when it expires. `kept` is False if
    the answer was too large to store.
    """

    claim_id: str
    instance_id: InstanceId
    request_hash: str
    run_until_wall_s: float
    expires_wall_s: float
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    content_type: str = ''
    body_base64: str = ''
    kept: bool = True

    def is_running(self, wall_s: float) -> bool:
        """Return whether the owner may still record an end."""
        running = self.state is ClaimState.RUNNING
        return running and wall_s < self.run_until_wall_s

    def is_expired(self, wall_s: float, clock_margin_s: float) -> bool:
        """Return whether the claim has expired on every entry's clock."""
        return wall_s > self.expires_wall_s + clock_margin_s

    def with_end(
        self, status: int, content_type: str, body: bytes, max_bytes: int
    ) -> 'ClaimRecord':
        """Return the ended record, with the answer if it is small enough."""
        kept = len(body) + len(content_type) <= max_bytes
        return attrs.evolve(
            self,
            state=ClaimState.ENDED,
            status=status,
            content_type=content_type if kept else '',
            body_base64=base64.b64encode(body).decode() if kept else '',
            kept=kept,
        )

    def response_to_repeat(
        self,
        request_id: RequestId,
        request_hash: str,
        wall_s: float,
        retry_after_s: float,
    ) -> ClaimAnswered | ClaimRefused:
        """Return the response to a repeated call with the same key."""
        if request_hash != self.request_hash:
            return ClaimRefused(request_id, _key_reused_refusal())
        if self.state is ClaimState.ENDED and self.kept:
            return ClaimAnswered(
                request_id,
                self.status,
                self.content_type,
                base64.b64decode(self.body_base64),
            )
        if self.state is ClaimState.ENDED:
            return ClaimRefused(
                request_id, _answer_not_kept_refusal(self.status)
            )
        if self.is_running(wall_s):
            return ClaimRefused(request_id, _in_progress_refusal(retry_after_s))
        return ClaimRefused(request_id, in_doubt_refusal())


def claim_key(organisation_id: OrganisationId, idempotency_key: str) -> str:
    """Return the store key of a claim."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{CLAIM_PREFIX}/{organisation_id}/{digest}'


def hash_request(call: ServiceCallRequested) -> str:
    """Hash a request, to detect a key that is reused for another request."""
    digest = hashlib.sha256()
    parts = (
        call.service_name.encode(),
        call.method.upper().encode(),
        call.path.encode(),
        call.body,
    )
    for part in parts:
        digest.update(len(part).to_bytes(8) + part)
    return digest.hexdigest()


def store_down_refusal(retry_after_s: float) -> Refusal:
    """Refuse a call that was not sent because it could not be claimed."""
    return Refusal(
        RefusalKind.STORE_DOWN,
        'The store that guards against a second run gives no answer',
        _SEND_AGAIN,
        retry_after_s=retry_after_s,
    )


def in_doubt_refusal() -> Refusal:
    """Refuse a call because the outcome of its first run is unknown."""
    return Refusal(
        RefusalKind.END_UNKNOWN,
        'A request with this Idempotency-Key was sent and its end is not known',
        _CHECK_OUTCOME,
        RunState.UNKNOWN,
    )


def too_many_claims_refusal(retry_after_s: float) -> Refusal:
    """Refuse a call because too many claims are in progress here."""
    return Refusal(
        RefusalKind.OVERLOADED,
        'Too many calls that run at most once are in progress here',
        _SEND_AGAIN,
        retry_after_s=retry_after_s,
    )


def _key_reused_refusal() -> Refusal:
    return Refusal(
        RefusalKind.KEY_REUSED,
        'This Idempotency-Key came with another request before',
        'Use a new Idempotency-Key for each new request',
    )


def _in_progress_refusal(retry_after_s: float) -> Refusal:
    return Refusal(
        RefusalKind.IN_PROGRESS,
        'A request with this Idempotency-Key is in progress',
        'Send the request again after retry_after_s to get its answer',
        RunState.UNKNOWN,
        retry_after_s,
    )


def _answer_not_kept_refusal(status: int) -> Refusal:
    return Refusal(
        RefusalKind.END_UNKNOWN,
        f'The request ran once and was answered with status {status}; the '
        'answer was too large to keep',
        'Read the outcome at the service; a repeat with the same '
        'Idempotency-Key is not sent again',
        RunState.UNKNOWN,
    )
