"""An engine served over HTTP, as specified in docs/PROTOCOL.md section 1."""

import os
import time
from collections.abc import Iterator

import eventlet
import urllib3

from dandelionyoke_standins._attempt import GenerateRequest, Output, StreamEnd
from dandelionyoke_standins._engine import EngineModel, KvExport
from dandelionyoke_standins._engine_orders import EngineOrder
from dandelionyoke_standins._errors import (
    BadCallError,
    LostAnswerError,
    MissingError,
)
from dandelionyoke_standins._http import (
    ChangeNotifier,
    Request,
    Response,
    Route,
    Server,
)
from dandelionyoke_standins._json import Json, build, decode, encode
from dandelionyoke_standins._record_file import RecordFile

ADVANCE_INTERVAL_S = 0.01
WAIT_TIMEOUT_S = 5.0
CRASH_STATUS = 70


class EngineServer:
    """Serves an engine model over HTTP, in real time."""

    def __init__(
        self, model: EngineModel, port: int = 0, record_path: str = ''
    ) -> None:
        self._model = model
        self._record_file = RecordFile(
            record_path, model.settings.engine_id, model.incarnation
        )
        self._changed = ChangeNotifier()
        self._pool = urllib3.PoolManager(retries=False)
        self._server = Server(self._routes(), port)
        self.address = self._server.address

    def start(self) -> None:
        """Start serving, and advance the engine with the clock."""
        self._server.start()
        eventlet.spawn(self._advance_forever)

    def _routes(self) -> list[Route]:
        return [
            Route('POST', '/generate', self._generate),
            Route('POST', '/resume', self._resume),
            Route('POST', '/cancel', self._cancel),
            Route('GET', '/load', self._load),
            Route('GET', '/cache-events', self._cache_events),
            Route('POST', '/orders', self._order),
            Route('GET', '/orders/([^/]+)', self._order_state),
            Route('POST', '/kv/export', self._export_kv),
            Route('POST', '/kv/import', self._import_kv),
            Route('GET', '/kv/([^/]+)', self._exported_kv),
            Route('POST', '/standin/faults', self._set_faults),
            Route('GET', '/standin/record', self._record),
        ]

    def _advance_forever(self) -> None:
        while True:
            eventlet.sleep(ADVANCE_INTERVAL_S)
            outputs = self._model.advance(time.monotonic())
            if self._model.is_crashed or self._model.faults.crash:
                os._exit(CRASH_STATUS)
            for output in outputs:
                self._record_end(output)
            if outputs:
                self._changed.notify()

    def _record_end(self, output: Output) -> None:
        if output.end is not None:
            record = self._model.attempt_record(output.attempt_id)
            self._record_file.write('attempt_ended', record)

    def _generate(self, request: Request) -> Response:
        self._check_silence()
        generate_request = build(GenerateRequest, request.json)
        self._model.generate(generate_request, time.monotonic())
        record = self._model.attempt_record(generate_request.attempt_id)
        self._record_file.write('attempt', record)
        self._lose_answer()
        offset = len(generate_request.resume_tokens)
        silent_after = self._model.faults.silent_after_tokens
        return Response(
            lines=self._stream_lines(
                generate_request.attempt_id, offset, silent_after
            )
        )

    def _resume(self, request: Request) -> Response:
        self._check_silence()
        body = request.json
        attempt_id = _string_field(body, 'attempt_id')
        offset = int(body.get('offset', 0))
        self._model.output_from(attempt_id, offset)
        self._lose_answer()
        return Response(lines=self._stream_lines(attempt_id, offset, None))

    def _stream_lines(
        self, attempt_id: str, offset: int, silent_after: int | None
    ) -> Iterator[bytes]:
        """Stream the output as it is generated.

        After `silent_after` tokens the stream stays open but sends no more.
        """
        # The headers are sent with the first line. An empty line sends
        # them at once, so the caller knows that the attempt is accepted
        # however long it stays queued.
        yield _encode_line({'offset': offset, 'tokens': ()})
        sent = 0
        while True:
            output = self._model.output_from(attempt_id, offset)
            tokens = output.tokens
            if silent_after is not None:
                tokens = tokens[: max(0, silent_after - sent)]
            if tokens:
                yield _encode_line({'offset': offset, 'tokens': tokens})
            sent += len(tokens)
            offset += len(tokens)
            self._block_while_silent(is_silent=sent == silent_after)
            if output.end is not None:
                yield self._end_line(attempt_id, output.end, offset)
                return
            self._changed.wait(WAIT_TIMEOUT_S)

    def _end_line(self, attempt_id: str, end: StreamEnd, offset: int) -> bytes:
        if end.reason == 'error':
            return _encode_line({'error': end.cause})
        record = self._model.attempt_record(attempt_id)
        return _encode_line(
            {
                'end': end.reason,
                'offset': offset,
                'prompt_tokens': record.prompt_tokens,
                'cached_tokens': record.cached_tokens,
            }
        )

    def _cancel(self, request: Request) -> Response:
        self._check_silence()
        attempt_id = _string_field(request.json, 'attempt_id')
        cancelled = self._model.cancel(attempt_id, time.monotonic())
        self._changed.notify()
        self._lose_answer()
        return Response({'cancelled': cancelled})

    def _load(self, request: Request) -> Response:
        self._check_silence()
        return Response(self._model.load_report(time.monotonic()))

    def _cache_events(self, request: Request) -> Response:
        self._check_silence()
        after = int(request.query.get('after', 0))
        return Response(self._model.cache_events(after, time.monotonic()))

    def _order(self, request: Request) -> Response:
        self._check_silence()
        order = build(EngineOrder, request.json)
        answer = self._model.order(order, time.monotonic())
        self._record_file.write('order', self._model.record.orders[-1])
        self._changed.notify()
        self._lose_answer()
        return Response(answer)

    def _order_state(self, request: Request, order_id: str) -> Response:
        self._check_silence()
        return Response(self._model.order_state(order_id, time.monotonic()))

    def _export_kv(self, request: Request) -> Response:
        self._check_silence()
        attempt_id = _string_field(request.json, 'attempt_id')
        export = self._model.export_kv(attempt_id, time.monotonic())
        return Response(
            {
                'handle': export.handle,
                'blocks': len(export.blocks),
                'tokens': export.tokens,
            }
        )

    def _exported_kv(self, request: Request, handle: str) -> Response:
        return Response(self._model.exported_kv(handle))

    def _import_kv(self, request: Request) -> Response:
        self._check_silence()
        body = request.json
        url = f'{_string_field(body, "source")}/kv/{_string_field(body, "handle")}'
        export = self._fetch_export(url)
        self._model.import_kv(export, time.monotonic())
        return Response({'imported': True})

    def _fetch_export(self, url: str) -> KvExport:
        try:
            response = self._pool.request('GET', url, timeout=WAIT_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise MissingError(imported=False, cause='unreachable') from error
        if response.status != 200:
            raise MissingError(imported=False, cause='unknown_handle')
        return build(KvExport, decode(response.data))

    def _set_faults(self, request: Request) -> Response:
        for name, value in request.json.items():
            if not hasattr(self._model.faults, name):
                raise BadCallError(cause=f'unknown fault {name}')
            setattr(self._model.faults, name, value)
        self._changed.notify()
        return Response(self._model.faults)

    def _record(self, request: Request) -> Response:
        return Response(self._model.record)

    def _check_silence(self) -> None:
        self._block_while_silent(is_silent=False)

    def _block_while_silent(self, *, is_silent: bool) -> None:
        """Block while silent, with the connection open."""
        while is_silent or self._model.faults.silent:
            self._changed.wait(WAIT_TIMEOUT_S)

    def _lose_answer(self) -> None:
        if self._model.faults.lose_answers > 0:
            self._model.faults.lose_answers -= 1
            raise LostAnswerError


def _encode_line(fields: Json) -> bytes:
    return encode(fields) + b'\n'


def _string_field(body: Json, name: str) -> str:
    text = body.get(name)
    if not isinstance(text, str):
        raise BadCallError(cause=f'{name} is not text')
    return text
