"""Tests of calls that are sent only while a lease is held."""

import signal
import socket
import subprocess  # noqa: S404 - the sender has to be stopped
import sys
import time

import testtools

from dandelionyoke_core._orders_settings import OrdersSettings
from dandelionyoke_wire._guarded import call_guarded
from dandelionyoke_wire._transport import TransportError
from tests.links.partition import cut_after_handshake, heal

WAIT_S = 5.0
# An unacknowledged order is sent again at most this long after the last time.
RETRANSMIT_S = 3.0

# Sends an order and waits for its response.
SENDER = """
import sys
from dandelionyoke_wire import _guarded
class Connection(_guarded.GuardedConnection):
    def send(self, data):
        super().send(data)
        print('sent', flush=True)
_guarded.GuardedConnection = Connection
_guarded.call_guarded('POST', sys.argv[1], {'fence': 9}, lambda: True, 5.0)
"""


def _read_to_end(sock: socket.socket) -> None:
    """Read until the end; raise the error that ended the connection."""
    while sock.recv(65536):
        continue


def _first_bytes(listener: socket.socket) -> bytes:
    """Accept a connection and read; return b'' if nothing arrives."""
    listener.settimeout(RETRANSMIT_S)
    try:
        sock, _ = listener.accept()
    except TimeoutError:
        return b''
    with sock:
        sock.settimeout(RETRANSMIT_S)
        try:
            return sock.recv(65536)
        except OSError:
            return b''


class GuardedCallTest(testtools.TestCase):
    def test_a_timed_out_order_is_never_delivered(self) -> None:
        """A timed-out order must not arrive after a partition heals."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        url = f'http://{host}:{port}/targets/orders'
        with testtools.ExpectedException(TransportError):
            call_guarded('POST', url, {'fence': 9}, lambda: True, 0.2)
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        sock.settimeout(WAIT_S)
        self.assertRaises(ConnectionResetError, _read_to_end, sock)


class CutAfterHandshakeTest(testtools.TestCase):
    """The path is cut between the handshake and the order's arrival.

    A new holder sends the order again after `takeover_delay_s`. The old one
    must not arrive after that.
    """

    def bytes_after_takeover(self, *, is_stopped: bool) -> bytes:
        """Heal the path when the new holder acts; return what arrives."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        cut_after_handshake(listener)
        host, port = listener.getsockname()
        sender = subprocess.Popen(  # noqa: S603 - our own program
            [sys.executable, '-c', SENDER, f'http://{host}:{port}/orders'],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        with sender:
            self.addCleanup(sender.kill)
            head_and_body = [sender.stdout.readline() for _ in range(2)]
            self.assertEqual([b'sent\n'] * 2, head_and_body)
            if is_stopped:
                sender.send_signal(signal.SIGSTOP)
            time.sleep(OrdersSettings().takeover_delay_s)
            heal(listener)
            arrived = _first_bytes(listener)
            sender.kill()
        return arrived

    def test_an_order_of_a_running_process_does_not_arrive(self) -> None:
        self.assertEqual(b'', self.bytes_after_takeover(is_stopped=False))

    def test_an_order_of_a_stopped_process_does_not_arrive(self) -> None:
        self.assertEqual(b'', self.bytes_after_takeover(is_stopped=True))
