"""A sequence of store calls, written as one generator.

The generator yields a store call and receives its result. The driver (a part
of a node, or the operator's command) performs the calls. At most one call is
pending at any time.
"""

from collections.abc import Generator
from typing import Generic, TypeVar

from dandelionyoke_core._actions import (
    Action,
    StoreDelete,
    StoreGet,
    StorePut,
    StoreWatch,
)
from dandelionyoke_core._events import StoreResponded
from dandelionyoke_core._names import OperationId
from dandelionyoke_core._records import StoreResult

Outcome = TypeVar('Outcome')

StoreCall = StoreGet | StorePut | StoreDelete | StoreWatch
StoreGenerator = Generator[StoreCall, StoreResult, Outcome]


class StoreTask(Generic[Outcome]):
    """Runs one generator of store calls to its outcome."""

    def __init__(self, generator: StoreGenerator[Outcome]) -> None:
        self._generator = generator
        self._pending_operation_id: OperationId | None = None
        self.outcome: Outcome | None = None

    def begin(self) -> list[Action]:
        """Start the generator and return its first call."""
        return self._resume(None)

    def handle(self, event: StoreResponded, now_s: float) -> list[Action]:
        """Pass on the result of a call and return the next call, if any.

        An answer to any call but the pending one is ignored.
        """
        if event.operation_id != self._pending_operation_id:
            return []
        return self._resume(event.result)

    @property
    def pending_operation_id(self) -> OperationId | None:
        """The id of the pending call, or None."""
        return self._pending_operation_id

    def _resume(self, answer: StoreResult | None) -> list[Action]:
        self._pending_operation_id = None
        try:
            call = (
                next(self._generator)
                if answer is None
                else (self._generator.send(answer))
            )
        except StopIteration as end:
            self.outcome = end.value
            return []
        self._pending_operation_id = call.operation_id
        return [call]
