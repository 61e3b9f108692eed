"""At most one run of a call that may not be repeated.

A claim in the platform's store comes before the call is sent. Every write
of it is a compare-and-set of the revision that the decision was taken on,
so that of two entries with the same key one alone can win.
"""

import enum
from collections.abc import Callable
from random import Random
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import (
    CountMetric,
    StoreGet,
    StorePut,
    WriteLog,
)
from dandelionyoke_core._claims import (
    ClaimRecord,
    ClaimState,
    OnceSettings,
    claim_key,
    hash_request,
    in_doubt,
    store_down,
    too_many_claims,
)
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import (
    Event,
    ServiceCalled,
    Started,
    StoreAnswered,
    Woken,
)
from dandelionyoke_core._names import (
    InstanceId,
    OperationId,
    OrganisationId,
    RequestId,
)
from dandelionyoke_core._notices import ClaimGranted, ClaimRefused
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._timers import Timers


@enum.unique
class Step(enum.Enum):
    """What a claim's owner is doing with it."""

    CREATING = 'creating'
    READING = 'reading'
    HELD = 'held'
    CLOSING = 'closing'


@attrs.define
class Claim:
    """A claim of this node, until its end is in the store.

    `record` is what is written next, where `expected_revision` stands.
    `may_exist` is whether the store may hold this claim. `refused` is
    whether its caller was told that it was not sent, so that it must be
    given back if it proves to exist.
    """

    request_id: RequestId
    key: str
    record: ClaimRecord
    patience_until_s: float
    expected_revision: int = 0
    step: Step = Step.CREATING
    operation_id: OperationId | None = None
    asked_s: float = 0.0
    retry_at_s: float | None = None
    failures: int = 0
    may_exist: bool = False
    refused: bool = False


