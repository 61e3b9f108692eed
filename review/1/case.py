"""A second answer that comes late is taken for a refusal of a running call."""

import collections
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    Engine,
    Node,
    Requester,
    Store,
    configuration,
    now_s,
    run_case,
)

SEED = 1
NODES = 24
ENGINES = 2
SLOTS = 6
QUEUE = 2
WORK_S = 0.09
# Garble windows, and how many of the answers of how many engines are followed
# by a second one in them.
GARBLE_AT_S = tuple(4.0 + 6.0 * number for number in range(13))
GARBLE_FOR_S = 5.0
GARBLE_SHARE = 0.6
GARBLE_X = 0.03
PLAY_S = 82.0
REQUESTERS = 24
PAUSE_S = 0.02


class FullEngine:
    """Work of an engine with few slots that refuses what it has no room for."""

    def __init__(self, record, runs, is_garbling):
        self._record, self._runs = record, runs
        self._is_garbling = is_garbling
        self._random = random.Random(SEED)
        self._room = threading.Condition()
        self._running = self._queued = 0
        self._extras = {}
        self.name = ''
        self.refusals = 0
        self.second_answers = 0

    def work(self, request, sock):
        """Run or refuse a request; a second answer may come before."""
        extra = self._extras.pop(sock, None)
        if extra is not None:
            self.second_answers += 1
            self._record.write(f'{self.name}: second answer {extra[:110]}')
            sock.sendall(extra)
        data = self._refuse_or_run(request)
        if self._is_garbling() and self._random.random() < GARBLE_X:
            self._extras[sock] = data
        return data

    def _refuse_or_run(self, request):
        attempt_id = request.attempt_id
        with self._room:
            if self._running >= SLOTS:
                if self._queued >= QUEUE:
                    self.refusals += 1
                    self._record.write(f'{self.name}: refuses {attempt_id}')
                    return self._answer(attempt_id, '503 Full', False)
                self._queued += 1
                while self._running >= SLOTS:
                    self._room.wait()
                self._queued -= 1
            self._running += 1
        self._record.write(f'{self.name}: runs {attempt_id}')
        self._runs[attempt_id].append(self.name)
        time.sleep(WORK_S)
        with self._room:
            self._running -= 1
            self._room.notify()
        return self._answer(attempt_id, '200 OK', True)

    def _answer(self, attempt_id, status, is_run):
        fact = f'Response-Signature: sig.{attempt_id}'
        if not is_run:
            fact = 'Not-Executed: 1'
        load = f'{self._running},{self._queued},{SLOTS},100'
        return (
            f'HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\n{fact}\r\n'
            f'Server-Load: {load}\r\nContent-Length: 0\r\n\r\n'
        ).encode()


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    runs = collections.defaultdict(list)
    began_s = None

    def is_garbling():
        if began_s is None or not is_troubled:
            return False
        since_s = now_s() - began_s
        return any(at < since_s < at + GARBLE_FOR_S for at in GARBLE_AT_S)

    works = []
    for number in range(ENGINES):
        is_faulty = number < int(ENGINES * GARBLE_SHARE)
        engine_work = FullEngine(
            record, runs, is_garbling if is_faulty else lambda: False
        )
        zone = ('zagreb-a', 'zagreb-b')[number % 2]
        engine = Engine(
            record, store, f'i-{number}', 'ledger-desk', zone, engine_work.work
        )
        engine_work.name = engine.name
        works.append(engine_work)
    for number in range(NODES):
        zone = ('zagreb-a', 'zagreb-b')[number % 2]
        nodes.append(Node(record, store, f'front-{number}', zone, scratch))
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready')
    time.sleep(6)
    is_over = threading.Event()
    refused = set()
    threads = [
        threading.Thread(
            target=send_always, args=(record, number, nodes, is_over, refused)
        )
        for number in range(REQUESTERS)
    ]
    began_s = now_s()
    for thread in threads:
        thread.start()
    time.sleep(PLAY_S)
    is_over.set()
    for thread in threads:
        thread.join(10)
    twice = {name: places for name, places in runs.items() if len(places) > 1}
    record.write(
        f'{len(runs)} requests ran, {sum(w.refusals for w in works)} refusals, '
        f'{sum(w.second_answers for w in works)} second answers'
    )
    return [
        f'TWICE: {name} ran {len(places)} times'
        for name, places in sorted(twice.items())
    ] + [
        f'REFUSED: {name} was answered 503 and ran'
        for name in sorted(refused & runs.keys())
    ]


def send_always(record, number, nodes, is_over, refused):
    node = nodes[number % len(nodes)]
    requester = Requester(record, f'requester {number}', node.port)
    count = 0
    while not is_over.is_set():
        attempt_id = f'a{number}.{count}'
        if requester.send('/credit/1', attempt_id) == 503:
            refused.add(attempt_id)
        count += 1
        time.sleep(PAUSE_S)


run_case(FOLDER, play)
