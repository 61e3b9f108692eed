"""Callers that reuse their connections and record every response."""

import contextlib
from collections.abc import Callable
from random import Random

import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_gateway import clock_s
from dandelionyoke_links import receive
from tests.platform.node_harness import HOST
from tests.soak.record import CALL_PATHS, CallerCall, SoakRecord

RESPONSE_TIMEOUT_S = 6.5
DEADLINE_MS = 4000
PAUSE_S = 0.12
CALLS_PER_CONNECTION = 12
PROMPT = 'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'


class Caller:
    """A caller that sends calls to one node until it is ended."""

    def __init__(
        self,
        name: str,
        node: str,
        port: int,
        key_of: Callable[[str], str],
        record: SoakRecord,
        random: Random,
    ) -> None:
        self._name = name
        self._node = node
        self._port = port
        self._key_of = key_of
        self._record = record
        self._random = random
        self._call_count = 0
        self.is_ended = False

    def run(self) -> None:
        """Send calls until `is_ended` is set."""
        while not self.is_ended:
            try:
                sock = eventlet.connect(('127.0.0.1', self._port))
            except OSError:
                eventlet.sleep(PAUSE_S)
                continue
            with sock, contextlib.suppress(OSError, h11.RemoteProtocolError):
                self._use_connection(sock)

    def _use_connection(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.CLIENT)
        for number in range(CALLS_PER_CONNECTION):
            if self.is_ended:
                return
            self._call(sock, parser, is_on_kept_connection=number > 0)
            if parser.our_state is not h11.DONE:
                return
            if parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()
            eventlet.sleep(PAUSE_S * self._random.random())

    def _call(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        *,
        is_on_kept_connection: bool,
    ) -> None:
        self._call_count += 1
        organisation = self._random.choice(('acme', 'beta'))
        path = self._random.choice(CALL_PATHS)
        attempt_id = f'{self._name}.{self._call_count}'
        call = CallerCall(attempt_id, path, organisation, self._node, clock_s())
        call.is_on_kept_connection = is_on_kept_connection
        self._record.calls.append(call)
        try:
            sock.sendall(self._request(parser, call))
            call.is_sent = True
            self._read(sock, parser, call)
        finally:
            call.ended_s = clock_s()

    def _request(self, parser: h11.Connection, call: CallerCall) -> bytes:
        headers = [
            ('Host', HOST),
            ('Attempt-Id', call.attempt_id),
            ('Deadline-Ms', str(DEADLINE_MS)),
            ('X-Api-Key', self._key_of(call.organisation)),
            ('Content-Length', '4'),
        ]
        if call.is_stream:
            headers.extend(
                tuple(line.split(': ', 1)) for line in PROMPT.splitlines()
            )
        head = h11.Request(method='POST', target=call.path, headers=headers)
        wire = parser.send(head) + parser.send(h11.Data(data=b'body'))
        return bytes(wire + parser.send(h11.EndOfMessage()))

    def _read(
        self, sock: socket.socket, parser: h11.Connection, call: CallerCall
    ) -> None:
        deadline_s = clock_s() + RESPONSE_TIMEOUT_S
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(
                    receive(sock, 65536, max(0.01, deadline_s - clock_s()))
                )
            elif isinstance(event, h11.Response):
                _record_head(call, event)
            elif isinstance(event, h11.Data):
                call.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                call.is_complete = True
                return
            else:
                return


def _record_head(call: CallerCall, head: h11.Response) -> None:
    headers = {
        name.decode().lower(): text.decode() for name, text in head.headers
    }
    call.status = head.status_code
    call.answered_attempt_id = headers.get('attempt-id', '')
    call.is_signed = 'response-signature' in headers
    call.retry_after = headers.get('retry-after', '')
    call.is_leaving_told = headers.get('server-leaving') == '1'
