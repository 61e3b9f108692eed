"""Gateway processes of the platform's program, started by tests."""

import contextlib
import itertools
import os
import pathlib
import subprocess
import sys
from collections.abc import Callable

import attrs
import eventlet
import testtools
from eventlet.green import socket
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import API_KEY, request_bytes
from tests.platform.store_standin import StoreStandin

WAIT_TIMEOUT_S = 15.0
HEAD_END = b'\r\n\r\n'
LAST_CHUNK = b'\r\n0\r\n\r\n'
# The end of a process's log that a failed test shows.
LOG_DETAIL_LENGTH = 20_000
# Each test process has its own range of ports, below the kernel's ephemeral
# ports. The port of a program that is being restarted could otherwise be taken
# by another test.
FIRST_PORT = 10_000
PORTS_PER_PROCESS = 400
PORT_RANGE_COUNT = 55
_own_ports = itertools.cycle(
    range(
        FIRST_PORT + os.getpid() % PORT_RANGE_COUNT * PORTS_PER_PROCESS,
        FIRST_PORT + (os.getpid() % PORT_RANGE_COUNT + 1) * PORTS_PER_PROCESS,
    )
)


def free_port() -> int:
    """Return a free port that the kernel does not use for connections.

    Seconds may pass before the program listens on it. An ephemeral port was
    taken by a connection of another test in that time, and the program failed
    with its address in use.
    """
    for port in _own_ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def wait_for(condition: Callable[[], object], description: str) -> None:
    """Wait until a condition is true; fail after the timeout."""
    deadline_s = clock_s() + WAIT_TIMEOUT_S
    while not condition():
        if clock_s() > deadline_s:
            raise AssertionError(f'{description}: timed out')
        eventlet.sleep(0.05)


def wait_for_secret(store: StoreStandin) -> bytes:
    """Return the secret of the links, once a process has written it."""
    wait_for(lambda: 'links/secret' in store.items, 'the secret')
    return str(store.items['links/secret'].value).encode()


@attrs.frozen
class Ports:
    """Ports of a node; a restarted process uses the same ones."""

    callers: int = attrs.field(factory=lambda: free_port())
    health: int = attrs.field(factory=lambda: free_port())
    metrics: int = attrs.field(factory=lambda: free_port())
    peers: int = attrs.field(factory=lambda: free_port())


def is_head_complete(received: bytes) -> bool:
    return HEAD_END in received


def is_answer_complete(received: bytes) -> bool:
    if b'chunked' in received.lower():
        return LAST_CHUNK in received
    return is_head_complete(received)


class Program:
    """A gateway process with its settings file and log.

    `import_path` names the packages of another checkout to run.
    """

    def __init__(
        self,
        store: StoreStandin,
        folder: str,
        ports: Ports | None = None,
        domain: str = 'a',
        store_address: str = '',
        duty_address: str = '',
        exit_delay_s: float = 0.0,
        import_path: str = '',
        more_settings: str = '',
    ) -> None:
        ports = ports or Ports()
        self.port = ports.callers
        self.health_port = ports.health
        self.peer_address = f'127.0.0.1:{ports.peers}'
        self.store_address = store_address or store.open_address()
        self.log = pathlib.Path(folder) / f'log-{self.port}'
        settings = pathlib.Path(folder) / f'settings-{self.port}.ini'
        settings.write_text(
            f'[gateway]\ninstance_id = n-{self.port}\ndomain = {domain}\n'
            f'caller_address = 127.0.0.1:{self.port}\n'
            f'health_address = 127.0.0.1:{self.health_port}\n'
            f'metrics_address = 127.0.0.1:{ports.metrics}\n'
            f'peer_address = 127.0.0.1:{ports.peers}\n'
            f'[store]\naddress = {self.store_address}\n'
            f'[duties]\naddress = {duty_address or store.address}\n'
            '[bounds]\nrevocation_ms = 5000\ndrain_ms = 2000\napply_ms = 2000\ngrace_s = 8\n'
            'retry_share = 0.2\nretry_extra = 50\nretry_window_s = 10\n'
            'duty_turn_ms = 3000\nusage_window_s = 2\nusage_late_s = 10\n'
            f'{more_settings}'
        )
        self.process = subprocess.Popen(
            [sys.executable, '-W', 'ignore', *_start_arguments(exit_delay_s)],
            env={
                **os.environ,
                'DANDELIONYOKE_BOOT': str(settings),
                'EVENTLET_NO_GREENDNS': 'yes',
                **({'PYTHONPATH': import_path} if import_path else {}),
            },
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def call(self, path: str = '/confirm/1', key: str = API_KEY) -> bytes:
        """Send a request on a new connection and return the answer."""
        return self.exchange(self.port, request_bytes(path, key))

    def wait_until_ready(self) -> None:
        """Wait until the process is ready; a failure shows the log's end."""
        try:
            wait_for(self.is_ready, 'readiness of the process')
        except AssertionError as error:
            text = self.log.read_text()[-2000:]
            status = self.process.poll()
            raise AssertionError(f'{error} ({status}): {text}') from error

    def is_ready(self) -> bool:
        """Whether the health check tells a balancer to send calls here."""
        head = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        return b' 200 ' in self.exchange(self.health_port, head)

    def exchange(self, port: int, content: bytes) -> bytes:
        """Send bytes; read until the answer's head is complete or the end."""
        return self._exchange(port, content, is_head_complete)

    def exchange_whole(self, port: int, content: bytes) -> bytes:
        """Send bytes; read a chunked answer to its end, another one's head."""
        return self._exchange(port, content, is_answer_complete)

    def _exchange(
        self, port: int, content: bytes, is_complete: Callable[[bytes], bool]
    ) -> bytes:
        try:
            sock = eventlet.connect(('127.0.0.1', port))
        except OSError:
            return b''
        received = b''
        with sock, contextlib.suppress(OSError):
            sock.settimeout(WAIT_TIMEOUT_S)
            sock.sendall(content)
            while not is_complete(received):
                data = sock.recv(65536)
                if not data:
                    break
                received += data
        return received

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def has_ended(self) -> bool:
        """Whether the process has exited."""
        return self.process.poll() is not None


def kill_after(test: testtools.TestCase, program: Program) -> None:
    """Kill a program after a test; a failure shows the end of its log."""
    test.addCleanup(program.process.wait)
    test.addCleanup(program.process.kill)
    test.addOnException(
        lambda _: test.addDetail(
            f'log of n-{program.port}',
            text_content(program.log.read_text()[-LOG_DETAIL_LENGTH:]),
        )
    )


def wait_for_members(store: StoreStandin, count: int) -> None:
    """Wait until so many nodes have their entry in the store."""
    wait_for(lambda: len(store.keys('members/')) == count, 'the members')


def _start_arguments(exit_delay_s: float) -> list[str]:
    """Return the arguments that start the program.

    The interpreter may need `exit_delay_s` more to end than it usually does.
    """
    if not exit_delay_s:
        return ['-m', 'dandelionyoke_platform']
    return [
        '-c',
        'import atexit, runpy, time\n'
        f'atexit.register(time.sleep, {exit_delay_s})\n'
        "runpy.run_module('dandelionyoke_platform', run_name='__main__')",
    ]
