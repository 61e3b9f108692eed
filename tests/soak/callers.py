"""Callers that reuse their connections and record every response."""

import contextlib
from collections.abc import Callable, Sequence
from random import Random

import attrs
import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_gateway import clock_s
from dandelionyoke_links import receive
from tests.platform.node_harness import HOST
from tests.soak.events import EVENTS_PER_STREAM, event_versions, last_event
from tests.soak.record import CALL_PATHS, RESUME, CallerCall, SoakRecord

RESPONSE_TIMEOUT_S = 6.5
DEADLINE_MS = 4000
PAUSE_S = 0.12
# A caller comes back at once so often in a row without an answer; then it
# pauses each time.
PROMPT_RETURNS = 3
CALLS_PER_CONNECTION = 12
# A caller breaks so many of the streams off that it may take up. It comes back
# at once or after a pause, so many times, while it has time left.
BREAK_SHARE = 0.2
TAKE_UP_PAUSES_S = (0.0, 0.1, 1.0)
TAKE_UPS = 3
MIN_TIME_LEFT_S = 0.5
PROMPT = 'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'


@attrs.frozen
class Surroundings:
    """What all callers share: keys, nodes with their ports, and the record.

    `count_serving` tells how many engines of a version serve at the moment.
    """

    key_of: Callable[[str], str]
    nodes: Sequence[tuple[str, int]]
    count_serving: Callable[[str], int]
    record: SoakRecord
    random: Random


class Caller:
    """A caller that sends calls to one node until it is ended.

    A stream that breaks off goes on at any node.
    """

    def __init__(
        self, name: str, node: tuple[str, int], surroundings: Surroundings
    ) -> None:
        self._name = name
        self._node, self._port = node
        self._surroundings = surroundings
        self._record = surroundings.record
        self._random = surroundings.random
        self._call_count = 0
        # The last call on the connection, and the event after which the
        # caller breaks its stream off.
        self._last_call: CallerCall | None = None
        # The connections in a row that brought no answer.
        self._unanswered = 0
        self._break_after = EVENTS_PER_STREAM
        self.is_ended = False

    def run(self) -> None:
        """Send calls until `is_ended` is set."""
        while not self.is_ended:
            try:
                sock = eventlet.connect(('127.0.0.1', self._port))
            except OSError:
                self._record.refused_connections_s.append(clock_s())
                eventlet.sleep(PAUSE_S)
                continue
            with sock, contextlib.suppress(OSError, h11.RemoteProtocolError):
                self._use_connection(sock)
            self._pause_if_unanswered()
            if self._last_call is not None:
                self._take_up(self._last_call)
                self._last_call = None

    def _pause_if_unanswered(self) -> None:
        call = self._last_call
        is_answered = call is not None and call.status is not None
        self._unanswered = 0 if is_answered else self._unanswered + 1
        if self._unanswered >= PROMPT_RETURNS:
            eventlet.sleep(PAUSE_S)

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
        self._last_call = call
        self._break_after = EVENTS_PER_STREAM
        if path == RESUME and self._random.random() < BREAK_SHARE:
            self._break_after = self._random.randrange(1, EVENTS_PER_STREAM)
        call.is_on_kept_connection = is_on_kept_connection
        self._exchange(sock, parser, call, DEADLINE_MS)

    def _exchange(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        call: CallerCall,
        time_ms: int,
    ) -> None:
        call.time_s = time_ms / 1000
        self._record.calls.append(call)
        try:
            sock.sendall(self._request(parser, call, time_ms))
            call.is_sent = True
            self._read(sock, parser, call)
        finally:
            call.ended_s = clock_s()

    def _take_up(self, broken: CallerCall) -> None:
        """Take up a stream that broke off, if its route allows that."""
        received = last_event(broken.body)
        if broken.path != RESUME or broken.is_complete or not received:
            return
        self._break_after = EVENTS_PER_STREAM
        for number in range(TAKE_UPS):
            eventlet.sleep(self._random.choice(TAKE_UP_PAUSES_S))
            time_ms = int(DEADLINE_MS - 1000 * (clock_s() - broken.sent_s))
            is_over = time_ms < 1000 * MIN_TIME_LEFT_S
            if self.is_ended or is_over or received == EVENTS_PER_STREAM:
                return
            call = self._resume(broken, received, number + 1, time_ms)
            received = max(received, last_event(call.body))

    def _resume(
        self, broken: CallerCall, received: int, number: int, time_ms: int
    ) -> CallerCall:
        node, port = self._random.choice(self._surroundings.nodes)
        call = CallerCall(
            f'{broken.attempt_id}.{number}',
            broken.path,
            broken.organisation,
            node,
            clock_s(),
            resumes=broken.attempt_id,
            last_event=received,
        )
        version = event_versions(broken.body)[0]
        call.serving = self._surroundings.count_serving(version)
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            with eventlet.connect(('127.0.0.1', port)) as sock:
                self._exchange(sock, h11.Connection(h11.CLIENT), call, time_ms)
        serving = self._surroundings.count_serving(version)
        call.serving = min(call.serving, serving)
        return call

    def _request(
        self, parser: h11.Connection, call: CallerCall, time_ms: int
    ) -> bytes:
        # Targets that crash beside equal requests make nodes refuse these.
        body = (call.resumes or call.attempt_id).encode()
        headers = [
            ('Host', HOST),
            ('Attempt-Id', call.attempt_id),
            ('Deadline-Ms', str(time_ms)),
            ('X-Api-Key', self._surroundings.key_of(call.organisation)),
            ('Content-Length', str(len(body))),
        ]
        if call.resumes:
            headers.append(('Last-Event-Id', str(call.last_event)))
            headers.append(('Resumes', call.resumes))
        if call.is_stream:
            headers.extend(
                tuple(line.split(': ', 1)) for line in PROMPT.splitlines()
            )
        head = h11.Request(method='POST', target=call.path, headers=headers)
        wire = parser.send(head) + parser.send(h11.Data(data=body))
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
                if last_event(call.body) >= self._break_after:
                    if self._break_after < EVENTS_PER_STREAM:
                        call.is_given_up = True
                        return
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
    call.begun_s = clock_s()
    call.answered_attempt_id = headers.get('attempt-id', '')
    call.is_signed = 'response-signature' in headers
    call.retry_after = headers.get('retry-after', '')
    call.is_leaving_told = headers.get('server-leaving') == '1'
