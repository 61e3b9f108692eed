"""An engine over HTTP, as docs/PROTOCOL.md section 1 lays it down."""

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
from dandelionyoke_standins._http import Call, Reply, Route, Server, Signal
from dandelionyoke_standins._json import Json, build, decode, encode
from dandelionyoke_standins._record_file import RecordFile

TICK_S = 0.01
PATIENCE_S = 5.0
CRASH_STATUS = 70


class EngineShell:
    """Owns an engine model, and gives it the clock and the callers."""

    def __init__(
        self, model: EngineModel, port: int = 0, record_path: str = ''
    ) -> None:
        self._model = model
        self._file = RecordFile(
            record_path, model.settings.engine_id, model.incarnation
        )
        self._moved = Signal()
        self._pool = urllib3.PoolManager(retries=False)
        self._server = Server(self._routes(), port)
        self.address = self._server.address

    def start(self) -> None:
        """Serve, and let the engine work in time."""
        self._server.start()
        eventlet.spawn(self._work)

    def _routes(self) -> list[Route]:
        return [
            Route('POST', '/generate', self._generate),
            Route('POST', '/resume', self._resume),
            Route('POST', '/cancel', self._cancel),
            Route('GET', '/load', self._load),
            Route('GET', '/cache-events', self._cache_events),
            Route('POST', '/orders', self._order),
            Route('GET', '/orders/([^/]+)', self._order_state),
            Route('POST', '/kv/export', self._export),
            Route('POST', '/kv/import', self._import),
            Route('GET', '/kv/([^/]+)', self._exported),
            Route('POST', '/standin/faults', self._set_faults),
            Route('GET', '/standin/record', self._record),
        ]

    def _work(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            outputs = self._model.advance(time.monotonic())
            if self._model.is_crashed or self._model.faults.crash:
                os._exit(CRASH_STATUS)
            for output in outputs:
                self._record_end(output)
            if outputs:
                self._moved.notify()

    def _record_end(self, output: Output) -> None:
        if output.end is not None:
            record = self._model.attempt_record(output.attempt_id)
            self._file.write('attempt_ended', record)

    def _generate(self, call: Call) -> Reply:
        self._enter()
        request = build(GenerateRequest, call.json)
        self._model.generate(request, time.monotonic())
        record = self._model.attempt_record(request.attempt_id)
        self._file.write('attempt', record)
        self._lose_answer()
        offset = len(request.resume_tokens)
        silent_after = self._model.faults.silent_after_tokens
        return Reply(
            lines=self._lines(request.attempt_id, offset, silent_after)
        )

    def _resume(self, call: Call) -> Reply:
        self._enter()
        body = call.json
        attempt_id = _text(body, 'attempt_id')
        offset = int(body.get('offset', 0))
        self._model.output_from(attempt_id, offset)
        self._lose_answer()
        return Reply(lines=self._lines(attempt_id, offset, None))

    def _lines(
        self, attempt_id: str, offset: int, silent_after: int | None
    ) -> Iterator[bytes]:
        """Stream the output as it comes; perhaps go silent on the way."""
        # The headers leave with the first line, so an empty one tells at
        # once that the attempt is accepted, however long it will wait.
        yield _line({'offset': offset, 'tokens': ()})
        sent = 0
        while True:
            output = self._model.output_from(attempt_id, offset)
            tokens = output.tokens
            if silent_after is not None:
                tokens = tokens[: max(0, silent_after - sent)]
            if tokens:
                yield _line({'offset': offset, 'tokens': tokens})
            sent += len(tokens)
            offset += len(tokens)
            self._stay_silent(is_silent=sent == silent_after)
            if output.end is not None:
                yield self._end_line(attempt_id, output.end, offset)
                return
            self._moved.wait(PATIENCE_S)

    def _end_line(self, attempt_id: str, end: StreamEnd, offset: int) -> bytes:
        if end.reason == 'error':
            return _line({'error': end.cause})
        record = self._model.attempt_record(attempt_id)
        return _line(
            {
                'end': end.reason,
                'offset': offset,
                'prompt_tokens': record.prompt_tokens,
                'cached_tokens': record.cached_tokens,
            }
        )

    def _cancel(self, call: Call) -> Reply:
        self._enter()
        attempt_id = _text(call.json, 'attempt_id')
        cancelled = self._model.cancel(attempt_id, time.monotonic())
        self._moved.notify()
        self._lose_answer()
        return Reply({'cancelled': cancelled})

    def _load(self, call: Call) -> Reply:
        self._enter()
        return Reply(self._model.load_report(time.monotonic()))

    def _cache_events(self, call: Call) -> Reply:
        self._enter()
        after = int(call.query.get('after', 0))
        return Reply(self._model.cache_events(after, time.monotonic()))

    def _order(self, call: Call) -> Reply:
        self._enter()
        order = build(EngineOrder, call.json)
        answer = self._model.order(order, time.monotonic())
        self._file.write('order', self._model.record.orders[-1])
        self._moved.notify()
        self._lose_answer()
        return Reply(answer)

    def _order_state(self, call: Call, order_id: str) -> Reply:
        self._enter()
        return Reply(self._model.order_state(order_id, time.monotonic()))

    def _export(self, call: Call) -> Reply:
        self._enter()
        attempt_id = _text(call.json, 'attempt_id')
        export = self._model.export_kv(attempt_id, time.monotonic())
        return Reply(
            {
                'handle': export.handle,
                'blocks': len(export.blocks),
                'tokens': export.tokens,
            }
        )

    def _exported(self, call: Call, handle: str) -> Reply:
        return Reply(self._model.exported_kv(handle))

    def _import(self, call: Call) -> Reply:
        self._enter()
        body = call.json
        url = f'{_text(body, "source")}/kv/{_text(body, "handle")}'
        export = self._fetch(url)
        self._model.import_kv(export, time.monotonic())
        return Reply({'imported': True})

    def _fetch(self, url: str) -> KvExport:
        try:
            answer = self._pool.request('GET', url, timeout=PATIENCE_S)
        except urllib3.exceptions.HTTPError as error:
            raise MissingError(imported=False, cause='unreachable') from error
        if answer.status != 200:
            raise MissingError(imported=False, cause='unknown_handle')
        return build(KvExport, decode(answer.data))

    def _set_faults(self, call: Call) -> Reply:
        for name, setting in call.json.items():
            if not hasattr(self._model.faults, name):
                raise BadCallError(cause=f'unknown fault {name}')
            setattr(self._model.faults, name, setting)
        self._moved.notify()
        return Reply(self._model.faults)

    def _record(self, call: Call) -> Reply:
        return Reply(self._model.record)

    def _enter(self) -> None:
        self._stay_silent(is_silent=False)

    def _stay_silent(self, *, is_silent: bool) -> None:
        """Send nothing more, with the connection open."""
        while is_silent or self._model.faults.silent:
            self._moved.wait(PATIENCE_S)

    def _lose_answer(self) -> None:
        if self._model.faults.lose_answers > 0:
            self._model.faults.lose_answers -= 1
            raise LostAnswerError


def _line(fields: Json) -> bytes:
    return encode(fields) + b'\n'


def _text(body: Json, name: str) -> str:
    text = body.get(name)
    if not isinstance(text, str):
        raise BadCallError(cause=f'{name} is not text')
    return text
