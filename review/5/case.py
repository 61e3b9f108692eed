"""A request that crashes its engines is let through after a rolling restart."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from crashing import CrashingEngine, CrashSettings  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS,
    Node,
    Requester,
    Store,
    configuration,
    now_s,
    run_case,
)

ENGINES = 4
DOWN_S = 3.0
WORK_S = 0.03
ORDINARY_PER_S = 13
POISON = b'the body that crashes each engine'
# The crashing request comes each 3 s, at two machines at a time.
AGAIN_S = 3.0
# The machines are stopped and started in turn this long after the first crash.
RESTART_AFTER_S = 68.0
RESTART_GAP_S = 1.3


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    crashes = []
    zones = ('kurasini', 'mikocheni', 'ubungo')
    settings = CrashSettings(POISON, DOWN_S, WORK_S, keeps_id=False)
    for number in range(ENGINES):
        zone = zones[number % 3]
        CrashingEngine(record, store, f'i-{number}', zone, settings, crashes)
    for number, zone in enumerate(zones):
        nodes.append(Node(record, store, f'front-{number}', zone, scratch))
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready')
    time.sleep(4)
    is_over = threading.Event()
    for node in nodes:
        threading.Thread(
            target=send_ordinary, args=(record, node, is_over), daemon=True
        ).start()
    began_s = now_s()
    for number in range(4):
        send_pair(record, nodes, f'first.{number}')
    time.sleep(max(0, began_s + RESTART_AFTER_S - now_s()))
    if is_troubled:
        restart_in_turn(record, nodes)
    else:
        time.sleep(8)
    time.sleep(BOUNDS['contact_ms'] / 1000 + 0.5)
    for number in range(4):
        send_pair(record, nodes, f'later.{number}')
    is_over.set()
    record.write(f'{len(crashes)} sends reached engines: {crashes}')
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


def restart_in_turn(record, nodes):
    """Stop and start the machines in turn, as planned work does."""
    for node in nodes:
        threading.Thread(target=restart, args=(record, node)).start()
        time.sleep(RESTART_GAP_S)
    time.sleep(4.5)
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready again')


def restart(record, node):
    record.write(f'{node.name}: SIGTERM')
    node.process.terminate()
    node.process.wait(12)
    node.start()


def send_pair(record, nodes, name):
    """Send the crashing request at two machines at the same time."""
    threads = [
        threading.Thread(target=send_one, args=(record, node, name))
        for node in nodes[:2]
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(AGAIN_S)


def send_one(record, node, name):
    requester = Requester(record, f'poison at {node.name}', node.port)
    requester.send('/credit/poison', f'{name}.{node.name}', POISON)
    requester.close()


def send_ordinary(record, node, is_over):
    requester = Requester(record, f'requester of {node.name}', node.port)
    number = 0
    while not is_over.is_set():
        attempt_id = f'{node.name}.{number}'
        requester.send('/credit/1', attempt_id, attempt_id.encode())
        number += 1
        time.sleep(3 / ORDINARY_PER_S)


run_case(FOLDER, play)
