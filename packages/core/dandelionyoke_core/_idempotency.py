"""At-most-once execution of calls that are not idempotent.

A claim is written to the platform's store before the call is sent. Every
write of a claim is a compare-and-swap on the revision that the decision was
based on, so that only one of two entries with the same key can win.
"""

from random import Random
from typing import ClassVar

from dandelionyoke_core._claim_state_machine import (
    ClaimStateMachine,
    mark_in_doubt,
    release_claim,
)
from dandelionyoke_core._claim_sweep import ClaimSweep
from dandelionyoke_core._claim_table import Claim, ClaimTable
from dandelionyoke_core._claims import (
    ClaimRecord,
    IdempotencySettings,
    claim_key,
    hash_request,
    store_down_refusal,
    too_many_claims_refusal,
)
from dandelionyoke_core._events import (
    Event,
    ServiceCallRequested,
    Started,
    StoreResponded,
    TimerFired,
)
from dandelionyoke_core._names import InstanceId, OrganisationId, RequestId
from dandelionyoke_core._notices import ClaimRefused
from dandelionyoke_core._ports import Output
from dandelionyoke_core._wall_clock import WallClock


class IdempotencyPart:
    """Claims calls in the store and records their ends."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        StoreResponded,
        TimerFired,
    )

    def __init__(
        self,
        settings: IdempotencySettings,
        instance_id: InstanceId,
        random: Random,
    ) -> None:
        self._settings = settings
        self._instance_id = instance_id
        # An instance that is replaced under the same name must not mistake
        # the claims of its predecessor for its own and send their calls again.
        incarnation = f'{instance_id}.{random.getrandbits(64):016x}'
        self._table = ClaimTable(settings, incarnation, random)
        self._sweep = ClaimSweep(settings, random)
        self._clock = WallClock()
        self._state_machine = ClaimStateMachine(
            settings, self._table, self._clock
        )

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case Started():
                self._clock.start(event.wall_s, now_s)
            case StoreResponded():
                return self._handle_store_answer(event, now_s)
            case TimerFired():
                return self._handle_wakeup(now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return when a claim or the sweep is due, or None."""
        wakeups = (self._table.next_wakeup_s(), self._sweep.next_wakeup_s())
        return min((due for due in wakeups if due is not None), default=None)

    @property
    def in_progress(self) -> int:
        """The number of claims whose end is not in the store yet."""
        return len(self._table)

    # Claimer protocol.

    def claim(
        self,
        call: ServiceCallRequested,
        organisation: OrganisationId,
        now_s: float,
    ) -> list[Output]:
        """Start a claim: ClaimGranted, ClaimAnswered or ClaimRefused follows."""
        request_id = call.request_id
        retry_after_s = self._settings.retry_max_s
        if not self._clock.is_set or not call.idempotency_key:
            return [ClaimRefused(request_id, store_down_refusal(retry_after_s))]
        is_full = len(self._table) >= self._settings.max_claims
        if is_full or self._table.find(request_id) is not None:
            return [
                ClaimRefused(request_id, too_many_claims_refusal(retry_after_s))
            ]
        wall_s = self._clock.wall_s(now_s)
        record = ClaimRecord(
            # The time distinguishes incarnations with the same random number.
            f'{self._table.next_name()}.{wall_s}',
            self._instance_id,
            hash_request(call),
            wall_s + self._settings.max_run_s,
            wall_s + self._settings.retention_s,
        )
        key = claim_key(organisation, call.idempotency_key)
        claim_deadline_s = now_s + self._settings.claim_timeout_s
        repeat_deadline_s = now_s + self._settings.repeat_wait_s
        claim = Claim(
            request_id, key, record, claim_deadline_s, repeat_deadline_s
        )
        self._table.add(claim)
        self._sweep.add_organisation(organisation, now_s)
        return [self._table.write(claim, now_s)]

    def record_result(
        self,
        request_id: RequestId,
        status: int,
        content_type: str,
        body: bytes,
        now_s: float,
    ) -> list[Output]:
        """Record the end of a claimed call."""
        max_bytes = self._settings.max_kept_answer_bytes
        return self._state_machine.close(
            request_id,
            lambda record: record.with_end(
                status, content_type, body, max_bytes
            ),
            now_s,
        )

    def release(self, request_id: RequestId, now_s: float) -> list[Output]:
        """Release a claim because the call certainly did not run."""
        return self._state_machine.close(request_id, release_claim, now_s)

    def mark_outcome_unknown(
        self, request_id: RequestId, now_s: float
    ) -> list[Output]:
        """Mark a claim as in doubt for good: its outcome is unknown."""
        return self._state_machine.close(request_id, mark_in_doubt, now_s)

    def _handle_store_answer(
        self, event: StoreResponded, now_s: float
    ) -> list[Output]:
        claim = self._table.match_answer(event.operation_id)
        if claim is not None:
            return self._state_machine.handle_store_result(
                claim, event.result, now_s
            )
        wall_s = self._clock.wall_s(now_s)
        return self._sweep.delete_expired(
            event.operation_id, event.result, wall_s
        )

    def _handle_wakeup(self, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        if self._sweep.next_wakeup_s() is not None:
            outputs += self._sweep.list_next_bucket(
                self._table.next_name(), now_s
            )
        for claim in self._table.due(now_s):
            outputs += self._state_machine.handle_timeout(claim, now_s)
            self._table.schedule(claim)
        return outputs
