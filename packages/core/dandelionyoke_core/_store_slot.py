"""Tracking of one pending store call at a time, with its timeout."""

from random import Random

import attrs

from dandelionyoke_core._events import StoreResponded
from dandelionyoke_core._names import OperationId
from dandelionyoke_core._records import StoreFailed, StoreResult


@attrs.frozen
class PendingCall:
    """Store call that was sent and has no answer yet."""

    operation_id: OperationId
    sent_s: float
    deadline_s: float


@attrs.frozen
class EndedCall:
    """Result of a store call, with the time at which it was sent."""

    sent_s: float
    result: StoreResult


class StoreSlot:
    """Creates operation ids for one part and tracks its pending call."""

    def __init__(self, name: str, timeout_s: float, random: Random) -> None:
        # Random, so that processes started one after the other with the same
        # instance id do not accept each other's answers.
        self._name = f'{name}.{random.getrandbits(64):016x}'
        self._timeout_s = timeout_s
        self._count = 0
        self._pending: PendingCall | None = None

    @property
    def is_free(self) -> bool:
        """Whether no call is pending."""
        return self._pending is None

    def next_wakeup_s(self) -> float | None:
        """Return when the pending call times out, or None."""
        return None if self._pending is None else self._pending.deadline_s

    def begin_call(self, now_s: float) -> OperationId:
        """Start a call and return its id; a call still pending is dropped."""
        operation_id = self.new_operation_id()
        deadline_s = now_s + self._timeout_s
        self._pending = PendingCall(operation_id, now_s, deadline_s)
        return operation_id

    def new_operation_id(self) -> OperationId:
        """Return an id for a call whose answer is ignored."""
        self._count += 1
        return OperationId(f'{self._name}.{self._count}')

    def drop(self) -> None:
        """Drop the pending call; its answer will be ignored."""
        self._pending = None

    def take_result(self, event: StoreResponded) -> EndedCall | None:
        """Return the result of the pending call; None for any other answer."""
        pending = self._pending
        if pending is None or event.operation_id != pending.operation_id:
            return None
        self._pending = None
        return EndedCall(pending.sent_s, event.result)

    def take_timeout(self, now_s: float) -> EndedCall | None:
        """Return a failure if the pending call has timed out, else None."""
        pending = self._pending
        if pending is None or now_s < pending.deadline_s:
            return None
        self._pending = None
        failed = StoreFailed('no answer in time', may_have_been_applied=True)
        return EndedCall(pending.sent_s, failed)
