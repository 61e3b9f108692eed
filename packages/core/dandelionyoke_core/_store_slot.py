"""One store call at a time: which one is awaited, since when, until when."""

from random import Random

import attrs

from dandelionyoke_core._events import StoreAnswered
from dandelionyoke_core._names import OperationId
from dandelionyoke_core._records import StoreFailed, StoreResult


@attrs.frozen
class AwaitedCall:
    """A store call that was sent and has no answer yet."""

    operation_id: OperationId
    sent_s: float
    until_s: float


@attrs.frozen
class EndedCall:
    """A store call's end, with the time at which it was sent."""

    sent_s: float
    result: StoreResult


class StoreSlot:
    """Names the calls of one part and waits for one answer at a time."""

    def __init__(self, name: str, timeout_s: float, random: Random) -> None:
        # Two starts under one instance id must not take each other's
        # answers for their own.
        self._name = f'{name}.{random.getrandbits(64):016x}'
        self._timeout_s = timeout_s
        self._count = 0
        self._awaited: AwaitedCall | None = None

    @property
    def is_free(self) -> bool:
        """Whether no call is under way."""
        return self._awaited is None

    def next_wakeup_s(self) -> float | None:
        """Tell when the call under way is given up, or None."""
        return None if self._awaited is None else self._awaited.until_s

    def open(self, now_s: float) -> OperationId:
        """Name the next call; any other one is not awaited any more."""
        operation_id = self.unawaited()
        until_s = now_s + self._timeout_s
        self._awaited = AwaitedCall(operation_id, now_s, until_s)
        return operation_id

    def unawaited(self) -> OperationId:
        """Name a call whose answer nobody waits for."""
        self._count += 1
        return OperationId(f'{self._name}.{self._count}')

    def drop(self) -> None:
        """Wait for no answer any more."""
        self._awaited = None

    def answered(self, event: StoreAnswered) -> EndedCall | None:
        """Take an answer; None when it is not the awaited one."""
        awaited = self._awaited
        if awaited is None or event.operation_id != awaited.operation_id:
            return None
        self._awaited = None
        return EndedCall(awaited.sent_s, event.result)

    def overdue(self, now_s: float) -> EndedCall | None:
        """Give up on a call that has had no answer for too long."""
        awaited = self._awaited
        if awaited is None or now_s < awaited.until_s:
            return None
        self._awaited = None
        failed = StoreFailed('no answer in time', may_have_happened=True)
        return EndedCall(awaited.sent_s, failed)
