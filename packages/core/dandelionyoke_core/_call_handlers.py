"""Handlers of model calls and service calls, and their timers."""

from dandelionyoke_core._call import Call
from dandelionyoke_core._call_operations import CallOperations
from dandelionyoke_core._call_refusals import deadline_passed
from dandelionyoke_core._events import CompletionRequested
from dandelionyoke_core._model_calls import ModelCalls
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._ports import Output
from dandelionyoke_core._service_calls import ServiceCalls
from dandelionyoke_core._timers import Timers


class CallHandlers:
    """The handlers of both kinds of call, with a shared set of timers."""

    def __init__(self, operations: CallOperations) -> None:
        self._operations = operations
        self._timers: Timers[RequestId] = Timers()
        self.models = ModelCalls(operations)
        self.services = ServiceCalls(operations)

    def handler_for(self, call: Call) -> ModelCalls | ServiceCalls:
        """Return the handler for the kind of a call."""
        if isinstance(call.event, CompletionRequested):
            return self.models
        return self.services

    def schedule(self, request_id: RequestId) -> None:
        """Set the timer of a call."""
        due_s = self._due_s(request_id)
        if due_s is not None:
            self._timers.schedule(request_id, due_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next timer expires; its call may be due later."""
        return self._timers.next_s()

    def handle_due(self, now_s: float) -> list[Output]:
        """Handle the calls that are due."""
        outputs: list[Output] = []
        for request_id in tuple(self._timers.pop_due(now_s, self._due_s)):
            call = self._operations.calls.get(request_id)
            if call is not None:
                outputs += self._handle_due_call(call, now_s)
                self.schedule(request_id)
        return outputs

    def _handle_due_call(self, call: Call, now_s: float) -> list[Output]:
        if now_s >= call.deadline_s and not call.caller_disconnected:
            return self.handler_for(call).give_up(
                call, deadline_passed(), now_s
            )
        return self.handler_for(call).on_due(call, now_s)

    def _due_s(self, request_id: RequestId) -> float | None:
        call = self._operations.calls.get(request_id)
        return None if call is None else self.handler_for(call).due_s(call)
