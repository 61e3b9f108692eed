"""A request that crashes its engines is sent on after engines started again."""

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


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    crashes = []
    zones = ('kurasini', 'mikocheni', 'ubungo')
    settings = CrashSettings(POISON, DOWN_S, WORK_S, keeps_id=is_troubled)
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
    third_s = third_crash_s(crashes)
    if third_s is None:
        return []
    bound_s = third_s + BOUNDS['contact_ms'] / 1000
    late = [at_s for at_s, _ in crashes if at_s > bound_s]
    if len(late) <= 3:
        return []
    return [
        f'BUDGET: {len(late)} retries reached engines later than 3 s after the '
        f'request had crashed the third ({len(crashes)} crashes in all)'
    ]


def third_crash_s(crashes):
    """Return when the third different engine crashed; None if none did."""
    names = set()
    for at_s, name in crashes:
        names.add(name)
        if len(names) == 3:
            return at_s
    return None


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
