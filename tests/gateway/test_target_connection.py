"""One exchange with a target whose connection does not behave."""

import errno
import os
import subprocess  # noqa: S404 - the sender has to be killed
import sys
from collections.abc import Callable

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_gateway import ExchangeError, RequestHead, clock_s
from dandelionyoke_gateway._target_connection import TargetConnection, connect
from dandelionyoke_links import receive, reset_at_end

HEAD = RequestHead('POST', '/a/b', (('host', 'h'),))
WAIT_S = 5.0

# Sends a request and lives on until it is killed.
SENDER = """
import sys, time
from dandelionyoke_gateway import RequestHead
from dandelionyoke_gateway._target_connection import connect
connection = connect(sys.argv[1], 5.0)
connection.send(RequestHead('POST', '/a', (('host', 'h'),)), b'x')
print('sent', flush=True)
time.sleep(60)
"""

Script = Callable[[socket.socket], None]


def read_request(sock: socket.socket) -> bytes:
    """Read a request with its body."""
    content = b''
    while b'\r\n\r\n' not in content:
        content += sock.recv(65536)
    head, _, body = content.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    while len(body) < length:
        body += sock.recv(65536)
    return body


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    reset_at_end(sock)
    sock.close()


class GivenUpSocket:
    """A socket whose keepalive probes had no answer."""

    def __init__(self) -> None:
        self.fd = self

    def recv(self, most_bytes: int) -> bytes:
        """Fail as the kernel does."""
        raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


def _read_to_end(sock: socket.socket) -> None:
    """Read all that comes; raise what broke the connection off."""
    while receive(sock, 65536, WAIT_S):
        continue


class TargetConnectionTest(testtools.TestCase):
    def exchange(self, script: Script) -> TargetConnection:
        """Connect to a server that plays a script on one connection."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            sock, _ = listener.accept()
            script(sock)

        server = eventlet.spawn(serve)
        self.addCleanup(server.kill)
        host, port = listener.getsockname()
        connection = connect(f'{host}:{port}', 1.0)
        self.addCleanup(connection.close)
        return connection

    def body(self, connection: TargetConnection, sent: bytes = b'x') -> bytes:
        until_s = clock_s() + WAIT_S
        connection.send(HEAD, sent)
        connection.read_head(until_s)
        return connection.read_body(until_s, 1 << 20)

    def test_an_unframed_answer_that_is_reset_is_not_whole(self) -> None:
        """A target crashes while it sends an answer without a length.

        Its reset is the only sign that the answer is cut. Taken for the end,
        the caller would get half an answer as a whole one.
        """

        def script(sock: socket.socket) -> None:
            read_request(sock)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nhalf of it')
            eventlet.sleep(0.05)
            reset(sock)

        with testtools.ExpectedException(ExchangeError):
            self.body(self.exchange(script))

    def test_an_unframed_answer_ends_with_its_connection(self) -> None:
        def script(sock: socket.socket) -> None:
            read_request(sock)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nall of it')
            sock.close()

        self.assertEqual(b'all of it', self.body(self.exchange(script)))

    def test_bytes_behind_an_answer_end_its_connection(self) -> None:
        """A target sends a second answer that nobody asked for.

        Were the connection used again, the next caller would get it.
        """

        def script(sock: socket.socket) -> None:
            read_request(sock)
            answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
            sock.sendall(answer + answer)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'ok', self.body(connection))
        self.assertFalse(connection.prepare_reuse() and connection.is_healthy())

    def test_late_bytes_end_an_idle_connection(self) -> None:
        """The second answer comes only when the connection is idle."""

        def script(sock: socket.socket) -> None:
            read_request(sock)
            answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
            sock.sendall(answer)
            eventlet.sleep(0.05)
            sock.sendall(answer)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'ok', self.body(connection))
        self.assertTrue(connection.prepare_reuse())
        self.assertTrue(connection.is_healthy())
        eventlet.sleep(0.2)
        self.assertFalse(connection.is_healthy())

    def test_an_early_answer_does_not_leave_half_a_body_behind(self) -> None:
        """A target answers before it has read a long body.

        The rest of that body is still to be sent; the connection must not
        take another request in its place.
        """

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(b'HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno')
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'no', self.body(connection, b'x' * (16 << 20)))
        self.assertFalse(connection.prepare_reuse())

    def test_a_body_beyond_the_kernels_buffer_arrives_whole(self) -> None:
        """Guards against long requests that time out half sent."""

        def script(sock: socket.socket) -> None:
            size = len(read_request(sock))
            answer = f'HTTP/1.1 200 OK\r\n\r\n{size}'
            sock.sendall(answer.encode())
            sock.close()

        connection = self.exchange(script)
        self.assertEqual(b'16777216', self.body(connection, b'x' * (16 << 20)))

    def test_a_silent_target_ends_with_the_time_of_the_call(self) -> None:
        def script(sock: socket.socket) -> None:
            read_request(sock)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        connection.send(HEAD, b'')
        error = self.assertRaises(
            ExchangeError, connection.read_head, clock_s() + 0.1
        )
        self.assertEqual('no response in time', error.cause)

    def test_a_connection_that_the_kernel_gave_up_is_told_apart(self) -> None:
        """Guards against late orders whose log does not tell what ended them."""
        connection = TargetConnection('127.0.0.1:1', GivenUpSocket())
        error = self.assertRaises(
            ExchangeError, connection.read_head, clock_s() + WAIT_S
        )
        self.assertEqual(
            'the kernel aborted the connection: Connection timed out',
            error.cause,
        )

    def test_what_was_given_up_never_arrives(self) -> None:
        """An order waits behind a cut link while its holder loses the duty.

        Closed in the usual way, its bytes would arrive once the link has
        healed, after an order of the next holder.
        """
        received: list[bytes | OSError] = []

        def script(sock: socket.socket) -> None:
            eventlet.sleep(0.2)
            sock.settimeout(WAIT_S)
            while True:
                try:
                    received.append(sock.fd.recv(65536))
                except BlockingIOError:
                    eventlet.sleep(0.01)
                    continue
                except OSError as end:
                    received.append(end)
                    return
                if not received[-1]:
                    return

        connection = self.exchange(script)
        connection.send(HEAD, b'x' * (16 << 20))
        connection.close()
        eventlet.sleep(0.6)
        self.assertIsInstance(received[-1], ConnectionResetError)

    def test_what_a_killed_process_sent_never_arrives(self) -> None:
        """Guards against orders that outlive their killed holder."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        sender = subprocess.Popen(  # noqa: S603 - our own program
            [sys.executable, '-W', 'ignore', '-c', SENDER, f'{host}:{port}'],
            stdout=subprocess.PIPE,
            text=True,
        )
        with sender:
            self.assertEqual('sent\n', sender.stdout.readline())
            sender.kill()
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        self.assertRaises(ConnectionResetError, _read_to_end, sock)

    def test_a_refused_connection_was_not_sent(self) -> None:
        listener = eventlet.listen(('127.0.0.1', 0))
        host, port = listener.getsockname()
        listener.close()
        error = self.assertRaises(ExchangeError, connect, f'{host}:{port}', 1.0)
        self.assertFalse(error.sent)
