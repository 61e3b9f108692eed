"""Actions for targets, performed on engine and plain service models."""

import json
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs

from dandelionyoke_core import (
    Action,
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    CacheEvent,
    CacheEventsReported,
    CallService,
    CancelAttempt,
    EngineOrderResponded,
    Event,
    LoadReport,
    LoadReported,
    OrderState,
    PollCacheEvents,
    PollLoad,
    ReadEngineOrder,
    RequestId,
    ResumeAttempt,
    SendEngineOrder,
    ServiceAnswered,
    StartAttempt,
    TargetUnreachable,
    TokensArrived,
)
from dandelionyoke_standins._attempt import GenerateRequest, Output
from dandelionyoke_standins._engine import EngineModel
from dandelionyoke_standins._engine_orders import EngineOrder
from dandelionyoke_standins._errors import MissingError, NotRunError
from dandelionyoke_standins._plain import PlainModel, PlainRun

HTTP_OK = 200
JSON_TYPE = 'application/json'
PLAIN_INCARNATION = 'plain'


@attrs.define
class _Stream:
    """A node's stream of an attempt's output, and the offset it has read to.

    `engine_attempt_id` differs from `attempt_id` when an attempt was resumed.
    """

    node_id: str
    request_id: RequestId
    attempt_id: AttemptId
    engine_attempt_id: str
    offset: int


@attrs.frozen
class Delivery:
    """An event to deliver to a node."""

    node_id: str
    event: Event


class VirtualEngine:
    """An engine model and the output streams that nodes read from it."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self._streams: dict[tuple[str, AttemptId], _Stream] = {}

    @property
    def is_down(self) -> bool:
        """Whether the engine has crashed."""
        return self.model.is_crashed

    def take(
        self, node_id: str, action: Action, now_s: float
    ) -> list[Delivery]:
        """Perform an engine action; return the immediate deliveries."""
        event: Event | None = None
        match action:
            case StartAttempt():
                return self.start(node_id, action, now_s)
            case ResumeAttempt():
                return self.resume(node_id, action, now_s)
            case CancelAttempt():
                self.stop_reading(node_id, action.attempt_id)
                self.cancel(action, now_s)
            case PollLoad():
                event = self.report(action, now_s)
            case PollCacheEvents():
                event = self.cache_events(action, now_s)
            case SendEngineOrder():
                event = self.order(action, now_s)
            case ReadEngineOrder():
                event = self.read_order(action, now_s)
        return [] if event is None else [Delivery(node_id, event)]

    def start(
        self, node_id: str, action: StartAttempt, now_s: float
    ) -> list[Delivery]:
        """Start an attempt; deliver that it was accepted, refused or failed."""
        ids = (action.request_id, action.attempt_id)
        if self.is_down:
            failed = AttemptFailed(*ids, sent=False, cause='engine down')
            return [Delivery(node_id, failed)]
        request = GenerateRequest(
            action.attempt_id,
            action.model_name,
            action.prompt,
            action.resume_tokens,
            action.max_output_tokens,
            action.priority,
        )
        try:
            self.model.generate(request, now_s)
        except (NotRunError, MissingError) as refusal:
            refused = _refusal_event(ids, refusal.answer)
            return [Delivery(node_id, refused)]
        self._open_stream(
            node_id, action, action.attempt_id, len(action.resume_tokens)
        )
        return [Delivery(node_id, AttemptAccepted(*ids))]

    def resume(
        self, node_id: str, action: ResumeAttempt, now_s: float
    ) -> list[Delivery]:
        """Resume reading an attempt's output at an offset."""
        ids = (action.request_id, action.attempt_id)
        resumed_id = action.resumed_attempt_id
        if self.is_down:
            failed = AttemptFailed(*ids, sent=False, cause='engine down')
            return [Delivery(node_id, failed)]
        try:
            self.model.output_from(resumed_id, action.offset)
        except MissingError:
            unknown = AttemptFailed(*ids, sent=True, cause='unknown_attempt')
            return [Delivery(node_id, unknown)]
        self._open_stream(node_id, action, resumed_id, action.offset)
        return [Delivery(node_id, AttemptAccepted(*ids))]

    def cancel(self, action: CancelAttempt, now_s: float) -> None:
        """Cancel an attempt."""
        if not self.is_down:
            self.model.cancel(action.attempt_id, now_s)

    def stop_reading(self, node_id: str, attempt_id: AttemptId) -> None:
        """Stop reading an attempt, which continues at the engine."""
        self._streams.pop((node_id, attempt_id), None)

    def report(self, action: PollLoad, now_s: float) -> Event:
        """Return the answer to a load poll."""
        if self.is_down:
            return TargetUnreachable(action.target_id, 'engine down')
        report = attrs.asdict(self.model.load_report(now_s))
        return LoadReported(
            action.target_id, cattrs.structure(report, LoadReport)
        )

    def cache_events(
        self, action: PollCacheEvents, now_s: float
    ) -> Event | None:
        """Return the answer to a cache event poll; None when down."""
        if self.is_down:
            return None
        found = self.model.cache_events(action.after_sequence, now_s)
        return CacheEventsReported(
            action.target_id,
            found.first,
            found.next,
            tuple(
                CacheEvent(event.sequence, event.kind == 'stored', event.block)
                for event in found.events
            ),
        )

    def order(self, action: SendEngineOrder, now_s: float) -> Event:
        """Perform an order and return its state."""
        order = action.order
        if self.is_down:
            return _unknown_order_event(action.target_id, order.order_id)
        answer = self.model.order(
            EngineOrder(
                order.order_id, order.fence, order.kind.value, order.argument
            ),
            now_s,
        )
        return EngineOrderResponded(
            action.target_id,
            order.order_id,
            OrderState(answer.state),
            answer.cause,
        )

    def read_order(self, action: ReadEngineOrder, now_s: float) -> Event:
        """Return the state of an earlier order."""
        if self.is_down:
            return _unknown_order_event(action.target_id, action.order_id)
        try:
            answer = self.model.order_state(action.order_id, now_s)
        except MissingError:
            return _unknown_order_event(action.target_id, action.order_id)
        return EngineOrderResponded(
            action.target_id,
            action.order_id,
            OrderState(answer.state),
            answer.cause,
        )

    def advance(self, now_s: float) -> list[Delivery]:
        """Advance the engine to now; return the deliveries to readers."""
        self.model.advance(now_s)
        deliveries: list[Delivery] = []
        for key, stream in tuple(self._streams.items()):
            events = self._read_stream(stream)
            deliveries.extend(
                Delivery(stream.node_id, event) for event in events
            )
            if events and not isinstance(events[-1], TokensArrived):
                self._streams.pop(key)
        return deliveries

    def _read_stream(self, stream: _Stream) -> list[Event]:
        ids = (stream.request_id, stream.attempt_id)
        if self.is_down:
            return [AttemptFailed(*ids, sent=True, cause='connection reset')]
        if self.model.faults.silent:
            return []
        output = self.model.output_from(stream.engine_attempt_id, stream.offset)
        events: list[Event] = []
        if output.tokens:
            events.append(TokensArrived(*ids, stream.offset, output.tokens))
            stream.offset += len(output.tokens)
        if output.end is not None:
            events.append(self._end_event(stream, output))
        return events

    def _end_event(self, stream: _Stream, output: Output) -> Event:
        ids = (stream.request_id, stream.attempt_id)
        end = output.end
        if end is None or end.reason == 'error':
            cause = '' if end is None else end.cause
            return AttemptFailed(*ids, sent=True, cause=cause)
        record = self.model.attempt_record(stream.engine_attempt_id)
        return AttemptEnded(
            *ids,
            end.reason,
            stream.offset,
            record.prompt_tokens,
            record.cached_tokens,
        )

    def _open_stream(
        self,
        node_id: str,
        action: StartAttempt | ResumeAttempt,
        engine_attempt_id: str,
        offset: int,
    ) -> None:
        self._streams[(node_id, action.attempt_id)] = _Stream(
            node_id,
            action.request_id,
            action.attempt_id,
            engine_attempt_id,
            offset,
        )


