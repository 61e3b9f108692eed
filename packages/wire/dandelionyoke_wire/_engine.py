"""Client for the HTTP API of engines (docs/PROTOCOL.md)."""

import json
from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus
from typing import Any

import urllib3
from cattrs import BaseValidationError, structure

from dandelionyoke_core import (
    AttemptAccepted,
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    CacheEvent,
    CacheEventsReported,
    CancelAttempt,
    EngineOrderResponded,
    Event,
    LoadReport,
    LoadReported,
    OrderId,
    OrderState,
    PollCacheEvents,
    PollLoad,
    ReadEngineOrder,
    RequestId,
    ResumeAttempt,
    SendEngineOrder,
    StartAttempt,
    TargetUnreachable,
    TokensArrived,
)
from dandelionyoke_wire._guarded import MaySend, call_guarded
from dandelionyoke_wire._pools import TargetPools
from dandelionyoke_wire._transport import (
    JsonResponse,
    TransportError,
    call_json,
    decode_json,
    may_have_been_sent,
    new_stream_pool,
    request_timeout,
)

Emit = Callable[[Event], None]

POLL_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0

# The core detects a silent stream much sooner; this frees leaked sockets.
STREAM_TIMEOUT_S = 300.0

READ_SIZE_BYTES = 65_536
MAX_LINE_BYTES = 1_048_576

_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, OSError)
_DECODE_ERRORS = (KeyError, OverflowError, TypeError, ValueError)
_REPORT_ERRORS = (*_DECODE_ERRORS, BaseValidationError)
_CALL_ERRORS = (TransportError, *_DECODE_ERRORS)
_STREAM_ERRORS = (*_CONNECTION_ERRORS, *_CALL_ERRORS)