class OncePart:
    """Claims calls in the store, and records their ends."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        StoreAnswered,
        Woken,
    )

    def __init__(
        self, settings: OnceSettings, instance_id: InstanceId, random: Random
    ) -> None:
        self._settings = settings
        self._instance_id = instance_id
        # An instance that is replaced under the same name must not take
        # its predecessor's claims for its own, and send their calls again.
        self._incarnation = f'{instance_id}.{random.getrandbits(64):016x}'
        self._random = random
        self._started: tuple[float, float] | None = None
        self._numbers = 0
        self._claims: dict[RequestId, Claim] = {}
        self._operations: dict[OperationId, RequestId] = {}
        self._timers: Timers[RequestId] = Timers()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        match event:
            case Started():
                self._started = (event.wall_s, now_s)
            case StoreAnswered():
                return self._answered(event, now_s)
            case Woken():
                return self._woken(now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell when the store has to be asked again."""
        return self._timers.next_s()

    @property
    def in_progress(self) -> int:
        """How many claims have an end that is not in the store yet."""
        return len(self._claims)

    def claim(
        self,
        call: ServiceCalled,
        organisation: OrganisationId,
        now_s: float,
    ) -> list[Output]:
        """Start a claim: ClaimGranted, ClaimAnswered or ClaimRefused follows."""
        request_id = call.request_id
        pause_s = self._settings.pause_limit_s
        if self._started is None or not call.idempotency_key:
            return [ClaimRefused(request_id, store_down(pause_s))]
        if len(self._claims) >= self._settings.max_claims:
            return [ClaimRefused(request_id, too_many_claims(pause_s))]
        if request_id in self._claims:
            return [ClaimRefused(request_id, too_many_claims(pause_s))]
        wall_s = self._wall_s(now_s)
        self._numbers += 1
        claim = Claim(
            request_id,
            claim_key(organisation, call.idempotency_key),
            ClaimRecord(
                f'{self._incarnation}.{self._numbers}',
                self._instance_id,
                hash_request(call),
                wall_s + self._settings.run_limit_s,
                wall_s + self._settings.retention_s,
            ),
            now_s + self._settings.patience_s,
        )
        self._claims[request_id] = claim
        return self._write(claim, now_s)

    def settle(
        self,
        request_id: RequestId,
        status: int,
        content_type: str,
        body: bytes,
        now_s: float,
    ) -> list[Output]:
        """Record the end of a claimed call."""
        limit_bytes = self._settings.kept_answer_bytes
        return self._close(
            request_id,
            lambda record: record.ended(
                status, content_type, body, limit_bytes
            ),
            now_s,
        )

    def reopen(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Give a claim back on proof that the call did not run."""
        return self._close(request_id, _opened, now_s)

    def doubt(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Leave a claim in doubt for good: its end is not known."""
        return self._close(request_id, _doubted, now_s)

    # What the store said.

    def _answered(self, event: StoreAnswered, now_s: float) -> list[Output]:
        request_id = self._operations.pop(event.operation_id, None)
        if request_id is None:
            return []
        claim = self._claims[request_id]
        claim.operation_id = None
        return self._take(claim, event.result, now_s)

    def _take(
        self, claim: Claim, result: StoreResult, now_s: float
    ) -> list[Output]:
        match result:
            case StoreFailed():
                return self._failed(claim, result, now_s)
            case StoreWritten():
                return self._written(claim, result.revision, now_s)
            case StoreConflict():
                return self._present(claim, result.present, now_s)
            case StoreItem():
                return self._present(claim, result, now_s)
        return []

    def _written(
        self, claim: Claim, revision: int, now_s: float
    ) -> list[Output]:
        claim.expected_revision = revision
        if claim.step is Step.CLOSING:
            return self._forget(claim)
        return self._own(claim, now_s)

    def _present(
        self, claim: Claim, present: StoreItem, now_s: float
    ) -> list[Output]:
        if present.value is None:
            claim.expected_revision = 0
            return self._write_or_forget(claim, now_s)
        try:
            record = record_from_json(present.value, ClaimRecord)
        except CodecError:
            return self._unreadable(claim)
        if record.claim_id == claim.record.claim_id:
            return self._found_own(claim, record, present.revision, now_s)
        if claim.step is Step.CLOSING:
            return self._superseded(claim)
        if self._is_free(record, now_s):
            claim.expected_revision = present.revision
            return self._write_or_forget(claim, now_s)
        return self._taken(claim, record, now_s)

    def _found_own(
        self, claim: Claim, record: ClaimRecord, revision: int, now_s: float
    ) -> list[Output]:
        claim.expected_revision = revision
        if record.state is not ClaimState.RUNNING:
            return self._forget(claim)
        if claim.step is Step.CLOSING:
            return self._write(claim, now_s)
        return self._own(claim, now_s)

    def _own(self, claim: Claim, now_s: float) -> list[Output]:
        claim.step = Step.HELD
        claim.failures = 0
        if claim.refused:
            return self.reopen(claim.request_id, now_s)
        if self._wall_s(now_s) >= claim.record.run_until_wall_s:
            # This process was paused for so long that others already say
            # of this claim that its end is not known.
            return self._refuse(claim, now_s)
        return [ClaimGranted(claim.request_id)]

    def _taken(
        self, claim: Claim, record: ClaimRecord, now_s: float
    ) -> list[Output]:
        refused = claim.refused
        outputs = self._forget(claim)
        if refused:
            return outputs
        told = record.told(
            claim.request_id,
            claim.record.request_hash,
            self._wall_s(now_s),
            self._settings.repeat_after_s,
        )
        return [*outputs, told]

    def _unreadable(self, claim: Claim) -> list[Output]:
        # A record of a newer version, or a damaged one. Writing over it
        # could let a call run again, so it stands.
        refused = claim.refused or claim.step is Step.CLOSING
        outputs: list[Output] = [
            *self._forget(claim),
            CountMetric('once.unreadable_records'),
        ]
        if refused:
            return outputs
        return [*outputs, ClaimRefused(claim.request_id, in_doubt())]

    def _superseded(self, claim: Claim) -> list[Output]:
        return [*self._forget(claim), CountMetric('once.superseded_claims')]

    def _is_free(self, record: ClaimRecord, now_s: float) -> bool:
        if record.state is ClaimState.OPEN:
            return True
        margin_s = self._settings.clock_margin_s
        return self._wall_s(now_s) > record.expires_wall_s + margin_s

    # What the store did not say.

    def _failed(
        self, claim: Claim, failed: StoreFailed, now_s: float
    ) -> list[Output]:
        claim.failures += 1
        if claim.step is Step.CREATING and failed.may_have_happened:
            # The write may have taken effect and only its answer be lost.
            # To write again at another revision could dispatch twice; to
            # refuse could leave a claim that nobody runs. The store alone
            # knows, so it is read.
            claim.may_exist = True
            claim.step = Step.READING
        if claim.refused and not claim.may_exist:
            return self._forget(claim)
        claim.retry_at_s = now_s + self._pause_s(claim)
        self._set_timer(claim)
        return []

    def _woken(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for request_id in tuple(self._timers.due(now_s, self._due_s)):
            claim = self._claims.get(request_id)
            if claim is not None:
                outputs += self._look_at(claim, now_s)
                self._set_timer(claim)
        return outputs

    def _look_at(self, claim: Claim, now_s: float) -> list[Output]:
        if self._is_impatient(claim) and now_s >= claim.patience_until_s:
            return self._refuse(claim, now_s)
        if claim.operation_id is not None:
            # The store never answered: the same as a lost answer.
            self._operations.pop(claim.operation_id, None)
            claim.operation_id = None
            return self._failed(claim, StoreFailed('timeout', True), now_s)
        claim.retry_at_s = None
        if claim.step is Step.READING:
            return self._read(claim, now_s)
        return self._write(claim, now_s)

    def _due_s(self, request_id: RequestId) -> float | None:
        claim = self._claims.get(request_id)
        if claim is None:
            return None
        times = [claim.retry_at_s]
        if claim.operation_id is not None:
            times.append(claim.asked_s + self._settings.answer_limit_s)
        if self._is_impatient(claim):
            times.append(claim.patience_until_s)
        return min((due for due in times if due is not None), default=None)

    def _is_impatient(self, claim: Claim) -> bool:
        if claim.refused:
            return False
        return claim.step in {Step.CREATING, Step.READING}

    def _refuse(self, claim: Claim, now_s: float) -> list[Output]:
        """Tell the caller that it was not sent, and clear up behind it."""
        claim.refused = True
        refusal: Refusal = store_down(self._settings.pause_limit_s)
        outputs: list[Output] = [ClaimRefused(claim.request_id, refusal)]
        if claim.step is Step.HELD:
            return [*outputs, *self.reopen(claim.request_id, now_s)]
        if claim.operation_id is not None:
            return outputs
        if not claim.may_exist:
            return [*outputs, *self._forget(claim)]
        claim.retry_at_s = now_s
        return outputs

    # Asking the store.

    def _close(
        self,
        request_id: RequestId,
        change: Callable[[ClaimRecord], ClaimRecord],
        now_s: float,
    ) -> list[Output]:
        claim = self._claims.get(request_id)
        if claim is None or claim.step is not Step.HELD:
            return []
        claim.record = change(claim.record)
        claim.step = Step.CLOSING
        log = WriteLog('once.closed', request_id, claim.record.state.value)
        return [log, *self._write(claim, now_s)]

    def _write_or_forget(self, claim: Claim, now_s: float) -> list[Output]:
        if claim.refused:
            # The caller was told that nothing was sent. The write may still
            # be on its way, so the place is taken by an open record, which
            # makes a late write of this claim fail.
            claim.record = _opened(claim.record)
            claim.step = Step.CLOSING
        elif claim.step is Step.READING:
            claim.step = Step.CREATING
        return self._write(claim, now_s)

    def _write(self, claim: Claim, now_s: float) -> list[Output]:
        put = StorePut(
            self._operation(claim, now_s),
            claim.key,
            record_to_json(claim.record),
            claim.expected_revision,
        )
        return [put]

    def _read(self, claim: Claim, now_s: float) -> list[Output]:
        return [StoreGet(self._operation(claim, now_s), claim.key)]

    def _operation(self, claim: Claim, now_s: float) -> OperationId:
        self._numbers += 1
        operation_id = OperationId(f'once.{self._incarnation}.{self._numbers}')
        self._operations[operation_id] = claim.request_id
        claim.operation_id = operation_id
        claim.asked_s = now_s
        claim.retry_at_s = None
        self._set_timer(claim)
        return operation_id

    def _forget(self, claim: Claim) -> list[Output]:
        self._claims.pop(claim.request_id, None)
        return []

    def _set_timer(self, claim: Claim) -> None:
        due_s = self._due_s(claim.request_id)
        if due_s is not None:
            self._timers.put(claim.request_id, due_s)

    def _pause_s(self, claim: Claim) -> float:
        doubled_s: float = self._settings.pause_s * 2 ** min(claim.failures, 16)
        pause_s = min(doubled_s, self._settings.pause_limit_s)
        return pause_s * self._random.uniform(0.5, 1)

    def _wall_s(self, now_s: float) -> float:
        if self._started is None:
            return now_s
        wall_s, started_s = self._started
        return wall_s + now_s - started_s


def _opened(record: ClaimRecord) -> ClaimRecord:
    return attrs.evolve(record, state=ClaimState.OPEN)


def _doubted(record: ClaimRecord) -> ClaimRecord:
    return attrs.evolve(record, state=ClaimState.DOUBT)
