"""A request that crashes its engines is sent on after engines started again."""

import json
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    BOUNDS,
    Node,
    Requester,
    Store,
    answer,
    configuration,
    now_s,
    read_request,
    reset,
    run_case,
)

ENGINES = 4
HEARTBEAT_S = 1.2
# The engine is back after some seconds.
DOWN_S = 3.0
# The crashing request comes again this often, at one machine after the other.
AGAIN_S = 2.0
PLAY_S = 45.0
# Ordinary requests a second, at all machines together.
ORDINARY_PER_S = 13
# The work of an ordinary request, as the sheet gives it.
WORK_S = 0.09
# Ordinary requesters at each machine.
REQUESTERS = 2
POISON = b'the body that crashes each engine'


class CrashingEngine:
    """An engine that crashes when it begins to run one certain request."""

    def __init__(self, record, store, name, zone, keeps_id, crashes):
        self._record, self._store = record, store
        self._name, self._zone = name, zone
        self._keeps_id, self._crashes = keeps_id, crashes
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
        if not self._keeps_id:
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
        if request.body == POISON:
            self._record.write(f'{self.id}: runs {request.attempt_id}, crashes')
            self._crashes.append(now_s())
            self._crash()
            raise OSError
        time.sleep(WORK_S)
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
        if not self._keeps_id:
            threading.Timer(
                3 * HEARTBEAT_S, self._store.remove, (f'servers/{old_id}',)
            ).start()
        threading.Timer(DOWN_S, self._start).start()


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    crashes = []
    zones = ('kurasini', 'mikocheni', 'ubungo')
    for number in range(ENGINES):
        CrashingEngine(
            record, store, f'i-{number}', zones[number % 3], is_troubled, crashes
        )
    for number, zone in enumerate(zones):
        nodes.append(Node(record, store, f'front-{number}', zone, scratch))
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready')
    time.sleep(4)
    is_over = threading.Event()
    ordinary = []
    for number in range(REQUESTERS * len(nodes)):
        threading.Thread(
            target=send_ordinary,
            args=(record, number, nodes, is_over, ordinary),
            daemon=True,
        ).start()
    time.sleep(2)
    began_s = now_s()
    number = 0
    while now_s() < began_s + PLAY_S:
        node = nodes[number % len(nodes)]
        requester = Requester(record, f'poison at {node.name}', node.port)
        requester.send('/credit/poison', f'poison.{number}', POISON)
        requester.close()
        number += 1
        time.sleep(AGAIN_S)
    is_over.set()
    record.write(f'{number} sent, {len(crashes)} reached engines')
    lost = [status for status in ordinary if status != 200]
    record.write(
        f'ordinary requests: {len(ordinary)}, not answered 200: {len(lost)}'
    )
    if len(crashes) < 3:
        return []
    bound_s = crashes[2] + BOUNDS['contact_ms'] / 1000
    late = [crashed_s for crashed_s in crashes if crashed_s > bound_s]
    if len(late) <= 3:
        return []
    return [
        f'BUDGET: {len(late)} retries reached engines later than 3 s after the '
        f'request had crashed the third ({len(crashes)} crashes in all)'
    ]


def send_ordinary(record, name, nodes, is_over, ordinary):
    node = nodes[name % len(nodes)]
    requester = Requester(record, f'requester {name}', node.port)
    number = 0
    period_s = REQUESTERS * len(nodes) / ORDINARY_PER_S
    while not is_over.is_set():
        sent_s = now_s()
        attempt_id = f'ordinary.{name}.{number}'
        ordinary.append(
            requester.send('/credit/1', attempt_id, attempt_id.encode())
        )
        number += 1
        time.sleep(max(0.01, sent_s + period_s - now_s()))


run_case(FOLDER, play)
