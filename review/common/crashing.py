"""Engines that crash when they begin to run one certain request."""

import dataclasses
import json
import socket
import threading
import time

from standins import HEARTBEAT_S, answer, now_s, read_request, reset


@dataclasses.dataclass(frozen=True)
class CrashSettings:
    """The body that crashes an engine, and how the engine comes back.

    `keeps_id` is whether it starts again under the id that it had.
    """

    poison: bytes
    down_s: float
    work_s: float
    keeps_id: bool


class CrashingEngine:
    """An engine that crashes when it begins to run one certain request."""

    def __init__(self, record, store, name, zone, settings, crashes):
        self._record, self._store = record, store
        self._name, self._zone = name, zone
        self._settings, self._crashes = settings, crashes
        self._starts = 0
        self._channels = set()
        self._lock = threading.Lock()
        self._listener = None
        with socket.create_server(('127.0.0.1', 0)) as sock:
            self._port = sock.getsockname()[1]
        self._start()

    def _start(self):
        self._starts += 1
        self.id = self._name
        if not self._settings.keeps_id:
            self.id = f'{self._name}-{self._starts}'
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._listener = socket.create_server(
            ('127.0.0.1', self._port), backlog=256
        )
        self.is_up = True
        if self._starts == 1:
            self._report()
        self._record.write(f'{self.id}: started, born {self._born}')
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()
        threading.Thread(
            target=self._beat, args=(self._starts,), daemon=True
        ).start()

    def _report(self):
        self._seq += 1
        entry = {
            'service': 'ledger-desk',
            'address': f'127.0.0.1:{self._port}',
            'zone': self._zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }
        self._store.put(f'servers/{self.id}', json.dumps(entry).encode())

    def _beat(self, start):
        time.sleep(HEARTBEAT_S)
        while self.is_up and self._starts == start:
            self._report()
            time.sleep(HEARTBEAT_S)

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._channels.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            reader = sock.makefile('rb')
            while (request := read_request(reader)) is not None:
                self._run(request, sock)
        except (OSError, ValueError):
            return

    def _run(self, request, sock):
        if request.headers.get('target-instance') != self.id:
            head = f'HTTP/1.1 421 Wrong\r\nAttempt-Id: {request.attempt_id}\r\n'
            sock.sendall(head.encode() + b'Content-Length: 0\r\n\r\n')
            return
        if request.body == self._settings.poison:
            self._record.write(f'{self.id}: runs {request.attempt_id}, crashes')
            self._crashes.append((now_s(), self._name))
            self._crash()
            raise OSError
        time.sleep(self._settings.work_s)
        sock.sendall(answer(request.attempt_id))

    def _crash(self):
        self.is_up = False
        # A thread that waits in accept keeps the port open without this.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            channels, self._channels = self._channels, set()
        for sock in channels:
            reset(sock)
            try:
                sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            sock.close()
        old_id = self.id
        if not self._settings.keeps_id:
            threading.Timer(
                3 * HEARTBEAT_S, self._store.remove, (f'servers/{old_id}',)
            ).start()
        threading.Timer(self._settings.down_s, self._start).start()
