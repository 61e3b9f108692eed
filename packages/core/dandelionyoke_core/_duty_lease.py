"""Leader election per failure domain: a duty held under a store lease.

The duty's key exists in the store for at most one entry at a time. The holder
counts its term on its own clock from before it sent the lease request, so
that it stops acting before the store can give the duty to another entry.
"""

import enum
from random import Random
from typing import ClassVar

import attrs

from dandelionyoke_core._actions import (
    LeaseGrant,
    LeaseRelease,
    LeaseRenew,
    StoreGet,
    StorePut,
    WriteLog,
)
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._duty_lease_settings import DutyLeaseSettings
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import Event, StoreResponded, TimerFired
from dandelionyoke_core._names import InstanceId, LeaseId
from dandelionyoke_core._notices import (
    DutyExtended,
    DutyGained,
    DutyLost,
    Leaving,
    LivePeersChanged,
    StoreReplaced,
)
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    Instance,
    LeaseExpired,
    LeaseGranted,
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreWritten,
)
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._store_slot import EndedCall, StoreSlot

DUTY_PREFIX = 'duty'
REPORT_DUTY = 'report'


@attrs.frozen
class DutyRecord:
    """Value of a duty's key: the holder and its lease."""

    instance_id: InstanceId
    lease_id: LeaseId


@enum.unique
class DutyState(enum.Enum):
    """State of this entry with regard to the duty."""

    IDLE = 'resting'
    CHECKING = 'looking'
    REQUESTING_LEASE = 'granting'
    WRITING_KEY = 'writing'
    VERIFYING = 'settling'
    HOLDING = 'holding'
    RECOVERING = 'regaining'
    HANDING_OVER = 'handing over'
    LEFT = 'left'


