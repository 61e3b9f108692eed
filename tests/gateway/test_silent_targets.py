"""Tests of exchanges with sound targets whose packets are lost for a while."""

import contextlib
import enum
import itertools
import math

import attrs
import eventlet
import testtools
from eventlet.event import Event
from eventlet.green import socket
from testtools import matchers

from dandelionyoke_gateway import (
    ExchangeError,
    RequestHead,
    TargetPool,
    clock_s,
)
from dandelionyoke_gateway._target_connection import TargetConnection
from dandelionyoke_links import PATIENT, _sockets
from tests.links import partition

HEAD = RequestHead('POST', '/a/b', (('host', 'h'),))
BODY = b'the body'
# More than the buffers of both ends hold.
LARGE_BODY = b'x' * (16 << 20) + BODY
DEADLINE_S = 20.0
# Between the steps of a target, shorter than any silence.
STEP_S = 0.2
SILENCES_S = (1.0, 1.5, 2.5)
# Probes give an idle connection up this long after its last packet.
IDLE_LIMIT_S = _sockets.KEEPALIVE_IDLE_S + _sockets.KEEPALIVE_INTERVAL_S
USER_TIMEOUT_S = PATIENT.user_timeout_ms / 1000
EVENTS = (b'first', b'second', b'third')


@enum.unique
class Moment(enum.Enum):
    """When the path to a target falls silent."""

    REQUEST_SENT = 'request sent'
    REQUEST_ARRIVED = 'request arrived'
    HEAD_READ = 'head read'
    EVENT_READ = 'event read'


@enum.unique
class Lost(enum.Enum):
    """Whose packets are lost."""

    OURS = 'ours'
    THEIRS = 'theirs'
    BOTH = 'both'


@attrs.frozen
class Silence:
    """A silence of the path of one connection."""

    moment: Moment
    lost: Lost
    duration_s: float
    is_kept: bool

    def __str__(self) -> str:
        age = 'kept' if self.is_kept else 'new'
        return f'{self.lost.value}, {self.duration_s} s, {age} connection'


A_SILENCE = Silence(Moment.REQUEST_SENT, Lost.BOTH, math.inf, True)


