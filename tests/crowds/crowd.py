"""Clients that don't behave, as a process that stays until it is ended.

`python -m tests.crowds.crowd KIND PORT COUNT BODY_BYTES PATH [HEADER...]`
connects COUNT clients of a kind to 127.0.0.1:PORT, sends for SEND_S seconds,
prints `SENT` and keeps the connections open until its input closes.
"""

import contextlib
import itertools
import sys
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import attrs
import eventlet
from eventlet.green import socket

SEND_S = 6.0
RETRY_DELAY_S = 0.2
# What a body inside the limit lacks, so that it is never complete.
MISSING_BYTES = 64
BLOCK_BYTES = 65536
BUFFER_BYTES = 4096
ANNOUNCED_BYTES = 10**12


@attrs.frozen
class Target:
    """Where a crowd sends its requests, and how large a body may be."""

    port: int
    body_bytes: int
    path: str
    headers: tuple[str, ...]

    def head(self, *more: str) -> bytes:
        """Return the head of a request; its attempt has an id of its own."""
        lines = (
            f'POST {self.path} HTTP/1.1',
            'Host: shop.example',
            f'Attempt-Id: crowd-{next(_numbers)}',
            *self.headers,
            *more,
        )
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


_numbers = itertools.count()
Bytes = Iterator[bytes]


def nothing(target: Target) -> Bytes:
    """Connect and send nothing."""
    yield from ()


def head_without_end(target: Target) -> Bytes:
    """Send a head that stays below its limit and never ends."""
    yield target.head()[:-2]
    yield b'X-More: ' + b'x' * 12000
    yield from itertools.repeat(b'')


def small_header_lines(target: Target) -> Bytes:
    """Send a complete head of very many lines; its body lacks a byte."""
    line = 'ab:cd\r\n'
    count = (15000 - len(target.head())) // len(line)
    head = target.head('Content-Length: 2', (line * count).rstrip())
    yield head + b'x'
    yield from itertools.repeat(b'')


def announced(target: Target) -> Bytes:
    """Announce a body and stop shortly before its end."""
    yield target.head(f'Content-Length: {target.body_bytes}')
    yield from _blocks(target.body_bytes - MISSING_BYTES)
    yield from itertools.repeat(b'x', MISSING_BYTES - 1)


def one_chunk(target: Target) -> Bytes:
    """Send a body as one chunk that lacks its end."""
    yield target.head('Transfer-Encoding: chunked')
    yield b'%x\r\n' % target.body_bytes
    yield from _blocks(target.body_bytes - MISSING_BYTES)


def endless_chunks(target: Target) -> Bytes:
    """Send chunks without end."""
    yield target.head('Transfer-Encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (BLOCK_BYTES, b'x' * BLOCK_BYTES)
    yield from itertools.repeat(chunk)


def chunks_of_2(target: Target) -> Bytes:
    """Send chunks of 2 bytes to just below the limit."""
    yield from _small_chunks(target, 2)


def chunks_of_17(target: Target) -> Bytes:
    """Send chunks of 17 bytes to just below the limit."""
    yield from _small_chunks(target, 17)


def chunk_line_without_end(target: Target) -> Bytes:
    """Send a line with the size of a chunk that never ends."""
    yield target.head('Transfer-Encoding: chunked')
    yield b'1;'
    yield from itertools.repeat(b'x' * BLOCK_BYTES)


def trailers_without_end(target: Target) -> Bytes:
    """Send the lines after the last chunk without end."""
    yield target.head('Transfer-Encoding: chunked')
    yield b'0\r\nX-Trailer: '
    yield from itertools.repeat(b'x' * BLOCK_BYTES)


def far_over_the_limit(target: Target) -> Bytes:
    """Announce far more than the limit and send on after the refusal."""
    yield target.head(f'Content-Length: {ANNOUNCED_BYTES}')
    yield from itertools.repeat(b'x' * BLOCK_BYTES)


def whole_bodies(target: Target) -> Bytes:
    """Send one whole request with a body of the limit."""
    yield target.head(f'Content-Length: {target.body_bytes}')
    yield from _blocks(target.body_bytes)


def unread_answers(target: Target) -> Bytes:
    """Send whole requests without reading an answer."""
    while True:
        yield target.head('Content-Length: 4') + b'body'


def _blocks(size: int) -> Bytes:
    for start in range(0, size, BLOCK_BYTES):
        yield b'x' * min(BLOCK_BYTES, size - start)


def _small_chunks(target: Target, size: int) -> Bytes:
    yield target.head('Transfer-Encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    block = chunk * 4096
    for _ in range((target.body_bytes - MISSING_BYTES) // (4096 * size)):
        yield block
    yield from itertools.repeat(b'')


KINDS: Mapping[str, Callable[[Target], Bytes]] = MappingProxyType(
    {
        kind.__name__: kind
        for kind in (
            nothing,
            head_without_end,
            small_header_lines,
            announced,
            one_chunk,
            endless_chunks,
            chunks_of_2,
            chunks_of_17,
            chunk_line_without_end,
            trailers_without_end,
            far_over_the_limit,
            whole_bodies,
            unread_answers,
        )
    }
)


class Client:
    """One client; it connects again when its connection ends."""

    def __init__(self, target: Target, kind: Callable[[Target], Bytes]) -> None:
        self._target = target
        self._kind = kind

    def run(self) -> None:
        """Connect and send until the process ends."""
        while True:
            with contextlib.suppress(OSError):
                self._send()
            eventlet.sleep(RETRY_DELAY_S)

    def _send(self) -> None:
        address = ('127.0.0.1', self._target.port)
        with socket.socket() as sock:
            # The kernel must not read an answer for its client.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            sock.connect(address)
            for content in self._kind(self._target):
                if len(content) > 1:
                    sock.settimeout(None)
                    sock.sendall(content)
                    eventlet.sleep(0)
                    continue
                if self._has_ended(sock):
                    return
                if content:
                    sock.sendall(content)
                eventlet.sleep(1.0)
            while not self._has_ended(sock):
                eventlet.sleep(1.0)

    def _has_ended(self, sock: socket.socket) -> bool:
        """Whether the other end has closed; its answer stays unread."""
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return True
        # The state of a connection that both ends keep open.
        return bool(info[0] != 1)


def main(arguments: list[str]) -> None:
    """Run a crowd until the input closes."""
    kind, port, count, body_bytes, path, *headers = arguments
    target = Target(int(port), int(body_bytes), path, tuple(headers))
    for _ in range(int(count)):
        eventlet.spawn(Client(target, KINDS[kind]).run)
    eventlet.sleep(SEND_S)
    sys.stdout.write('SENT\n')
    sys.stdout.flush()
    eventlet.hubs.trampoline(sys.stdin.fileno(), read=True)


if __name__ == '__main__':
    main(sys.argv[1:])