class DutyLeasePart:
    """Acquires, renews and releases one duty of this entry's domain."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        LivePeersChanged,
        StoreResponded,
        TimerFired,
        Leaving,
        StoreReplaced,
    )

    def __init__(
        self,
        settings: DutyLeaseSettings,
        duty: str,
        own: Instance,
        random: Random,
    ) -> None:
        self._settings = settings
        self._duty = duty
        self._own = own
        self._random = random
        self._key = f'{DUTY_PREFIX}/{own.domain}/{duty}'
        slot_name = f'duty.{duty}.{own.instance_id}'
        self._slot = StoreSlot(slot_name, settings.call_timeout_s, random)
        self._back_off = BackOff(settings.back_off, random)
        self._state = DutyState.IDLE
        self._is_candidate = False
        self._lease_id: LeaseId | None = None
        self._term_end_s = 0.0
        self._fence = 0
        self._next_call_s: float | None = None
        # Until then another holder's term may run that the store has lost.
        self._free_from_s = 0.0
        # Whether this entry held the duty when the store lost its last writes.
        self._takes_over = False
        # The revision of its own key that a copy of the store still has.
        self._own_revision = 0

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        if self._state is DutyState.LEFT:
            return []
        match event:
            case StoreResponded():
                ended = self._slot.take_result(event)
                if ended is not None:
                    return self._handle_result(ended, now_s)
            case LivePeersChanged():
                self._update_candidacy(event, now_s)
            case Leaving():
                return self._start_handover(now_s)
            case StoreReplaced():
                return self._handle_store_return(now_s)
        return self._check_timers(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next call, timeout or end of the term is due."""
        due_times = [self._next_call_s, self._slot.next_wakeup_s()]
        if self._state is DutyState.HOLDING:
            due_times.append(self._term_end_s)
        return min(
            (due_s for due_s in due_times if due_s is not None), default=None
        )

    # Candidates and timers.

    def _update_candidacy(self, event: LivePeersChanged, now_s: float) -> None:
        # Only some entries compete, or the calls to the store would grow with
        # the fleet. There are several, as one may be unable to reach the store.
        candidate_ids = rendezvous(
            event.live_in_domain, self._key, self._settings.candidates
        )
        self._is_candidate = self._own.instance_id in candidate_ids
        if self._is_candidate and self._state is DutyState.IDLE:
            if self._next_call_s is None:
                interval_s = self._settings.check_interval_s
                self._next_call_s = now_s + interval_s * self._random.random()

    def _check_timers(self, now_s: float) -> list[Output]:
        if self._state is DutyState.HOLDING and now_s >= self._term_end_s:
            return self._expire_term(now_s)
        overdue = self._slot.take_timeout(now_s)
        if overdue is not None:
            return self._handle_result(overdue, now_s)
        if self._next_call_s is None or now_s < self._next_call_s:
            return []
        if not self._slot.is_free:
            return []
        if self._state is DutyState.IDLE and now_s < self._free_from_s:
            self._next_call_s = self._free_from_s
            return []
        self._next_call_s = None
        return self._start_next_call(now_s)

    def _start_next_call(self, now_s: float) -> list[Output]:
        lease_id = self._lease_id
        if self._state is DutyState.HANDING_OVER:
            self._state = DutyState.LEFT
            return self._release_lease()
        has_lease = self._state in {DutyState.HOLDING, DutyState.RECOVERING}
        if has_lease and lease_id is not None:
            return [LeaseRenew(self._slot.begin_call(now_s), lease_id)]
        if self._state is DutyState.VERIFYING:
            return [StoreGet(self._slot.begin_call(now_s), self._key)]
        if self._state is DutyState.WRITING_KEY:
            return self._write_key(now_s)
        if not self._is_candidate:
            return []
        self._state = DutyState.CHECKING
        return [StoreGet(self._slot.begin_call(now_s), self._key)]

    # Results of store calls.

    def _handle_result(self, ended: EndedCall, now_s: float) -> list[Output]:
        if isinstance(ended.result, StoreFailed):
            return self._handle_failure(ended.result, now_s)
        self._back_off.reset()
        match ended.result:
            case LeaseGranted():
                return self._handle_lease(ended.result, ended.sent_s, now_s)
            case LeaseExpired():
                return self._lose_duty('the lease lapsed', now_s)
            case StoreWritten(revision=revision):
                return self._become_holder(revision, now_s)
            case StoreConflict(present=item):
                return self._handle_key(item, now_s)
            case StoreItem():
                return self._handle_key(ended.result, now_s)
        return []

    def _handle_failure(
        self, failed: StoreFailed, now_s: float
    ) -> list[Output]:
        if self._state is DutyState.HOLDING:
            if now_s >= self._term_end_s:
                return self._expire_term(now_s)
            delay_s = self._settings.renew_retry_s
            self._next_call_s = now_s + delay_s * self._random.uniform(0.5, 1)
            return []
        self._next_call_s = now_s + self._back_off.next_s()
        if (
            self._state is DutyState.WRITING_KEY
            and failed.may_have_been_applied
        ):
            # The write may have succeeded. A repeated write would conflict with
            # this entry's own key; if the write counted as failed, the domain
            # would have no holder until the lease expires. So the key is read.
            self._state = DutyState.VERIFYING
        elif self._state in {DutyState.CHECKING, DutyState.REQUESTING_LEASE}:
            self._state = DutyState.IDLE
        elif (
            now_s >= self._term_end_s
            and self._state is not DutyState.RECOVERING
        ):
            return self._become_idle(now_s)
        return []

    def _handle_lease(
        self, granted: LeaseGranted, sent_s: float, now_s: float
    ) -> list[Output]:
        self._term_end_s = self._settings.term_end_s(sent_s, granted.ttl_s)
        if self._state is DutyState.RECOVERING:
            self._state = DutyState.VERIFYING
            return [StoreGet(self._slot.begin_call(now_s), self._key)]
        if self._state is not DutyState.HOLDING:
            self._lease_id = granted.lease_id
            self._state = DutyState.WRITING_KEY
            return self._write_key(now_s)
        if now_s >= self._term_end_s:
            return self._lose_duty('the term ended', now_s)
        self._schedule_renewal(now_s)
        return [DutyExtended(self._duty, self._fence, self._term_end_s)]

    def _write_key(self, now_s: float) -> list[Output]:
        lease_id = self._lease_id
        if lease_id is None or now_s >= self._term_end_s:
            return self._become_idle(now_s)
        record = DutyRecord(self._own.instance_id, lease_id)
        return [
            StorePut(
                self._slot.begin_call(now_s),
                self._key,
                record_to_json(record),
                expected_revision=self._own_revision,
                lease_id=lease_id,
            )
        ]

    def _handle_key(self, item: StoreItem, now_s: float) -> list[Output]:
        is_free = item.value is None or self._may_take_over(item)
        if self._state is DutyState.CHECKING and is_free:
            self._own_revision = 0 if item.value is None else item.revision
            self._takes_over = False
            self._state = DutyState.REQUESTING_LEASE
            return [
                LeaseGrant(self._slot.begin_call(now_s), self._settings.ttl_s)
            ]
        if self._state is DutyState.VERIFYING and item.value is None:
            self._state = DutyState.WRITING_KEY
            return self._write_key(now_s)
        if self._is_own_record(item):
            return self._become_holder(item.revision, now_s)
        return self._become_idle(now_s)

    def _is_own_record(self, item: StoreItem) -> bool:
        if self._lease_id is None:
            return False
        own = DutyRecord(self._own.instance_id, self._lease_id)
        return _read_record(item) == own

    def _may_take_over(self, item: StoreItem) -> bool:
        """Whether the key is this entry's from before the store's return.

        Its lease is of the copy, and nobody renews it.
        """
        record = _read_record(item)
        return (
            self._takes_over
            and record is not None
            and record.instance_id == self._own.instance_id
        )

    # Changes of state.

    def _become_holder(self, revision: int, now_s: float) -> list[Output]:
        if now_s >= self._term_end_s:
            return self._become_idle(now_s)
        self._state = DutyState.HOLDING
        self._own_revision = 0
        self._fence = revision
        self._schedule_renewal(now_s)
        return [
            WriteLog('duty.gained', self._duty, f'fence {revision}'),
            DutyGained(self._duty, revision, self._term_end_s),
        ]

    def _expire_term(self, now_s: float) -> list[Output]:
        """Stop acting, but keep the lease for when the store is back.

        During an outage the store may not expire leases. Nobody else can then
        acquire the duty until this lease expires after the outage, whereas the
        old holder gets it back at once by renewing the lease.
        """
        self._slot.drop()
        self._state = DutyState.RECOVERING
        self._next_call_s = now_s + self._back_off.next_s()
        return self._loss_outputs('the term ended')

    def _loss_outputs(self, cause: str) -> list[Output]:
        detail = f'fence {self._fence}'
        return [
            DutyLost(self._duty, self._fence),
            WriteLog('duty.lost', self._duty, detail, cause),
        ]

    def _lose_duty(self, cause: str, now_s: float) -> list[Output]:
        was_holding = self._state in {DutyState.HOLDING, DutyState.RECOVERING}
        outputs: list[Output] = []
        if self._state is DutyState.HOLDING:
            outputs += self._loss_outputs(cause)
        outputs += self._become_idle(now_s)
        if was_holding and self._next_call_s is not None:
            self._next_call_s += self._settings.reacquire_delay_s
        return outputs

    def _handle_store_return(self, now_s: float) -> list[Output]:
        """Stop acting: the key and the lease may be lost, or another's.

        The last holder competes again when its orders have arrived, the
        others when its term has ended.
        """
        if self._state is DutyState.HANDING_OVER:
            return []
        outputs: list[Output] = []
        held = {DutyState.HOLDING, DutyState.RECOVERING}
        self._takes_over = self._state in held
        delay_s = self._settings.ttl_s
        if self._state is DutyState.HOLDING:
            outputs = self._loss_outputs('the store came back from a copy')
            delay_s = self._settings.handover_delay_s
        self._slot.drop()
        self._state = DutyState.IDLE
        self._lease_id = None
        self._free_from_s = now_s + delay_s
        self._next_call_s = self._free_from_s
        return outputs

    def _become_idle(self, now_s: float) -> list[Output]:
        """Release the lease and check the key again later."""
        self._slot.drop()
        self._state = DutyState.IDLE
        self._own_revision = 0
        interval_s = self._settings.check_interval_s
        self._next_call_s = now_s + interval_s * self._random.uniform(0.5, 1.5)
        return self._release_lease()

    def _release_lease(self) -> list[Output]:
        lease_id = self._lease_id
        self._lease_id = None
        if lease_id is None:
            return []
        return [LeaseRelease(self._slot.new_operation_id(), lease_id)]

    def _start_handover(self, now_s: float) -> list[Output]:
        if self._state is DutyState.HANDING_OVER:
            return []
        was_holding = self._state is DutyState.HOLDING
        self._slot.drop()
        if not was_holding:
            self._state = DutyState.LEFT
            self._next_call_s = None
            return self._release_lease()
        # An order of this process may still be waiting for its socket. If the
        # lease were released now, the next holder could act before that order
        # is sent, and an engine would receive orders from two holders.
        self._state = DutyState.HANDING_OVER
        self._next_call_s = now_s + self._settings.handover_delay_s
        return [
            DutyLost(self._duty, self._fence),
            WriteLog('duty.lost', self._duty, cause='this entry is leaving'),
        ]

    def _schedule_renewal(self, now_s: float) -> None:
        interval_s = self._settings.renew_interval_s
        self._next_call_s = now_s + interval_s * self._random.uniform(0.8, 1)


def _read_record(item: StoreItem) -> DutyRecord | None:
    """Read the record of a duty's key; None if there is no valid one."""
    if item.value is None:
        return None
    try:
        return record_from_json(item.value, DutyRecord)
    except CodecError:
        return None