def perform_plain(
    model: PlainModel, node_id: str, action: Action, now_s: float
) -> list[Delivery]:
    """Perform an action at a plain service; return the deliveries."""
    event: Event | None = None
    match action:
        case CallService():
            event = _call_plain(model, action, now_s)
        case PollLoad():
            report = LoadReport(action.target_id, PLAIN_INCARNATION, now_s)
            event = LoadReported(action.target_id, report)
    return [] if event is None else [Delivery(node_id, event)]


def _call_plain(
    model: PlainModel, action: CallService, now_s: float
) -> Event | None:
    """Run a call; return None when the service does not respond."""
    ids = (action.request_id, action.attempt_id)
    if model.faults.refuse:
        return AttemptRefused(*ids, model.faults.refuse)
    runs = model.run(
        PlainRun(
            now_s,
            action.idempotency_key or '',
            action.request_id,
            action.attempt_id,
            action.method,
            action.path,
            has_caller_key=False,
        )
    )
    if model.faults.silent:
        return None
    if model.faults.lose_answers > 0:
        model.faults.lose_answers -= 1
        return AttemptFailed(*ids, sent=True, cause='connection reset')
    body = json.dumps({'runs': runs}).encode()
    return ServiceAnswered(*ids, HTTP_OK, JSON_TYPE, body)


def unreachable_event(action: Action) -> Event | None:
    """Return the event for an action at an unreachable address, if any."""
    match action:
        case StartAttempt() | ResumeAttempt() | CallService():
            return AttemptFailed(
                action.request_id,
                action.attempt_id,
                sent=False,
                cause='no connection',
            )
        case PollLoad():
            return TargetUnreachable(action.target_id, 'no connection')
        case SendEngineOrder():
            return _unknown_order_event(action.target_id, action.order.order_id)
        case ReadEngineOrder():
            return _unknown_order_event(action.target_id, action.order_id)
    return None


def _refusal_event(
    ids: tuple[RequestId, AttemptId], answer: Mapping[str, Any]
) -> Event:
    cause = str(answer.get('cause', ''))
    if answer.get('ran') is not False:
        return AttemptFailed(*ids, sent=True, cause=cause)
    return AttemptRefused(*ids, cause, answer.get('retry_after_s'))


def _unknown_order_event(target_id: Any, order_id: Any) -> Event:
    return EngineOrderResponded(
        target_id, order_id, OrderState.UNKNOWN, 'no answer'
    )
