"""Tests of exchanges with targets that fail or misbehave."""

import contextlib
import errno
import os
import subprocess  # noqa: S404 - the sender has to be killed
import sys
from collections.abc import Callable

import eventlet
import testtools
from eventlet.green import socket

from dandelionyoke_gateway import ExchangeError, RequestHead, clock_s
from dandelionyoke_gateway._errors import ExchangeTimeoutError
from dandelionyoke_gateway._target_connection import TargetConnection, connect
from dandelionyoke_links import receive, reset_on_close

HEAD = RequestHead('POST', '/a/b', (('host', 'h'),))
WAIT_S = 5.0
# More than send buffers hold.
LONG_BODY = b'x' * (16 << 20)
UNFRAMED_RESPONSE = b'HTTP/1.1 200 OK\r\n\r\nhalf of it'

# Sends a request and then sleeps until it is killed.
SENDER = """
import sys, time
from dandelionyoke_gateway import RequestHead
from dandelionyoke_gateway._target_connection import connect
from dandelionyoke_links import install_event_loop
install_event_loop()
connection = connect(sys.argv[1], 5.0)
connection.send(RequestHead('POST', '/a', (('host', 'h'),)), b'x')
print('sent', flush=True)
time.sleep(60)
"""

Script = Callable[[socket.socket], None]


def read_request(sock: socket.socket) -> bytes:
    """Read a request and return its body."""
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
    reset_on_close(sock)
    sock.close()


class TimedOutSocket:
    """A socket of which the keepalive probes timed out."""

    def __init__(self) -> None:
        self.fd = self

    def recv(self, max_bytes: int) -> bytes:
        """Raise the error of the kernel."""
        raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


def _read_to_end(sock: socket.socket) -> None:
    """Read until the end; raise the error that broke the connection."""
    while receive(sock, 65536, WAIT_S):
        continue


