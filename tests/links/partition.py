"""A network path that a test cuts, with the kernel's own filter."""

import ctypes
import socket
import struct

# Linux socket options that Python does not name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27

# Instructions of a classic packet filter: code, two jumps, operand.
Instruction = tuple[int, int, int, int]

LOAD_TCP_FLAGS: Instruction = (0x30, 0, 0, 13)
ACCEPT_IF_SYN: Instruction = (0x45, 0, 1, 0x02)
ACCEPT: Instruction = (0x06, 0, 0, 0xFFFFFFFF)
DROP: Instruction = (0x06, 0, 0, 0)


def cut_after_handshake(listener: socket.socket) -> None:
    """Drop all that a peer sends, except its request for a connection.

    The peer's `connect` succeeds; nothing that it sends afterwards arrives.
    """
    _attach(listener, (LOAD_TCP_FLAGS, ACCEPT_IF_SYN, ACCEPT, DROP))


def cut(sock: socket.socket) -> None:
    """Drop all that the peer of a connection sends."""
    _attach(sock, (DROP,))


def heal(sock: socket.socket) -> None:
    """Let packets pass again."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def _attach(sock: socket.socket, program: tuple[Instruction, ...]) -> None:
    content = b''.join(struct.pack('HBBI', *step) for step in program)
    buffer = ctypes.create_string_buffer(content)
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack('HP', len(program), ctypes.addressof(buffer)),
    )
