"""One engine of four is emptied and taken away; no stream is served after.

The front machine orders another engine to decode. While that engine still
stands in the registry with its old phase it answers 421, as it does for a call
of the wrong stage; the front machine then never uses it again.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins2'))

from front import Front  # noqa: E402
from platform_standins import (  # noqa: E402
    Engine,
    PlainServer,
    Record,
    Requester,
    Store,
)

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LEAD_S = 12.0
TRAFFIC_S = 60.0
LEAVE_S = 4.0
SERVES_ON_S = 4.0
ENGINES = 4
# Requests a second.
RATES = {'van-load': 3.0, 'outlet-lookup': 8.0}
KEY = 'k3fexd9dnn2ctnfz'
SHARED_TOKENS, OWN_TOKENS = 6300, 2890
# All requests share it, so that they go to one engine while that takes them.
SHARED_PART = '5c1e07a4'


def configuration():
    def stream(name, prefix, timeout_ms, goal_ms, attempts):
        return {
            'name': name,
            'host': 'shop.example',
            'path_prefix': prefix,
            'kind': 'streaming',
            'timeout_ms': timeout_ms,
            'target_latency_ms': goal_ms,
            'gap_target_ms': 300,
            'priority': 1,
            'service': 'lm',
            'max_attempts': attempts,
            'allow_resume': attempts > 1,
            'anonymous': False,
            'session_affinity': True,
        }

    plain = {
        'name': 'outlet-lookup',
        'host': 'shop.example',
        'path_prefix': '/lookup/',
        'kind': 'idempotent',
        'timeout_ms': 4000,
        'target_latency_ms': 300,
        'priority': 2,
        'service': 'ledger',
        'max_attempts': 2,
        'anonymous': False,
    }
    engine = {
        'slots': 64,
        'kv_capacity_tokens': 421379,
        'kv_token_bytes': 18432,
        'link_mbps': 370000.0,
        'kv_hold_s': 5.0,
        'role_switch_s': 3.0,
        'models': [{'name': 'm'}],
    }
    return json.dumps(
        {
            'version': 7,
            'routes': [
                stream('van-load', '/load/', 4000, 600, 1),
                plain,
            ],
            'services': [
                {'name': 'lm', 'max_connections': 370, 'engine': engine},
                {'name': 'ledger', 'max_connections': 110},
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [{'name': 'acme', 'api_keys': [KEY], 'priority': 1}],
        }
    )


def request_of(kind, number):
    """Return the head, the time limit and the body of a request."""
    if kind == 'van-load':
        lines = [
            f'POST /load/{number} HTTP/1.1',
            f'X-Api-Key: {KEY}',
            'Model: m',
            f'Token-Count: {SHARED_TOKENS + OWN_TOKENS},7',
            f'Prompt-Prefix: {SHARED_PART}:{SHARED_TOKENS},'
            f'f{number:x}:{OWN_TOKENS}',
        ]
        return lines, 4.0, b'q' * 1000
    lines = [f'GET /lookup/{number} HTTP/1.1', f'X-Api-Key: {KEY}']
    return lines, 4.0, b''


async def send_all(requester, kind, until_s):
    """Send requests of one kind at a steady rate."""
    loop = asyncio.get_running_loop()
    tasks, number, due_s = [], 0, loop.time()
    while due_s < until_s:
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        lines, limit_s, body = request_of(kind, number)
        tasks.append(
            asyncio.ensure_future(
                requester.request(kind, lines, limit_s, body)
            )
        )
        number += 1
        due_s += 1 / RATES[kind]
    await asyncio.gather(*tasks)


def judge(outcomes, record, since_s):
    """Return whether each kind is served as often as the rule asks."""
    shares = {}
    for kind in (None, *RATES):
        found = [one for one in outcomes if kind in {None, one[0]}]
        shares[kind] = sum(one[2] for one in found) / len(found)
        record.write(
            'share', kind=kind or 'all', sent=len(found), served=shares[kind]
        )
    for start in range(0, int(TRAFFIC_S), 10):
        part = [
            one
            for one in outcomes
            if start <= one[1] - since_s < start + 10
            and one[0] != 'outlet-lookup'
        ]
        record.write(
            'streams',
            from_s=start,
            sent=len(part),
            served=sum(one[2] for one in part),
            statuses=sorted({one[3] for one in part}),
        )
    return all(
        shares[kind] >= shares[None] / 4 for kind in RATES
    )


async def play(record, folder):
    store = Store(record)
    await store.listen()
    asyncio.ensure_future(store.run())
    store.put('op/config', configuration())
    engines = []
    for number in range(ENGINES):
        name = f'i-e{number}'
        await Engine(
            name, 'lm', 'kurasini', 64, store, record, engines=engines
        ).start()
    for number in range(3):
        name = f'i-p{number}'
        await PlainServer(
            name, 'ledger', 'kurasini', 6, store, record
        ).start()
    front = Front('front-kurasini-1', 'kurasini', store.address, folder)
    front.start()
    try:
        if not await front.wait_until_ready():
            return 2
        await asyncio.sleep(LEAD_S)
        return await drive(record, engines, front)
    finally:
        for line in front.log_lines('target.replaced'):
            record.write('log-target.replaced', target=line['subject'])
        front.end()


async def drive(record, engines, front):
    loop = asyncio.get_running_loop()
    decoding = [one for one in engines if one.phase == 'decode']
    record.write('traffic', decoding=[one.name for one in decoding])
    if len(decoding) != 1:
        return 2
    requester = Requester(front.port, record)
    since_s, until_s = record.now(), loop.time() + TRAFFIC_S
    if HAS_TROUBLE:
        loop.call_later(
            LEAVE_S,
            lambda: asyncio.ensure_future(decoding[0].drain(SERVES_ON_S)),
        )
    await asyncio.gather(
        *(send_all(requester, kind, until_s) for kind in RATES)
    )
    for engine in engines:
        record.write(
            'engine',
            name=engine.name,
            gone=engine.is_gone,
            phase=engine.phase,
            refused=engine.answers,
        )
    return 0 if judge(requester.outcomes, record, since_s) else 1


async def main():
    record = Record(HERE / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as folder:
            return await play(record, folder)
    finally:
        record.close()


if __name__ == '__main__':
    try:
        exit_status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        exit_status = 2
    sys.exit(exit_status)
