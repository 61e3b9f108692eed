"""A plain service over HTTP, as specified in docs/PROTOCOL.md section 2."""

import os
import time
from contextlib import ExitStack

import eventlet

from dandelionyoke_standins._errors import (
    BadCallError,
    LostAnswerError,
    NotRunError,
)
from dandelionyoke_standins._http import (
    ChangeNotifier,
    Request,
    Response,
    Route,
    Server,
)
from dandelionyoke_standins._plain import PlainModel, PlainRun
from dandelionyoke_standins._record_file import RecordFile

CRASH_STATUS = 70
RETRY_AFTER_S = 1.0
# Time for the answer to the call that requests the crash.
CRASH_DELAY_S = 0.01


class PlainServer:
    """Serves a plain service model over HTTP."""

    def __init__(
        self,
        model: PlainModel,
        engine_id: str = 'plain',
        port: int = 0,
        record_path: str = '',
    ) -> None:
        self._model = model
        self._engine_id = engine_id
        self._incarnation = os.urandom(8).hex()
        self._record_file = RecordFile(
            record_path, engine_id, self._incarnation
        )
        self._running_calls = 0
        self._faults_changed = ChangeNotifier()
        self._server = Server(self._routes(), port)
        self.address = self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def _routes(self) -> tuple[Route, ...]:
        return (
            Route('GET', '/load', self._load),
            Route('POST', '/standin/faults', self._set_faults),
            Route('GET', '/standin/runs', self._runs),
            Route('GET', '/standin/record', self._record),
            Route('*', '/.*', self._run),
        )

    def _run(self, request: Request) -> Response:
        faults = self._model.faults
        if faults.refuse:
            raise NotRunError(
                ran=False, cause=faults.refuse, retry_after_s=RETRY_AFTER_S
            )
        with ExitStack() as stack:
            self._running_calls += 1
            stack.callback(self._end_call)
            return self._run_once(request)

    def _end_call(self) -> None:
        self._running_calls -= 1

    def _run_once(self, request: Request) -> Response:
        faults = self._model.faults
        if faults.delay_s:
            eventlet.sleep(faults.delay_s)
        text = request.body.decode(errors='replace')
        if faults.crash_before_run or _contains(text, faults.crash_on):
            os._exit(CRASH_STATUS)
        run = _plain_run(request)
        runs = self._model.run(run)
        self._record_file.write('run', run)
        if faults.crash_after_run:
            os._exit(CRASH_STATUS)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            raise LostAnswerError
        while faults.silent:
            self._faults_changed.wait(1)
        return Response({'runs': runs})

    def _load(self, request: Request) -> Response:
        return Response(
            {
                'engine_id': self._engine_id,
                'incarnation': self._incarnation,
                'measured_s': time.monotonic(),
                'age_s': 0,
                'running': self._running_calls,
                'waiting': 0,
                'draining': False,
            }
        )

    def _set_faults(self, request: Request) -> Response:
        for name, value in request.json.items():
            if not hasattr(self._model.faults, name):
                raise BadCallError(cause=f'unknown fault {name}')
            setattr(self._model.faults, name, value)
        self._faults_changed.notify()
        if self._model.faults.crash:
            eventlet.spawn_after(CRASH_DELAY_S, os._exit, CRASH_STATUS)
        return Response(self._model.faults)

    def _runs(self, request: Request) -> Response:
        return Response({'runs': self._model.runs})

    def _record(self, request: Request) -> Response:
        return Response({'runs': self._model.record})


def _contains(text: str, substring: str) -> bool:
    return bool(substring) and substring in text


def _plain_run(request: Request) -> PlainRun:
    return PlainRun(
        at_s=time.monotonic(),
        key=request.headers.get('idempotency-key', ''),
        request_id=request.headers.get('x-request-id', ''),
        attempt_id=request.headers.get('x-attempt-id', ''),
        method=request.method,
        path=request.path,
        has_caller_key='authorization' in request.headers,
    )
