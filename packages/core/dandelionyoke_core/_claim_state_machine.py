"""The steps of the owner of a claim, on any store result or timeout.

Every write is a compare-and-swap on the revision that the decision was based
on; a claim is never written in any other way.
"""

from collections.abc import Callable

import attrs

from dandelionyoke_core._actions import CountMetric, WriteLog
from dandelionyoke_core._claim_table import Claim, ClaimStep, ClaimTable
from dandelionyoke_core._claims import (
    ClaimRecord,
    ClaimState,
    IdempotencySettings,
    in_doubt_refusal,
    store_down_refusal,
)
from dandelionyoke_core._codec import record_from_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._notices import ClaimGranted, ClaimRefused
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_core._wall_clock import WallClock


class ClaimStateMachine:
    """Drives each claim from its first write to its recorded end."""

    def __init__(
        self, settings: IdempotencySettings, table: ClaimTable, clock: WallClock
    ) -> None:
        self._settings = settings
        self._table = table
        self._clock = clock

    def close(
        self,
        request_id: RequestId,
        change: Callable[[ClaimRecord], ClaimRecord],
        now_s: float,
    ) -> list[Output]:
        """Write the end of a held claim; do nothing if it is not held."""
        claim = self._table.find(request_id)
        if claim is None or claim.step is not ClaimStep.HELD:
            return []
        claim.record = change(claim.record)
        claim.step = ClaimStep.CLOSING
        log = WriteLog('once.closed', request_id, claim.record.state.value)
        return [log, self._table.write(claim, now_s)]

    # Store results.

    def handle_store_result(
        self, claim: Claim, result: StoreResult, now_s: float
    ) -> list[Output]:
        """Handle the result of the pending store operation of a claim."""
        match result:
            case StoreFailed():
                return self._handle_failure(claim, result, now_s)
            case StoreWritten():
                return self._handle_written(claim, result.revision, now_s)
            case StoreConflict():
                return self._handle_present(claim, result.present, now_s)
            case StoreItem():
                return self._handle_present(claim, result, now_s)
        return []

    def _handle_written(
        self, claim: Claim, revision: int, now_s: float
    ) -> list[Output]:
        claim.expected_revision = revision
        if claim.step is ClaimStep.CLOSING:
            self._table.remove(claim)
            return []
        return self._hold(claim, now_s)

    def _handle_present(
        self, claim: Claim, present: StoreItem, now_s: float
    ) -> list[Output]:
        if present.value is None:
            claim.expected_revision = 0
            return [self._write_claim(claim, now_s)]
        try:
            record = record_from_json(present.value, ClaimRecord)
        except CodecError:
            return self._handle_unreadable(claim)
        if record.claim_id == claim.record.claim_id:
            return self._handle_own_record(
                claim, record, present.revision, now_s
            )
        if claim.step is ClaimStep.CLOSING:
            self._table.remove(claim)
            return [CountMetric('once.superseded_claims')]
        if self._is_replaceable(record, now_s):
            claim.expected_revision = present.revision
            return [self._write_claim(claim, now_s)]
        return self._handle_foreign_record(claim, record, now_s)

    def _handle_own_record(
        self, claim: Claim, record: ClaimRecord, revision: int, now_s: float
    ) -> list[Output]:
        claim.expected_revision = revision
        if record.state is not ClaimState.RUNNING:
            # An earlier write of the end succeeded but its answer was lost.
            # The stored end is final and is not overwritten.
            self._table.remove(claim)
            return []
        if claim.step is ClaimStep.CLOSING:
            return [self._table.write(claim, now_s)]
        return self._hold(claim, now_s)

    def _hold(self, claim: Claim, now_s: float) -> list[Output]:
        claim.step = ClaimStep.HELD
        claim.failures = 0
        if claim.is_refused:
            return self.close(claim.request_id, release_claim, now_s)
        if self._clock.wall_s(now_s) >= claim.record.run_until_wall_s:
            # This process was paused until the run limit passed. Other
            # entries already report the outcome of this claim as unknown.
            return self._refuse_caller(claim, now_s)
        return [ClaimGranted(claim.request_id)]

    def _handle_foreign_record(
        self, claim: Claim, record: ClaimRecord, now_s: float
    ) -> list[Output]:
        if self._should_wait_for_end(claim, record, now_s):
            claim.step = ClaimStep.READING
            self._table.retry_later(claim, now_s)
            return []
        self._table.remove(claim)
        if claim.is_refused:
            return []
        response = record.response_to_repeat(
            claim.request_id,
            claim.record.request_hash,
            self._clock.wall_s(now_s),
            self._settings.repeat_retry_after_s,
        )
        return [response]

    def _should_wait_for_end(
        self, claim: Claim, record: ClaimRecord, now_s: float
    ) -> bool:
        # The first caller gets its answer before the end is stored. A repeat
        # that arrives in between would be refused although the answer is
        # available a few milliseconds later.
        if claim.is_refused or now_s >= claim.repeat_deadline_s:
            return False
        if record.request_hash != claim.record.request_hash:
            return False
        return record.is_running(self._clock.wall_s(now_s))

    def _handle_unreadable(self, claim: Claim) -> list[Output]:
        # The record is of a newer version, or damaged. Overwriting it could
        # let a call run again, so it is kept.
        outputs: list[Output] = [CountMetric('once.unreadable_records')]
        if not claim.is_refused and claim.step is not ClaimStep.CLOSING:
            outputs.append(ClaimRefused(claim.request_id, in_doubt_refusal()))
        self._table.remove(claim)
        return outputs

    def _is_replaceable(self, record: ClaimRecord, now_s: float) -> bool:
        if record.state is ClaimState.OPEN:
            return True
        return record.is_expired(
            self._clock.wall_s(now_s), self._settings.clock_margin_s
        )

    # Failures and timeouts.

    def _handle_failure(
        self, claim: Claim, failed: StoreFailed, now_s: float
    ) -> list[Output]:
        if claim.step is ClaimStep.CREATING and failed.may_have_been_applied:
            # The write may have succeeded with only its answer lost. Treated
            # as a failure, it would leave a claim whose call nobody runs, and
            # a repeat would be told of a run that never happened. Treated as
            # a success, the call could run here and on another entry too. So
            # the record is read back from the store.
            claim.may_exist = True
            claim.step = ClaimStep.READING
        if claim.is_refused and not claim.may_exist:
            self._table.remove(claim)
            return []
        self._table.retry_later(claim, now_s)
        return []

    def handle_timeout(self, claim: Claim, now_s: float) -> list[Output]:
        """Retry the current step, or refuse the call after its deadline."""
        if claim.is_caller_waiting and now_s >= claim.claim_deadline_s:
            return self._refuse_caller(claim, now_s)
        if claim.operation_id is not None:
            self._table.abandon_operation(claim)
            failed = StoreFailed(
                'no answer in time', may_have_been_applied=True
            )
            return self._handle_failure(claim, failed, now_s)
        match claim.step:
            case ClaimStep.READING:
                return [self._table.read(claim, now_s)]
            case ClaimStep.CREATING:
                return [self._write_claim(claim, now_s)]
        return [self._table.write(claim, now_s)]

    def _write_claim(self, claim: Claim, now_s: float) -> Output:
        if claim.is_refused:
            # The caller was told that nothing was sent, but a write of the
            # claim may still be in flight. An open record written first makes
            # that write fail when it arrives; otherwise a repeat would be
            # told of a run that never happened.
            claim.record = release_claim(claim.record)
            claim.step = ClaimStep.CLOSING
        elif claim.step is ClaimStep.READING:
            claim.step = ClaimStep.CREATING
        return self._table.write(claim, now_s)

    def _refuse_caller(self, claim: Claim, now_s: float) -> list[Output]:
        """Tell the caller that nothing was sent, and release the claim."""
        claim.is_refused = True
        refusal = store_down_refusal(self._settings.retry_max_s)
        outputs: list[Output] = [ClaimRefused(claim.request_id, refusal)]
        if claim.step is ClaimStep.HELD:
            return [
                *outputs,
                *self.close(claim.request_id, release_claim, now_s),
            ]
        if claim.operation_id is None:
            if claim.may_exist:
                claim.retry_at_s = now_s
            else:
                self._table.remove(claim)
        return outputs


def release_claim(record: ClaimRecord) -> ClaimRecord:
    """Return the record as open: the call did not run."""
    return attrs.evolve(record, state=ClaimState.OPEN)


def mark_in_doubt(record: ClaimRecord) -> ClaimRecord:
    """Return the record as in doubt: the outcome is unknown for good."""
    return attrs.evolve(record, state=ClaimState.DOUBT)
