"""The two kinds of calls, and when each call has to be looked at."""

from dandelionyoke_core._call import Call
from dandelionyoke_core._call_desk import CallDesk
from dandelionyoke_core._call_refusals import too_late
from dandelionyoke_core._events import ModelCalled
from dandelionyoke_core._model_calls import ModelCalls
from dandelionyoke_core._names import RequestId
from dandelionyoke_core._ports import Output
from dandelionyoke_core._service_calls import ServiceCalls
from dandelionyoke_core._timers import Timers


class Flows:
    """Model calls and service calls, with one set of timers."""

    def __init__(self, desk: CallDesk) -> None:
        self._desk = desk
        self._timers: Timers[RequestId] = Timers()
        self.models = ModelCalls(desk)
        self.services = ServiceCalls(desk)

    def of(self, call: Call) -> ModelCalls | ServiceCalls:
        """Tell which kind a call is of."""
        if isinstance(call.event, ModelCalled):
            return self.models
        return self.services

    def watch(self, request_id: RequestId) -> None:
        """Have a call looked at when it is due."""
        due_s = self._due_s(request_id)
        if due_s is not None:
            self._timers.put(request_id, due_s)

    def next_wakeup_s(self) -> float | None:
        """Tell when the next call is due, which may prove to be early."""
        return self._timers.next_s()

    def woken(self, now_s: float) -> list[Output]:
        """Look at the calls that are due."""
        outputs: list[Output] = []
        for request_id in tuple(self._timers.due(now_s, self._due_s)):
            call = self._desk.calls.get(request_id)
            if call is not None:
                outputs += self._look_at(call, now_s)
                self.watch(request_id)
        return outputs

    def _look_at(self, call: Call, now_s: float) -> list[Output]:
        if now_s >= call.deadline_s and not call.caller_gone:
            return self.of(call).give_up(call, too_late(), now_s)
        return self.of(call).woken(call, now_s)

    def _due_s(self, request_id: RequestId) -> float | None:
        call = self._desk.calls.get(request_id)
        return None if call is None else self.of(call).due_s(call)