class StreamingTarget:
    """Accepts one connection and answers each request with a stream."""

    def __init__(self) -> None:
        self._listener = eventlet.listen(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self.sock: socket.socket | None = None
        self.request_arrived = Event()
        self._thread = eventlet.spawn(self._serve)

    def close(self) -> None:
        """End the connection."""
        self._thread.kill()
        self._listener.close()
        if self.sock is not None:
            self.sock.close()

    def _serve(self) -> None:
        self.sock, _ = self._listener.accept()
        while _read_request(self.sock):
            self.request_arrived.send()
            self.request_arrived = Event()
            eventlet.sleep(STEP_S)
            self.sock.sendall(
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            )
            for event in EVENTS:
                eventlet.sleep(STEP_S)
                self.sock.sendall(b'%x\r\n%s\r\n' % (len(event), event))
            self.sock.sendall(b'0\r\n\r\n')


class SilentExchange:
    """One exchange whose path falls silent at a moment and goes on later."""

    def __init__(self, silence: Silence) -> None:
        self._silence = silence
        self._target = StreamingTarget()
        self._pool = TargetPool()
        self._call_ids = map(str, itertools.count())

    def use_dead_connection(self, idle_s: float) -> tuple[bool, float]:
        """Make an exchange after the path was cut for good for some time.

        Returns whether a new connection was made for it, and how long it took
        to fail.
        """
        try:
            self._exchange(None)
            partition.cut(self._target.sock)
            eventlet.sleep(idle_s)
            started_s = clock_s()
            with self._pool.acquire(
                self._target.address, next(self._call_ids)
            ) as connection:
                if connection.is_new:
                    return True, 0.0
                connection.send(HEAD, BODY)
                with contextlib.suppress(ExchangeError):
                    connection.read_head(clock_s() + DEADLINE_S)
            return False, clock_s() - started_s
        finally:
            self._target.close()

    def run(self) -> str:
        """Return what was read of the answer, or how the exchange failed."""
        try:
            if self._silence.is_kept:
                self._exchange(None)
            return self._exchange(self._silence.moment)
        except ExchangeError as error:
            return error.cause
        finally:
            self._pool.close_idle(self._target.address)
            self._target.close()

    def _exchange(self, moment: Moment | None) -> str:
        deadline_s = clock_s() + DEADLINE_S
        with self._pool.acquire(
            self._target.address, next(self._call_ids)
        ) as connection:
            # Until the target has accepted the connection.
            eventlet.sleep(STEP_S)
            arrived = self._target.request_arrived
            self._reach(Moment.REQUEST_SENT, moment, connection)
            connection.send(HEAD, BODY)
            if moment is Moment.REQUEST_ARRIVED:
                arrived.wait()
            self._reach(Moment.REQUEST_ARRIVED, moment, connection)
            connection.read_head(deadline_s)
            self._reach(Moment.HEAD_READ, moment, connection)
            content = connection.read_chunk(deadline_s) or b''
            self._reach(Moment.EVENT_READ, moment, connection)
            content += connection.read_body(deadline_s, 1 << 20)
        return content.decode()

    def _reach(
        self,
        moment: Moment,
        silent_at: Moment | None,
        connection: TargetConnection,
    ) -> None:
        """Fall silent if this is the moment."""
        if moment is not silent_at:
            return
        ends = []
        if self._silence.lost is not Lost.OURS:
            ends.append(connection._sock)
        if self._silence.lost is not Lost.THEIRS:
            ends.append(self._target.sock)
        for end in ends:
            partition.cut(end)
            eventlet.spawn_after(self._silence.duration_s, _heal, end)


def _heal(sock: socket.socket) -> None:
    # The exchange may have ended before.
    with contextlib.suppress(OSError):
        partition.heal(sock)


def _read_request(sock: socket.socket) -> bool:
    """Read one request; False if the connection has ended."""
    end = b''
    while end != BODY:
        part = sock.recv(65536)
        if not part:
            return False
        end = (end + part)[-len(BODY) :]
    return True


class SilentTargetTest(testtools.TestCase):
    def failures_at(self, moment: Moment) -> dict[str, str]:
        """Run an exchange for each kind of silence; return what was not whole.

        The exchanges run at the same time.
        """
        kinds = itertools.product(Lost, SILENCES_S, (False, True))
        exchanges = {}
        for lost, duration_s, is_kept in kinds:
            silence = Silence(moment, lost, duration_s, is_kept)
            exchanges[str(silence)] = eventlet.spawn(
                SilentExchange(silence).run
            )
        whole = b''.join(EVENTS).decode()
        outcomes = {name: run.wait() for name, run in exchanges.items()}
        return {
            name: outcome
            for name, outcome in outcomes.items()
            if outcome != whole
        }

    def test_a_silence_before_the_request_arrives_ends_no_exchange(
        self,
    ) -> None:
        """Guards against a call lost as its target is silent for a second."""
        self.assertEqual({}, self.failures_at(Moment.REQUEST_SENT))

    def test_a_silence_before_the_head_ends_no_exchange(self) -> None:
        """Guards against a running call lost to a second's silence."""
        self.assertEqual({}, self.failures_at(Moment.REQUEST_ARRIVED))

    def test_a_silence_before_the_first_event_ends_no_exchange(self) -> None:
        """Guards against a begun answer cut off by a second's silence."""
        self.assertEqual({}, self.failures_at(Moment.HEAD_READ))

    def test_a_silence_between_events_ends_no_exchange(self) -> None:
        """Guards against a stream cut off by a second's silence."""
        self.assertEqual({}, self.failures_at(Moment.EVENT_READ))


class PausedTargetTest(testtools.TestCase):
    def test_a_target_that_stops_reading_gets_a_whole_request(self) -> None:
        """Guards against a large request cut off as its target pauses."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        target = eventlet.spawn(_read_late, listener, max(SILENCES_S))
        self.addCleanup(target.kill)
        host, port = listener.getsockname()
        with TargetPool().acquire(f'{host}:{port}', 'a1') as connection:
            connection.send(HEAD, LARGE_BODY)
            connection.read_head(clock_s() + DEADLINE_S)
        self.assertTrue(target.wait())


def _read_late(listener: socket.socket, pause_s: float) -> bool:
    """Answer a request that is read after a pause."""
    sock, _ = listener.accept()
    eventlet.sleep(pause_s)
    is_read = _read_request(sock)
    sock.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
    return is_read


class DeadTargetTest(testtools.TestCase):
    def test_a_dead_idle_connection_is_not_used_for_long(self) -> None:
        """Guards against calls that wait on connections known to be dead."""
        exchange = SilentExchange(A_SILENCE)
        is_new, _ = exchange.use_dead_connection(IDLE_LIMIT_S + STEP_S)
        self.assertTrue(is_new)

    def test_a_target_that_stays_silent_is_given_up(self) -> None:
        """Guards against an exchange that only its caller's end ends."""
        exchange = SilentExchange(A_SILENCE)
        is_new, elapsed_s = exchange.use_dead_connection(idle_s=0)
        self.assertFalse(is_new)
        self.assertThat(elapsed_s, matchers.GreaterThan(USER_TIMEOUT_S))
        self.assertThat(elapsed_s, matchers.LessThan(USER_TIMEOUT_S + 1))


class SilenceLimitsTest(testtools.TestCase):
    def test_a_call_outlasts_a_retransmission_after_the_longest_silence(
        self,
    ) -> None:
        """Guards against limits that do not fit together."""
        probing_s = (
            _sockets.KEEPALIVE_IDLE_S
            + PATIENT.keepalive_probes * _sockets.KEEPALIVE_INTERVAL_S
        )
        self.assertThat(
            min(probing_s, USER_TIMEOUT_S),
            matchers.Not(matchers.LessThan(2 * _sockets.MAX_SILENCE_S)),
        )
        self.assertEqual(max(SILENCES_S), _sockets.MAX_SILENCE_S)
