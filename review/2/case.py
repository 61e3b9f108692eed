"""A usage window is reported twice after the store comes back from a copy."""

import pathlib
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

ROUNDS = 4
COPY_EACH_S = 0.25
# The copy is this much older than the report that the store loses.
COPY_BEFORE_S = 4.2
# After a report: the store is away, the holder is killed and started again,
# and the store is back.
AWAY_AFTER_S = 0.2
KILLED_AFTER_S = 0.4
STARTED_AFTER_S = 0.6
BACK_AFTER_S = 1.2
ORDINARY_PER_S = 13


def play(record, scratch, is_troubled, nodes):
    store = Store(record)
    store.put('op/config', configuration())
    zones = ('limon-a', 'limon-b', 'moin-a')
    engines = [
        Engine(record, store, f'i-{number}', 'ledger-desk', zone)
        for number, zone in enumerate(zones)
    ]
    for number, zone in enumerate(zones):
        nodes.append(Node(record, store, f'front-{number}', zone, scratch))
    for node in nodes:
        if not node.wait_until_ready():
            raise RuntimeError(f'{node.name} is not ready')
    by_name = {node.name: node for node in nodes}
    copies = []
    threading.Thread(
        target=copy_always, args=(store, copies), daemon=True
    ).start()
    for node in nodes:
        threading.Thread(
            target=send_ordinary, args=(record, node), daemon=True
        ).start()
    until_s = now_s() + 100
    for _ in range(ROUNDS):
        report = next_report(store, until_s)
        if report is None:
            break
        reported_s = now_s()
        holder = by_name[report[0]]
        time.sleep(AWAY_AFTER_S)
        if is_troubled:
            store.is_away = True
            record.write('store: away')
        time.sleep(KILLED_AFTER_S - AWAY_AFTER_S)
        record.write(f'{holder.name}: SIGKILL')
        holder.kill()
        time.sleep(STARTED_AFTER_S - KILLED_AFTER_S)
        holder.start()
        time.sleep(BACK_AFTER_S - STARTED_AFTER_S)
        if is_troubled:
            copied = [
                one for at_s, one in copies if at_s < reported_s - COPY_BEFORE_S
            ][-1]
            store.return_from(copied)
            record.write('store: back from a copy')
            store.put('op/config', configuration())
            for engine in engines:
                engine.report()
        # A window is due 10 s after its end, and the duty settles meanwhile.
        time.sleep(14)
        if breaks(store):
            break
    return breaks(store)


def breaks(store):
    counts, found = {}, []
    for holder, fence, fields in store.reports:
        first = counts.setdefault(fields['window_id'], (holder, fields))
        if first[1]['counts'] != fields['counts']:
            found.append(
                f'ONE: window {fields["window_id"]} is reported as '
                f'{first[1]["counts"]} by {first[0]} and as '
                f'{fields["counts"]} by {holder}'
            )
    return found


def next_report(store, until_s):
    """Wait for the first report of a window; None if none comes."""
    known = {fields['window_id'] for _, _, fields in store.reports}
    seen = len(store.reports)
    while now_s() < until_s:
        for report in store.reports[seen:]:
            if report[2]['window_id'] not in known:
                return report
        time.sleep(0.02)
    return None


def copy_always(store, copies):
    while True:
        copies.append((now_s(), store.copy()))
        del copies[:-40]
        time.sleep(COPY_EACH_S)


def send_ordinary(record, node):
    requester = Requester(record, f'requester of {node.name}', node.port)
    number = 0
    while True:
        requester.send('/credit/1', f'{node.name}.{number}')
        number += 1
        time.sleep(3 / ORDINARY_PER_S)


run_case(FOLDER, play)
