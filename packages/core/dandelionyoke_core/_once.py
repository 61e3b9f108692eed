"""At most one run of a call that may not be repeated.

A claim in the platform's store comes before the call is sent. Every write
of it is a compare-and-set of the revision that the decision was taken on,
so that of two entries with the same key one alone can win.
"""

from collections.abc import Callable
from random import Random
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import CountMetric, WriteLog
from dandelionyoke_core._claim_sweep import ClaimSweep
from dandelionyoke_core._claim_table import Claim, ClaimTable, Step
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
from dandelionyoke_core._codec import record_from_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import (
    Event,
    ServiceCalled,
    Started,
    StoreAnswered,
    Woken,
)
from dandelionyoke_core._names import InstanceId, OrganisationId, RequestId
from dandelionyoke_core._notices import ClaimGranted, ClaimRefused
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreResult,
    StoreWritten,
)


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
        incarnation = f'{instance_id}.{random.getrandbits(64):016x}'
        self._table = ClaimTable(settings, incarnation, random)
        self._sweep = ClaimSweep(settings, random)
        self._started: tuple[float, float] | None = None

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
        wakeups = (self._table.next_wakeup_s(), self._sweep.next_wakeup_s())
        return min((due for due in wakeups if due is not None), default=None)

    @property
    def in_progress(self) -> int:
        """How many claims have an end that is not in the store yet."""
        return len(self._table)

    # The Claimer port.

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
        full = len(self._table) >= self._settings.max_claims
        if full or self._table.find(request_id) is not None:
            return [ClaimRefused(request_id, too_many_claims(pause_s))]
        wall_s = self._wall_s(now_s)
        record = ClaimRecord(
            # The time tells incarnations apart that draw the same number.
            f'{self._table.name()}.{wall_s}',
            self._instance_id,
            hash_request(call),
            wall_s + self._settings.run_limit_s,
            wall_s + self._settings.retention_s,
        )
        key = claim_key(organisation, call.idempotency_key)
        patience_until_s = now_s + self._settings.patience_s
        claim = Claim(request_id, key, record, patience_until_s)
        self._table.add(claim)
        self._sweep.saw(organisation, now_s)
        return [self._table.write(claim, now_s)]

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

    def _close(
        self,
        request_id: RequestId,
        change: Callable[[ClaimRecord], ClaimRecord],
        now_s: float,
    ) -> list[Output]:
        claim = self._table.find(request_id)
        if claim is None or claim.step is not Step.HELD:
            return []
        claim.record = change(claim.record)
        claim.step = Step.CLOSING
        log = WriteLog('once.closed', request_id, claim.record.state.value)
        return [log, self._table.write(claim, now_s)]

    # What the store said.

    def _answered(self, event: StoreAnswered, now_s: float) -> list[Output]:
        claim = self._table.answered(event.operation_id)
        if claim is not None:
            return self._take(claim, event.result, now_s)
        wall_s = self._wall_s(now_s)
        return self._sweep.answered(event.operation_id, event.result, wall_s)

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
            self._table.forget(claim)
            return []
        return self._own(claim, now_s)

    def _present(
        self, claim: Claim, present: StoreItem, now_s: float
    ) -> list[Output]:
        if present.value is None:
            claim.expected_revision = 0
            return [self._take_free_place(claim, now_s)]
        try:
            record = record_from_json(present.value, ClaimRecord)
        except CodecError:
            return self._unreadable(claim)
        if record.claim_id == claim.record.claim_id:
            return self._found_own(claim, record, present.revision, now_s)
        if claim.step is Step.CLOSING:
            self._table.forget(claim)
            return [CountMetric('once.superseded_claims')]
        if self._is_free(record, now_s):
            claim.expected_revision = present.revision
            return [self._take_free_place(claim, now_s)]
        return self._taken(claim, record, now_s)

    def _found_own(
        self, claim: Claim, record: ClaimRecord, revision: int, now_s: float
    ) -> list[Output]:
        claim.expected_revision = revision
        if record.state is not ClaimState.RUNNING:
            # An earlier write of the end took effect and its answer was
            # lost. It is final: nothing is written over it.
            self._table.forget(claim)
            return []
        if claim.step is Step.CLOSING:
            return [self._table.write(claim, now_s)]
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
        self._table.forget(claim)
        if claim.refused:
            return []
        told = record.told(
            claim.request_id,
            claim.record.request_hash,
            self._wall_s(now_s),
            self._settings.repeat_after_s,
        )
        return [told]

    def _unreadable(self, claim: Claim) -> list[Output]:
        # A record of a newer version, or a damaged one. Writing over it
        # could let a call run again, so it stands.
        outputs: list[Output] = [CountMetric('once.unreadable_records')]
        if not claim.refused and claim.step is not Step.CLOSING:
            outputs.append(ClaimRefused(claim.request_id, in_doubt()))
        self._table.forget(claim)
        return outputs

    def _is_free(self, record: ClaimRecord, now_s: float) -> bool:
        if record.state is ClaimState.OPEN:
            return True
        return record.is_expired(
            self._wall_s(now_s), self._settings.clock_margin_s
        )

    # What the store did not say.

    def _failed(
        self, claim: Claim, failed: StoreFailed, now_s: float
    ) -> list[Output]:
        if claim.step is Step.CREATING and failed.may_have_happened:
            # The write may have taken effect and only its answer be lost.
            # Taken for a failure it would leave a claim that nobody runs,
            # and a repeat would be told of a run that never was; taken for
            # a success it could run a call that another entry runs too.
            # The store alone knows, so it is read.
            claim.may_exist = True
            claim.step = Step.READING
        if claim.refused and not claim.may_exist:
            self._table.forget(claim)
            return []
        self._table.retry_later(claim, now_s)
        return []

    def _woken(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        if self._sweep.next_wakeup_s() is not None:
            outputs += self._sweep.due(self._table.name(), now_s)
        for claim in self._table.due(now_s):
            outputs += self._look_at(claim, now_s)
            self._table.watch(claim)
        return outputs

    def _look_at(self, claim: Claim, now_s: float) -> list[Output]:
        if claim.is_impatient and now_s >= claim.patience_until_s:
            return self._refuse(claim, now_s)
        if claim.operation_id is not None:
            self._table.give_up_waiting(claim)
            failed = StoreFailed('no answer in time', may_have_happened=True)
            return self._failed(claim, failed, now_s)
        match claim.step:
            case Step.READING:
                return [self._table.read(claim, now_s)]
            case Step.CREATING:
                return [self._take_free_place(claim, now_s)]
        return [self._table.write(claim, now_s)]

    def _take_free_place(self, claim: Claim, now_s: float) -> Output:
        if claim.refused:
            # The caller was told that nothing was sent, but a write of the
            # claim may still be on its way. An open record takes its place
            # and makes it fail when it arrives; else a repeat would be told
            # of a run that never was.
            claim.record = _opened(claim.record)
            claim.step = Step.CLOSING
        elif claim.step is Step.READING:
            claim.step = Step.CREATING
        return self._table.write(claim, now_s)

    def _refuse(self, claim: Claim, now_s: float) -> list[Output]:
        """Tell the caller that nothing was sent, and clear up behind it."""
        claim.refused = True
        refusal = store_down(self._settings.pause_limit_s)
        outputs: list[Output] = [ClaimRefused(claim.request_id, refusal)]
        if claim.step is Step.HELD:
            return [*outputs, *self.reopen(claim.request_id, now_s)]
        if claim.operation_id is None:
            if claim.may_exist:
                claim.retry_at_s = now_s
            else:
                self._table.forget(claim)
        return outputs

    def _wall_s(self, now_s: float) -> float:
        if self._started is None:
            return now_s
        wall_s, started_s = self._started
        return wall_s + now_s - started_s


def _opened(record: ClaimRecord) -> ClaimRecord:
    return attrs.evolve(record, state=ClaimState.OPEN)


def _doubted(record: ClaimRecord) -> ClaimRecord:
    return attrs.evolve(record, state=ClaimState.DOUBT)
