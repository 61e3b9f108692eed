"""An entry that cannot be read ends the watch on the engines' entries."""

import pathlib
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

# One entry of another writer: 4,096 bytes that are no JSON document.
UNREADABLE = b'[' * 4096


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    engines = [
        Engine(record, store, f'i-{number}', 'ledger-desk', zone)
        for number, zone in enumerate(('kurasini', 'mikocheni', 'ubungo'))
    ]
    for number, zone in enumerate(('kurasini', 'mikocheni')):
        nodes.append(Node(record, store, f'front-{number}', zone, scratch))
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready')
    is_over, before = threading.Event(), []
    for node in nodes:
        threading.Thread(
            target=send_always,
            args=(record, node, is_over, before),
            daemon=True,
        ).start()
    time.sleep(4)
    if is_troubled:
        store.put('servers/note', UNREADABLE)
        record.write('another writer: servers/note, 4,096 unreadable bytes')
    time.sleep(5)
    leaving = engines[0]
    leaving.state = 'draining'
    acked_s = leaving.report()
    record.write(f'{leaving.name}: draining, acknowledged at {acked_s:.3f}')
    time.sleep(8)
    is_over.set()
    time.sleep(0.5)
    statuses = served_after_restart(record, nodes)
    bound_s = acked_s + BOUNDS['drain_ms'] / 1000
    late = [r for r in leaving.requests if r.arrived_s > bound_s]
    record.write(f'{len(late)} requests reached {leaving.name} too late')
    record.write(f'log of {nodes[0].name}: {nodes[0].last_error()}')
    breaks = []
    if late:
        breaks.append(
            f'DRAIN: {len(late)} requests reached {leaving.name} later than '
            f'2,000 ms after the ack, the last {late[-1].arrived_s - acked_s:.1f}'
            ' s after it'
        )
    served = statuses.count(200)
    was_served = before.count(200) >= len(before) / 4
    if was_served and served < len(statuses) / 4:
        breaks.append(
            f'RECOVER: {served} of {len(statuses)} requests sent 12 s after the '
            'restart of all processes are served'
        )
    return breaks


def served_after_restart(record, nodes):
    """Kill all processes, start them again, return the statuses afterwards."""
    for node in nodes:
        record.write(f'{node.name}: SIGKILL')
        node.kill()
    for node in nodes:
        node.start()
    time.sleep(BOUNDS['recovery_s'])
    statuses = []
    for node in nodes:
        record.write(f'{node.name}: ready {node.is_ready()}')
        requester = Requester(record, f'later, {node.name}', node.port)
        for number in range(20):
            attempt_id = f'later.{node.name}.{number}'
            statuses.append(requester.send('/credit/1', attempt_id))
            time.sleep(0.05)
    return statuses


def send_always(record, node, is_over, before):
    requester = Requester(record, f'requester of {node.name}', node.port)
    number = 0
    while not is_over.is_set():
        before.append(requester.send('/credit/1', f'{node.name}.{number}'))
        number += 1
        time.sleep(0.05)


run_case(FOLDER, play)
