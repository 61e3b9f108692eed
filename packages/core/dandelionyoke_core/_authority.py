"""Who acts for a failure domain: one duty under a lease of the store.

The store lets one entry at a time hold the duty's key. The holder counts
its term on its own clock from before the request for the lease was sent,
so that it stops believing before the store gives the duty to another one.
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
from dandelionyoke_core._authority_settings import AuthoritySettings
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._events import Event, StoreAnswered, Woken
from dandelionyoke_core._names import InstanceId, LeaseId
from dandelionyoke_core._notices import (
    DutyExtended,
    DutyGained,
    DutyLost,
    Leaving,
    PeersKnown,
)
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    Instance,
    LeaseGranted,
    LeaseLapsed,
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
    """The value of a duty's key: who holds it under which lease."""

    instance_id: InstanceId
    lease_id: LeaseId


@enum.unique
class Step(enum.Enum):
    """How far this entry is with the duty."""

    RESTING = 'resting'
    LOOKING = 'looking'
    GRANTING = 'granting'
    WRITING = 'writing'
    SETTLING = 'settling'
    HOLDING = 'holding'
    REGAINING = 'regaining'
    HANDING_OVER = 'handing over'
    LEFT = 'left'


class AuthorityPart:
    """Gets, keeps and gives up one duty of this entry's domain."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        PeersKnown,
        StoreAnswered,
        Woken,
        Leaving,
    )

    def __init__(
        self,
        settings: AuthoritySettings,
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
        self._step = Step.RESTING
        self._is_candidate = False
        self._lease_id: LeaseId | None = None
        self._until_s = 0.0
        self._fence = 0
        self._next_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and say what follows from it."""
        if self._step is Step.LEFT:
            return []
        match event:
            case StoreAnswered():
                ended = self._slot.answered(event)
                if ended is not None:
                    return self._ended(ended, now_s)
            case PeersKnown():
                self._choose(event, now_s)
            case Leaving():
                return self._leave(now_s)
        return self._look_at_clock(now_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when the next call is due, or the end of the term."""
        times = [self._next_s, self._slot.next_wakeup_s()]
        if self._step is Step.HOLDING:
            times.append(self._until_s)
        return min((due for due in times if due is not None), default=None)

    # When to try.

    def _choose(self, event: PeersKnown, now_s: float) -> None:
        # If all entries tried, the calls to the store would grow with the
        # fleet. One that cannot reach the store is a candidate in vain, so
        # there are several.
        chosen = rendezvous(
            event.live_in_domain, self._key, self._settings.candidates
        )
        self._is_candidate = self._own.instance_id in chosen
        if self._is_candidate and self._step is Step.RESTING:
            if self._next_s is None:
                look_s = self._settings.look_interval_s
                self._next_s = now_s + look_s * self._random.random()

    def _look_at_clock(self, now_s: float) -> list[Output]:
        if self._step is Step.HOLDING and now_s >= self._until_s:
            return self._suspend(now_s)
        overdue = self._slot.overdue(now_s)
        if overdue is not None:
            return self._ended(overdue, now_s)
        if self._next_s is None or now_s < self._next_s:
            return []
        if not self._slot.is_free:
            return []
        self._next_s = None
        return self._act(now_s)

    def _act(self, now_s: float) -> list[Output]:
        lease_id = self._lease_id
        if self._step is Step.HANDING_OVER:
            self._step = Step.LEFT
            return self._release()
        is_own = self._step in {Step.HOLDING, Step.REGAINING}
        if is_own and lease_id is not None:
            return [LeaseRenew(self._slot.open(now_s), lease_id)]
        if self._step is Step.SETTLING:
            return [StoreGet(self._slot.open(now_s), self._key)]
        if self._step is Step.WRITING:
            return self._write(now_s)
        if not self._is_candidate:
            return []
        self._step = Step.LOOKING
        return [StoreGet(self._slot.open(now_s), self._key)]

    # What the store said.

    def _ended(self, ended: EndedCall, now_s: float) -> list[Output]:
        if isinstance(ended.result, StoreFailed):
            return self._failed(ended.result, now_s)
        self._back_off.reset()
        match ended.result:
            case LeaseGranted():
                return self._granted(ended.result, ended.sent_s, now_s)
            case LeaseLapsed():
                return self._lose('the lease lapsed', now_s)
            case StoreWritten(revision=revision):
                return self._gain(revision, now_s)
            case StoreConflict(present=present):
                return self._present(present, now_s)
            case StoreItem():
                return self._present(ended.result, now_s)
        return []

    def _failed(self, failed: StoreFailed, now_s: float) -> list[Output]:
        if self._step is Step.HOLDING:
            if now_s >= self._until_s:
                return self._suspend(now_s)
            pause_s = self._settings.renew_retry_s
            self._next_s = now_s + pause_s * self._random.uniform(0.5, 1)
            return []
        self._next_s = now_s + self._back_off.next_s()
        if self._step is Step.WRITING and failed.may_have_happened:
            # The key may be this entry's although no answer says so. Tried
            # blindly again it would conflict with itself; taken for lost,
            # the domain would have no holder while the lease lasts. The
            # store alone knows, so it is read.
            self._step = Step.SETTLING
        elif self._step in {Step.LOOKING, Step.GRANTING}:
            self._step = Step.RESTING
        elif now_s >= self._until_s and self._step is not Step.REGAINING:
            return self._rest(now_s)
        return []

    def _granted(
        self, granted: LeaseGranted, sent_s: float, now_s: float
    ) -> list[Output]:
        self._until_s = self._settings.term_end_s(sent_s, granted.ttl_s)
        if self._step is Step.REGAINING:
            self._step = Step.SETTLING
            return [StoreGet(self._slot.open(now_s), self._key)]
        if self._step is not Step.HOLDING:
            self._lease_id = granted.lease_id
            self._step = Step.WRITING
            return self._write(now_s)
        if now_s >= self._until_s:
            return self._lose('the term ended', now_s)
        self._plan_renewal(now_s)
        return [DutyExtended(self._duty, self._fence, self._until_s)]

    def _write(self, now_s: float) -> list[Output]:
        lease_id = self._lease_id
        if lease_id is None or now_s >= self._until_s:
            return self._rest(now_s)
        record = DutyRecord(self._own.instance_id, lease_id)
        return [
            StorePut(
                self._slot.open(now_s),
                self._key,
                record_to_json(record),
                expected_revision=0,
                lease_id=lease_id,
            )
        ]

    def _present(self, present: StoreItem, now_s: float) -> list[Output]:
        if self._step is Step.LOOKING and present.value is None:
            self._step = Step.GRANTING
            return [LeaseGrant(self._slot.open(now_s), self._settings.ttl_s)]
        if self._step is Step.SETTLING and present.value is None:
            self._step = Step.WRITING
            return self._write(now_s)
        if self._is_own(present):
            return self._gain(present.revision, now_s)
        return self._rest(now_s)

    def _is_own(self, present: StoreItem) -> bool:
        if present.value is None or self._lease_id is None:
            return False
        try:
            record = record_from_json(present.value, DutyRecord)
        except CodecError:
            return False
        return record == DutyRecord(self._own.instance_id, self._lease_id)

    # What follows for the duty.

    def _gain(self, revision: int, now_s: float) -> list[Output]:
        if now_s >= self._until_s:
            return self._rest(now_s)
        self._step = Step.HOLDING
        self._fence = revision
        self._plan_renewal(now_s)
        return [
            WriteLog('duty.gained', self._duty, f'fence {revision}'),
            DutyGained(self._duty, revision, self._until_s),
        ]

    def _suspend(self, now_s: float) -> list[Output]:
        """Stop acting, but keep the lease for the store's return.

        While the store is away its leases may stand still: nobody else can
        get the duty until this one has run out after the return. Asked for
        first, it is the old holder's again at once.
        """
        self._slot.drop()
        self._step = Step.REGAINING
        self._next_s = now_s + self._back_off.next_s()
        return self._told('the term ended')

    def _told(self, cause: str) -> list[Output]:
        detail = f'fence {self._fence}'
        return [
            DutyLost(self._duty, self._fence),
            WriteLog('duty.lost', self._duty, detail, cause),
        ]

    def _lose(self, cause: str, now_s: float) -> list[Output]:
        was_holding = self._step in {Step.HOLDING, Step.REGAINING}
        outputs: list[Output] = []
        if self._step is Step.HOLDING:
            outputs += self._told(cause)
        outputs += self._rest(now_s)
        if was_holding and self._next_s is not None:
            self._next_s += self._settings.return_pause_s
        return outputs

    def _rest(self, now_s: float) -> list[Output]:
        """Hold nothing; look again later."""
        self._slot.drop()
        self._step = Step.RESTING
        look_s = self._settings.look_interval_s
        self._next_s = now_s + look_s * self._random.uniform(0.5, 1.5)
        return self._release()

    def _release(self) -> list[Output]:
        lease_id = self._lease_id
        self._lease_id = None
        if lease_id is None:
            return []
        return [LeaseRelease(self._slot.unawaited(), lease_id)]

    def _leave(self, now_s: float) -> list[Output]:
        if self._step is Step.HANDING_OVER:
            return []
        was_holding = self._step is Step.HOLDING
        self._slot.drop()
        if not was_holding:
            self._step = Step.LEFT
            self._next_s = None
            return self._release()
        # An order of this process may still wait for its socket. If the
        # lease were released at once, the next holder could act before
        # that order leaves, and an engine would have two masters.
        self._step = Step.HANDING_OVER
        self._next_s = now_s + self._settings.handover_pause_s
        return [
            DutyLost(self._duty, self._fence),
            WriteLog('duty.lost', self._duty, cause='this entry is leaving'),
        ]

    def _plan_renewal(self, now_s: float) -> None:
        interval_s = self._settings.renew_interval_s
        self._next_s = now_s + interval_s * self._random.uniform(0.8, 1)
