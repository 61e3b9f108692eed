"""Callers that keep their connections and record every answer."""

import contextlib
from collections.abc import Sequence
from random import Random

import attrs
import eventlet
import h11
from eventlet.green import socket

from dandelionyoke_gateway import clock_s
from dandelionyoke_links import receive, stalled_s
from tests.platform.node_harness import API_KEY, HOST
from tests.silence.record import STREAM_PATHS, SentRequest, SilenceRecord

DEADLINE_MS = 10_000
# A caller waits longer than any time limit and standstill of a node.
MAX_WAIT_S = 14.0
MAX_PAUSE_S = 0.1
MAX_LATENESS_S = 1.0
PROMPT = (
    ('Model', 'm'),
    ('Token-Count', '900,30'),
    ('Prompt-Prefix', 'aa:500,bb:400'),
)
STATUS_OK = 200


@attrs.define
class Caller:
    """Sends one request after another to a node until it is ended."""

    name: str
    node: str
    port: int
    paths: Sequence[str]
    record: SilenceRecord
    random: Random
    is_ended: bool = False
    _request_count: int = 0

    def run(self) -> None:
        """Send requests; connect again if the node closes the connection."""
        while not self.is_ended:
            try:
                sock = eventlet.connect(('127.0.0.1', self.port))
            except OSError:
                eventlet.sleep(MAX_PAUSE_S)
                continue
            with sock:
                self._use_connection(sock)

    def _use_connection(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.CLIENT)
        idle_since_s = clock_s()
        while not self.is_ended and not _is_closed(sock):
            request = self._exchange(sock, parser, idle_since_s)
            # The answer may have waited for a run that stood still.
            late_s = stalled_s(request.ended_s - MAX_LATENESS_S)
            idle_since_s = request.ended_s - late_s
            if parser.our_state is not h11.DONE:
                return
            if parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()
            pause_s = MAX_PAUSE_S * self.random.random()
            if request.status != STATUS_OK:
                pause_s = MAX_PAUSE_S
            eventlet.sleep(pause_s)

    def _exchange(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        idle_since_s: float,
    ) -> SentRequest:
        self._request_count += 1
        sent_s = clock_s()
        request = SentRequest(
            f'{self.name}.{self._request_count}',
            self.random.choice(self.paths),
            self.node,
            sent_s,
            sent_s - idle_since_s,
        )
        self.record.requests.append(request)
        try:
            sock.sendall(request_bytes(parser, request))
            request.is_sent = True
            read_answer(sock, parser, request)
        except TimeoutError:
            request.end = 'the caller waited in vain'
        except (OSError, h11.RemoteProtocolError) as error:
            request.end = repr(error)
        request.ended_s = clock_s()
        return request


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the node has closed an idle connection."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return not sock.fd.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


def request_bytes(parser: h11.Connection, request: SentRequest) -> bytes:
    """Build a request."""
    headers = [
        ('Host', HOST),
        ('Attempt-Id', request.request_id),
        ('Deadline-Ms', str(DEADLINE_MS)),
        ('X-Api-Key', API_KEY),
        ('Content-Length', '4'),
    ]
    if request.path in STREAM_PATHS:
        headers.extend(PROMPT)
    head = h11.Request(method='POST', target=request.path, headers=headers)
    wire = parser.send(head) + parser.send(h11.Data(data=b'body'))
    return bytes(wire + parser.send(h11.EndOfMessage()))


def read_answer(
    sock: socket.socket, parser: h11.Connection, request: SentRequest
) -> None:
    """Read the answer to a request up to the end of its framing.

    Raises:
        OSError: nothing came for too long, or the connection was reset.
        h11.RemoteProtocolError: the connection ended within the answer.
    """
    deadline_s = clock_s() + MAX_WAIT_S
    while not request.is_complete:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            left_s = max(0.01, deadline_s - clock_s())
            parser.receive_data(receive(sock, 65536, left_s))
        elif isinstance(event, h11.Response):
            request.status = event.status_code
        elif isinstance(event, h11.Data):
            request.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            request.is_complete = True
        elif isinstance(event, h11.ConnectionClosed):
            request.end = 'closed'
            return


def start_callers(
    nodes: Sequence[tuple[str, int]],
    paths: Sequence[Sequence[str]],
    record: SilenceRecord,
    random: Random,
) -> tuple[list[Caller], eventlet.GreenPool]:
    """Start a caller at each node for each choice of paths."""
    callers = [
        Caller(f'{name}.{number}', name, port, choice, record, random)
        for name, port in nodes
        for number, choice in enumerate(paths)
    ]
    pool = eventlet.GreenPool(len(callers))
    for caller in callers:
        pool.spawn_n(caller.run)
    return callers, pool


def end_callers(callers: Sequence[Caller], pool: eventlet.GreenPool) -> None:
    """Let callers end after the answers that they wait for."""
    for caller in callers:
        caller.is_ended = True
    with contextlib.suppress(eventlet.Timeout):
        with eventlet.Timeout(MAX_WAIT_S + 1):
            pool.waitall()
