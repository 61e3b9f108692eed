"""Processes of the platform's program, started by tests."""

import contextlib
import itertools
import os
import pathlib
import subprocess
import sys
from collections.abc import Callable

import attrs
import eventlet
from eventlet.green import socket

from dandelionyoke_gateway import clock_s
from tests.platform.path import KEY, request
from tests.platform.store_standin import StoreStandin

WAIT_S = 15.0
# Each test process has ports of its own, below the range from which the kernel
# gives ports to connections. One of a program that is just being started again
# would otherwise be given to another test.
FIRST_PORT = 10_000
PORTS_EACH = 400
SHARES = 55
_own_ports = itertools.cycle(
    range(
        FIRST_PORT + os.getpid() % SHARES * PORTS_EACH,
        FIRST_PORT + (os.getpid() % SHARES + 1) * PORTS_EACH,
    )
)


def free_port() -> int:
    """Choose a port that no outgoing connection is given meanwhile.

    Between the choice and the program's start seconds may pass. One of the
    kernel's own choosing was taken by a connection of another test by then,
    and the program ended with its address in use.
    """
    for port in _own_ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def wait_for(condition: Callable[[], object], what: str) -> None:
    """Wait for something to come true."""
    until_s = clock_s() + WAIT_S
    while not condition():
        if clock_s() > until_s:
            raise AssertionError(f'{what} did not come')
        eventlet.sleep(0.05)


@attrs.frozen
class Ports:
    """Where a node listens; a restarted process takes the same ones."""

    callers: int = attrs.field(factory=lambda: free_port())
    health: int = attrs.field(factory=lambda: free_port())
    metrics: int = attrs.field(factory=lambda: free_port())
    peers: int = attrs.field(factory=lambda: free_port())


class Program:
    """One process of the program."""

    def __init__(
        self,
        store: StoreStandin,
        folder: str,
        ports: Ports | None = None,
        domain: str = 'a',
        store_address: str = '',
    ) -> None:
        ports = ports or Ports()
        self.port = ports.callers
        self.health = ports.health
        self.store_address = store_address or store.open_address()
        self.log = pathlib.Path(folder) / f'log-{self.port}'
        settings = pathlib.Path(folder) / f'settings-{self.port}.ini'
        settings.write_text(
            f'[gateway]\ninstance_id = n-{self.port}\ndomain = {domain}\n'
            f'caller_address = 127.0.0.1:{self.port}\n'
            f'health_address = 127.0.0.1:{self.health}\n'
            f'metrics_address = 127.0.0.1:{ports.metrics}\n'
            f'peer_address = 127.0.0.1:{ports.peers}\n'
            f'[store]\naddress = {self.store_address}\n'
            f'[duties]\naddress = {store.address}\n'
            '[bounds]\nrevocation_ms = 5000\ndrain_ms = 2000\napply_ms = 2000\ngrace_s = 8\n'
            'retry_share = 0.2\nretry_extra = 50\nretry_window_s = 10\n'
            'duty_turn_ms = 3000\nusage_window_s = 2\nusage_late_s = 10\n'
        )
        self.process = subprocess.Popen(
            [sys.executable, '-W', 'ignore', '-m', 'dandelionyoke_platform'],
            env={
                **os.environ,
                'DANDELIONYOKE_BOOT': str(settings),
                'EVENTLET_NO_GREENDNS': 'yes',
            },
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def call(self, path: str = '/confirm/1', key: str = KEY) -> bytes:
        """Send a request on a connection of its own; read its answer."""
        return self.exchange(self.port, request(path, key))

    def wait_until_ready(self) -> None:
        """Wait for a ready process; show the end of its log otherwise."""
        try:
            wait_for(self.is_ready, 'a ready process')
        except AssertionError as late:
            text = self.log.read_text()[-2000:]
            status = self.process.poll()
            raise AssertionError(f'{late} ({status}): {text}') from late

    def is_ready(self) -> bool:
        """Whether the balancer would send callers here."""
        head = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        return b' 200 ' in self.exchange(self.health, head)

    def exchange(self, port: int, content: bytes) -> bytes:
        """Send bytes; read until the answer's body is there or the end."""
        try:
            sock = eventlet.connect(('127.0.0.1', port))
        except OSError:
            return b''
        received = b''
        with sock, contextlib.suppress(OSError):
            sock.settimeout(WAIT_S)
            sock.sendall(content)
            while b'\r\n\r\n' not in received:
                more = sock.recv(65536)
                if not more:
                    break
                received += more
        return received

    def end(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Whether the process is gone."""
        return self.process.poll() is not None
