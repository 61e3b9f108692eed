"""An engine that leaves between two pages of a listing stays in use."""

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
    Engine,
    Node,
    Requester,
    Store,
    configuration,
    now_s,
    run_case,
)

# The store's pages, and entries of another service that fill the first one.
PAGE_ITEMS = 50
OTHER_ENTRIES = 57
# A packet that was lost is sent again after this time.
RESENT_S = 0.4
# The engine leaves this long after the first page was read.
LEAVES_AFTER_S = 0.15
SERVES_ON_S = 9.0


class LossyPath:
    """Forwards channels to the store; may delay the second page once."""

    def __init__(self, record, address, is_lossy):
        host, _, port = address.partition(':')
        self._store = host, int(port)
        self._record, self._is_lossy = record, is_lossy
        self.healed_s = 0.0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            other = socket.create_connection(self._store)
            for one in (sock, other):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for pair in ((sock, other), (other, sock)):
                threading.Thread(
                    target=self._forward, args=pair, daemon=True
                ).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65536):
                if self._is_lossy and b'kv-range' in data and b'after=' in data:
                    self._is_lossy = False
                    self._record.write(
                        'path: a packet of the second page is lost, and sent '
                        f'again {RESENT_S} s later'
                    )
                    time.sleep(RESENT_S)
                    self.healed_s = now_s()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()


def play(record, scratch, is_troubled, nodes):
    store = Store(record, page_items=PAGE_ITEMS)
    store.put('op/config', configuration())
    engines = [
        Engine(record, store, f'i-{number}', 'ledger-desk', 'kurasini')
        for number in range(3)
    ]
    for number in range(OTHER_ENTRIES):
        entry = {
            'service': 'route-assistant',
            'address': f'127.0.0.1:{9000 + number}',
            'zone': 'kurasini',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': 1,
        }
        store.put(f'servers/j-{number:03}', json.dumps(entry).encode())
    leaving = engines[0]
    acks = []

    def leave():
        leaving.is_listed = False
        acks.append(store.remove(f'servers/{leaving.name}'))
        record.write(f'{leaving.name}: its entry is removed at {acks[0]:.3f}')

    def after_page(prefix, after, reply):
        if prefix == 'servers/':
            record.write(
                f'store: page after {after!r}, {len(reply["items"])} entries'
            )
            if not after and not acks:
                store.after_page = None
                threading.Timer(LEAVES_AFTER_S, leave).start()

    store.after_page = after_page
    path = LossyPath(record, store.address, is_troubled)
    node = Node(record, store, 'front-0', 'kurasini', scratch, path.address)
    nodes.append(node)
    if not node.wait_until_ready():
        raise RuntimeError(f'{node.name} is not ready')
    requester = Requester(record, 'requester', node.port)
    number = 0
    until_s = now_s() + SERVES_ON_S
    while now_s() < until_s:
        requester.send('/credit/1', f'a.{number}')
        number += 1
        time.sleep(0.05)
    # The machine is in touch again `contact_ms` after the loss.
    in_touch_s = max(acks[0], path.healed_s) + BOUNDS['contact_ms'] / 1000
    bound_s = max(acks[0] + BOUNDS['drain_ms'] / 1000, in_touch_s)
    late = [one for one in leaving.requests if one.arrived_s > bound_s]
    record.write(f'{len(late)} requests reached {leaving.name} too late')
    if not late:
        return []
    return [
        f'DRAIN: {len(late)} requests reached {leaving.name} later than 2,000 ms '
        f'after its entry was removed, the last {late[-1].arrived_s - acks[0]:.1f}'
        ' s after it'
    ]


run_case(FOLDER, play)
