"""Tests of calls that are sent only while a lease is held."""

import socket

import testtools

from dandelionyoke_wire._guarded import call_guarded
from dandelionyoke_wire._transport import TransportError

WAIT_S = 5.0


def _read_to_end(sock: socket.socket) -> None:
    """Read until the end; raise the error that ended the connection."""
    while sock.recv(65536):
        continue


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
