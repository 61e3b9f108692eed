"""What a claim's owner does next, whatever the store says or does not say.

Every write is a compare-and-set of the revision that the decision was taken
on; no other write of a claim exists.
"""

from collections.abc import Callable

import attrs

from dandelionyoke_core._actions import CountMetric, WriteLog
from dandelionyoke_core._claim_table import Claim, ClaimTable, Step
from dandelionyoke_core._claims import (
    ClaimRecord,
    ClaimState,
    OnceSettings,
    in_doubt,
    store_down,
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


class ClaimKeeper:
    """Takes claims through the store to their ends."""

    def __init__(
        self, settings: OnceSettings, table: ClaimTable, clock: WallClock
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
        """Write the end of a claim that is held."""
        claim = self._table.find(request_id)
        if claim is None or claim.step is not Step.HELD:
            return []
        claim.record = change(claim.record)
        claim.step = Step.CLOSING
        log = WriteLog('once.closed', request_id, claim.record.state.value)
        return [log, self._table.write(claim, now_s)]

    # What the store said.

    def take(
        self, claim: Claim, result: StoreResult, now_s: float
    ) -> list[Output]:
        """Take what the store said of a claim."""
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
            return self.close(claim.request_id, opened, now_s)
        if self._clock.wall_s(now_s) >= claim.record.run_until_wall_s:
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
            self._clock.wall_s(now_s),
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
            self._clock.wall_s(now_s), self._settings.clock_margin_s
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

    def look_at(self, claim: Claim, now_s: float) -> list[Output]:
        """Ask again, or give the store up."""
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
            claim.record = opened(claim.record)
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
            return [*outputs, *self.close(claim.request_id, opened, now_s)]
        if claim.operation_id is None:
            if claim.may_exist:
                claim.retry_at_s = now_s
            else:
                self._table.forget(claim)
        return outputs


def opened(record: ClaimRecord) -> ClaimRecord:
    """Give a claim back."""
    return attrs.evolve(record, state=ClaimState.OPEN)


def doubted(record: ClaimRecord) -> ClaimRecord:
    """Leave a claim in doubt."""
    return attrs.evolve(record, state=ClaimState.DOUBT)