class EngineClient:
    """Client that performs engine actions and emits the results as events.

    Each method blocks and runs in its own green thread.
    """

    def __init__(self, pools: TargetPools, emit: Emit) -> None:
        self._pools = pools
        self._emit = emit

    def start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt and emit its stream."""
        body = {
            'attempt_id': action.attempt_id,
            'model': action.model_name,
            'prompt': action.prompt,
            'resume_tokens': list(action.resume_tokens),
            'max_output_tokens': action.max_output_tokens,
            'priority': action.priority,
        }
        self._stream(f'{action.address}/generate', body, action)

    def resume_attempt(self, action: ResumeAttempt) -> None:
        """Resume an attempt and emit its stream."""
        body = {
            'attempt_id': action.resumed_attempt_id,
            'offset': action.offset,
        }
        self._pools.replace(action.address)
        self._stream(f'{action.address}/resume', body, action)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt; a lost cancel only wastes work of the engine."""
        try:
            self._call(
                'POST',
                action.address,
                '/cancel',
                {'attempt_id': action.attempt_id},
                CANCEL_TIMEOUT_S,
            )
        except TransportError:
            self._pools.replace(action.address)

    def poll_load(self, action: PollLoad) -> None:
        """Poll the load report of an engine."""
        try:
            response = self._call(
                'GET', action.address, '/load', None, POLL_TIMEOUT_S
            )
            report = structure(dict(response.body), LoadReport)
        except TransportError as error:
            self._pools.replace(action.address)
            self._emit(
                TargetUnreachable(
                    action.target_id, error.cause, error.timed_out
                )
            )
        except _REPORT_ERRORS:
            self._emit(
                TargetUnreachable(action.target_id, 'invalid load report')
            )
        else:
            self._emit(LoadReported(action.target_id, report))

    def poll_cache_events(self, action: PollCacheEvents) -> None:
        """Poll cache events.

        A failed poll emits nothing and is handled like any other gap.
        """
        path = f'/cache-events?after={action.after_sequence}'
        try:
            response = self._call(
                'GET', action.address, path, None, POLL_TIMEOUT_S
            )
            reported = CacheEventsReported(
                action.target_id,
                int(response.body['first']),
                int(response.body['next']),
                tuple(map(_parse_cache_event, response.body['events'])),
            )
        except _CALL_ERRORS:
            return
        self._emit(reported)

    def send_order(self, action: SendEngineOrder, may_send: MaySend) -> None:
        """Send an order; `may_send` is checked before each write."""
        order = action.order
        body = {
            'order_id': order.order_id,
            'fence': order.fence,
            'kind': order.kind.value,
            'argument': order.argument,
        }
        try:
            response = call_guarded(
                'POST',
                f'{action.address}/orders',
                body,
                may_send,
                ORDER_TIMEOUT_S,
            )
        except TransportError as error:
            self._emit_order_unknown(action, order.order_id, error.cause)
        else:
            self._emit_order_state(action, order.order_id, response)

    def read_order(self, action: ReadEngineOrder) -> None:
        """Read the state of an order."""
        path = f'/orders/{action.order_id}'
        try:
            response = self._call(
                'GET', action.address, path, None, ORDER_TIMEOUT_S
            )
        except TransportError as error:
            self._emit_order_unknown(action, action.order_id, error.cause)
        else:
            self._emit_order_state(action, action.order_id, response)

    def _emit_order_state(
        self,
        action: SendEngineOrder | ReadEngineOrder,
        order_id: OrderId,
        response: JsonResponse,
    ) -> None:
        try:
            state = OrderState(response.body['state'])
        except _DECODE_ERRORS as error:
            self._emit_order_unknown(action, order_id, repr(error))
            return
        cause = str(response.body.get('cause', ''))
        self._emit(
            EngineOrderResponded(action.target_id, order_id, state, cause)
        )

    def _emit_order_unknown(
        self,
        action: SendEngineOrder | ReadEngineOrder,
        order_id: OrderId,
        cause: str,
    ) -> None:
        self._emit(
            EngineOrderResponded(
                action.target_id, order_id, OrderState.UNKNOWN, cause
            )
        )

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: Mapping[str, Any] | None,
        read_timeout_s: float,
    ) -> JsonResponse:
        return call_json(
            self._pools.get(address),
            method,
            f'{address}{path}',
            body,
            read_timeout_s=read_timeout_s,
        )

    def _stream(
        self,
        url: str,
        body: Mapping[str, Any],
        action: StartAttempt | ResumeAttempt,
    ) -> None:
        with new_stream_pool() as pool:
            self._stream_over(pool, url, body, action)

    def _stream_over(
        self,
        pool: urllib3.PoolManager,
        url: str,
        body: Mapping[str, Any],
        action: StartAttempt | ResumeAttempt,
    ) -> None:
        ids = (action.request_id, action.attempt_id)
        try:
            response = pool.request(
                'POST',
                url,
                body=json.dumps(body).encode(),
                headers={'Content-Type': 'application/json'},
                timeout=request_timeout(STREAM_TIMEOUT_S),
                preload_content=False,
                redirect=False,
            )
        except _CONNECTION_ERRORS as error:
            self._emit(
                AttemptFailed(*ids, may_have_been_sent(error), str(error))
            )
            return
        # The pool does not close the connection of an unfinished stream.
        try:
            self._emit_response(response, *ids)
        except _STREAM_ERRORS as error:
            self._emit(AttemptFailed(*ids, sent=True, cause=repr(error)))
        finally:
            response.close()

    def _emit_response(
        self,
        response: urllib3.BaseHTTPResponse,
        request_id: RequestId,
        attempt_id: AttemptId,
    ) -> None:
        if response.status != HTTPStatus.OK:
            refusal = decode_json(response.read(MAX_LINE_BYTES))
            self._emit(_parse_refusal(request_id, attempt_id, refusal))
            return
        self._emit(AttemptAccepted(request_id, attempt_id))
        for line in _read_lines(response):
            event = _parse_stream_line(
                request_id, attempt_id, decode_json(line)
            )
            self._emit(event)
            if not isinstance(event, TokensArrived):
                return
        self._emit(
            AttemptFailed(
                request_id,
                attempt_id,
                sent=True,
                cause='cut',
            )
        )


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield each line as soon as it has arrived.

    `read1` returns the bytes that are available; `stream(n)` and `read(n)`
    would wait for n bytes and delay tokens.
    """
    pending = bytearray()
    while chunk := response.read1(READ_SIZE_BYTES):
        first, *rest = chunk.split(b'\n')
        pending += first
        if rest:
            lines = (bytes(pending), *rest[:-1])
            pending = bytearray(rest[-1])
            yield from (line for line in lines if line)
        if len(pending) > MAX_LINE_BYTES:
            raise ValueError('a line of the stream is too long')


def _parse_stream_line(
    request_id: RequestId, attempt_id: AttemptId, line: Mapping[str, Any]
) -> Event:
    tokens = line.get('tokens')
    if tokens is not None:
        return TokensArrived(
            request_id,
            attempt_id,
            int(line['offset']),
            tuple(map(str, tokens)),
        )
    end_reason = line.get('end')
    if end_reason is not None:
        return AttemptEnded(
            request_id,
            attempt_id,
            str(end_reason),
            int(line['offset']),
            int(line['prompt_tokens']),
            int(line.get('cached_tokens', 0)),
        )
    cause = str(line.get('error', 'bad line'))
    return AttemptFailed(request_id, attempt_id, sent=True, cause=cause)


def _parse_refusal(
    request_id: RequestId, attempt_id: AttemptId, body: Mapping[str, Any]
) -> Event:
    cause = str(body.get('cause', 'refused without a cause'))
    # Only an explicit "ran: false" proves that nothing ran.
    if body.get('ran') is not False:
        return AttemptFailed(request_id, attempt_id, sent=True, cause=cause)
    retry_after_s = body.get('retry_after_s')
    return AttemptRefused(
        request_id,
        attempt_id,
        cause,
        None if retry_after_s is None else float(retry_after_s),
    )


def _parse_cache_event(body: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        int(body['sequence']), body['kind'] == 'stored', str(body['block'])
    )