class TargetConnectionTest(testtools.TestCase):
    def exchange(self, script: Script) -> TargetConnection:
        """Connect to a server that runs `script` on one connection."""
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

    def body(
        self, connection: TargetConnection, request_body: bytes = b'x'
    ) -> bytes:
        deadline_s = clock_s() + WAIT_S
        connection.send(HEAD, request_body)
        connection.read_head(deadline_s)
        return connection.read_body(deadline_s, 1 << 20)

    def test_a_reset_unframed_response_is_incomplete(self) -> None:
        """Guards against passing a truncated response as complete.

        A target crashes while it sends a response without a length. The reset
        is the only sign that the response is cut off.
        """

        def script(sock: socket.socket) -> None:
            read_request(sock)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nhalf of it')
            eventlet.sleep(0.05)
            reset(sock)

        with testtools.ExpectedException(ExchangeError):
            self.body(self.exchange(script))

    def test_an_unframed_response_ends_at_connection_close(self) -> None:
        def script(sock: socket.socket) -> None:
            read_request(sock)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nall of it')
            sock.close()

        self.assertEqual(b'all of it', self.body(self.exchange(script)))

    def test_bytes_after_a_response_prevent_reuse(self) -> None:
        """Guards against passing one caller the response of another.

        A target sends a second response without a request. If the connection
        were reused, the next caller would receive it.
        """

        def script(sock: socket.socket) -> None:
            read_request(sock)
            response = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
            sock.sendall(response + response)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'ok', self.body(connection))
        self.assertFalse(connection.prepare_reuse() and connection.is_healthy())

    def test_late_bytes_prevent_reuse_of_an_idle_connection(self) -> None:
        """Guards against reuse after input arrived on an idle connection."""

        def script(sock: socket.socket) -> None:
            read_request(sock)
            response = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
            sock.sendall(response)
            eventlet.sleep(0.05)
            sock.sendall(response)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'ok', self.body(connection))
        self.assertTrue(connection.prepare_reuse())
        self.assertTrue(connection.is_healthy())
        eventlet.sleep(0.2)
        self.assertFalse(connection.is_healthy())

    def test_an_early_response_prevents_reuse_with_a_partly_sent_body(
        self,
    ) -> None:
        """Guards against reuse while a request body is partly unsent.

        A target responds before it has read a long body. The rest of that body
        is still to be sent, so the connection must not carry another request.
        """

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(b'HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno')
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        self.assertEqual(b'no', self.body(connection, b'x' * (16 << 20)))
        self.assertFalse(connection.prepare_reuse())

    def test_a_body_larger_than_the_send_buffer_arrives_complete(self) -> None:
        """Guards against large requests that time out partly sent."""

        def script(sock: socket.socket) -> None:
            size = len(read_request(sock))
            response = f'HTTP/1.1 200 OK\r\n\r\n{size}'
            sock.sendall(response.encode())
            sock.close()

        connection = self.exchange(script)
        self.assertEqual(b'16777216', self.body(connection, b'x' * (16 << 20)))

    def upload_until_reset(
        self, script: Callable[[socket.socket], None]
    ) -> TargetConnection:
        """Send a long body; return when the reset has ended the upload."""
        connection = self.exchange(script)
        connection.send(HEAD, LONG_BODY)
        connection.read_head(clock_s() + WAIT_S)
        with eventlet.Timeout(WAIT_S):
            connection._send_task.wait()
        return connection

    def test_a_reset_that_ends_the_upload_cuts_off_an_unframed_response(
        self,
    ) -> None:
        """Guards against passing a truncated response as complete.

        A target responds before it has read a long body, and resets. The
        kernel reports a reset once, here to the write; the next read returns
        an orderly end.
        """

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(UNFRAMED_RESPONSE)
            eventlet.sleep(0.05)
            reset(sock)

        connection = self.upload_until_reset(script)
        error = self.assertRaises(
            ExchangeError, connection.read_body, clock_s() + WAIT_S, 1 << 20
        )
        self.assertIn('cannot send', error.cause)

    def test_a_target_that_is_gone_cuts_off_an_unframed_early_response(
        self,
    ) -> None:
        """Guards against the orderly end that the kernel sends for a crash.

        It does so for a target that has read all that had arrived. The rest
        of the upload is then answered with a reset.
        """

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(UNFRAMED_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
            eventlet.sleep(0.05)
            reset(sock)

        connection = self.exchange(script)
        with testtools.ExpectedException(ExchangeError):
            self.body(connection, LONG_BODY)

    def test_an_unframed_early_response_is_whole_if_the_upload_goes_on(
        self,
    ) -> None:
        """Guards against refusing targets that respond early and read on."""

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(UNFRAMED_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
            eventlet.sleep(0.05)
            while sock.recv(65536):
                continue

        connection = self.exchange(script)
        self.assertEqual(b'half of it', self.body(connection, LONG_BODY))

    def test_an_unframed_early_response_waits_until_the_deadline(self) -> None:
        """Guards against a call that waits for its upload for ever."""

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(UNFRAMED_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        connection.send(HEAD, LONG_BODY)
        connection.read_head(clock_s() + WAIT_S)
        with testtools.ExpectedException(ExchangeTimeoutError):
            connection.read_body(clock_s() + 0.3, 1 << 20)

    def test_a_framed_early_response_is_whole_although_the_upload_fails(
        self,
    ) -> None:
        """Guards against losing a refusal to the reset that follows it."""

        def script(sock: socket.socket) -> None:
            sock.recv(1000)
            sock.sendall(b'HTTP/1.1 413 Large\r\ncontent-length: 2\r\n\r\nno')
            eventlet.sleep(0.05)
            reset(sock)

        connection = self.upload_until_reset(script)
        body = connection.read_body(clock_s() + WAIT_S, 1 << 20)
        self.assertEqual(b'no', body)
        self.assertFalse(connection.prepare_reuse())

    def test_a_response_that_is_read_slowly_ends_at_the_deadline(self) -> None:
        """Guards against calls that outlast their time as bytes never run out.

        Their caller reads more slowly than the target sends.
        """
        chunk = b'400\r\n' + bytes(1024) + b'\r\n'

        def script(sock: socket.socket) -> None:
            read_request(sock)
            head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            sock.sendall(head)
            with contextlib.suppress(OSError):
                while True:
                    sock.sendall(chunk)
                    eventlet.sleep(0.01)

        connection = self.exchange(script)
        connection.send(HEAD, b'x')
        deadline_s = clock_s() + 0.5
        connection.read_head(deadline_s)
        with testtools.ExpectedException(ExchangeTimeoutError):
            while clock_s() < deadline_s + 2.0:
                connection.read_chunk(deadline_s)
                eventlet.sleep(0.012)

    def test_a_silent_target_times_out_at_the_deadline(self) -> None:
        def script(sock: socket.socket) -> None:
            read_request(sock)
            eventlet.sleep(WAIT_S)

        connection = self.exchange(script)
        connection.send(HEAD, b'')
        error = self.assertRaises(
            ExchangeError, connection.read_head, clock_s() + 0.1
        )
        self.assertEqual('no response in time', error.cause)

    def test_a_connection_aborted_by_the_kernel_has_its_own_cause(self) -> None:
        """Guards against a log that hides why an order was delayed."""
        connection = TargetConnection('127.0.0.1:1', TimedOutSocket())
        error = self.assertRaises(
            ExchangeError, connection.read_head, clock_s() + WAIT_S
        )
        self.assertEqual(
            'the kernel aborted the connection: Connection timed out',
            error.cause,
        )

    def test_bytes_of_a_closed_connection_never_arrive(self) -> None:
        """Guards against an order that arrives after its lease was lost.

        An order is held back by a network partition while its sender loses
        the duty. After a normal close its bytes would arrive when the
        partition ends, after an order of the next holder.
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

    def test_bytes_of_a_killed_process_never_arrive(self) -> None:
        """Guards against orders that arrive after their sender was killed."""
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
