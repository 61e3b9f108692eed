"""All front machines' processes are killed; no stream is taken up again after.

Engines of two versions serve. Streams that were cut by the kill are taken up
once the front machines are in touch again, while new streams begin.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins2'))

from front import Front  # noqa: E402
from platform_standins import Engine, Record, Store, read_head  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LEAD_S = 12.0
# Streams begin at this rate until the end.
STREAMS_PER_S = 8.0
CUT_S = 6.0
DOWN_S = 0.94
# `contact_ms` is 3,000; the processes are started 0.94 s after the kill.
TAKEN_UP_S = 4.5
TAKEN_UP_FOR_S = 1.0
TIME_LIMIT_S = 8.0
EVENTS = 22
# Streams with less time left are not taken up.
MIN_LEFT_S = 1.0
MIN_TAKEN_UP = 12
KEY = 'k3fexd9dnn2ctnfz'
ZONES = ('kurasini', 'mikocheni')


def configuration():
    route = {
        'name': 'roadside-ask',
        'host': 'shop.example',
        'path_prefix': '/ask/',
        'kind': 'streaming',
        'timeout_ms': int(TIME_LIMIT_S * 1000),
        'target_latency_ms': 400,
        'gap_target_ms': 300,
        'priority': 0,
        'service': 'lm',
        'max_attempts': 2,
        'allow_resume': True,
        'anonymous': False,
        'session_affinity': True,
    }
    return json.dumps(
        {
            'version': 7,
            'routes': [route],
            'services': [{'name': 'lm', 'max_connections': 370}],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [{'name': 'acme', 'api_keys': [KEY]}],
        }
    )


class Stream:
    """One stream of a requester, over the attempts to get it."""

    def __init__(self, number, began_s):
        self.number = number
        self.began_s = began_s
        # The attempt that brought the first event.
        self.origin = ''
        self.last_id = -1
        self.is_whole = False
        self.is_cut = False
        self.first_id = None

    async def attempt(self, record, port, attempt, left_s):
        """Send the stream's request; return its status and its next event."""
        record.write(
            'send', attempt=attempt, resumes=self.origin, after=self.last_id
        )
        self.first_id, status = None, 0
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', port
                )
                try:
                    writer.write(self._request(attempt, left_s))
                    head = await read_head(reader)
                    if head is not None:
                        status = int(head.first.split(' ')[1])
                        if status == 200:
                            await self._read(record, reader, attempt)
                finally:
                    writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        return status, self.first_id

    def _request(self, attempt, left_s):
        lines = [
            f'POST /ask/{self.number} HTTP/1.1',
            'Host: shop.example',
            f'Attempt-Id: {attempt}',
            f'Deadline-Ms: {int(left_s * 1000)}',
            f'X-Api-Key: {KEY}',
            'Model: m',
            f'Token-Count: 1460,{EVENTS}',
            f'Prompt-Prefix: 5c1e07a4:350,f{self.number:x}:1110',
            'Content-Length: 4',
        ]
        if self.last_id >= 0:
            lines.append(f'Last-Event-Id: {self.last_id}')
            lines.append(f'Resumes: {self.origin}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\nbody'

    async def _read(self, record, reader, attempt):
        """Read events to the end, and note the id of the first one."""
        while not self.is_cut:
            line = await reader.readline()
            if line.startswith(b'id: '):
                self.last_id = int(line[4:])
                if self.first_id is None:
                    self.first_id = self.last_id
                    record.write('event', attempt=attempt, id=self.first_id)
                self.origin = self.origin or attempt
            if line == b'0\r\n':
                self.is_whole = True
                return
            if not line:
                return


class Play:
    def __init__(self, record, fronts):
        self.record = record
        self.fronts = fronts
        self.streams = []
        # Whether each stream went on, and whether each new one began.
        self.taken_up = []
        self.begun = []

    def port(self, number):
        return self.fronts[number % len(self.fronts)].port

    async def run_stream(self, number, cut_s, is_counted):
        stream = Stream(number, self.record.now())
        self.streams.append(stream)
        status, first_id = await stream.attempt(
            self.record, self.port(number), f's-{number}', TIME_LIMIT_S
        )
        self.record.write('answer', attempt=f's-{number}', status=status)
        if is_counted:
            self.begun.append(status == 200 and first_id == 0)
        if stream.is_whole or stream.last_id < 0:
            return
        await self.take_up(stream, cut_s)

    async def take_up(self, stream, cut_s):
        """Take a stream up that broke off, at another front machine."""
        spread_s = TAKEN_UP_FOR_S * (stream.number % 8) / 8
        wait_s = cut_s + TAKEN_UP_S + spread_s - self.record.now()
        await asyncio.sleep(max(0.0, wait_s))
        left_s = stream.began_s + TIME_LIMIT_S - self.record.now()
        if left_s < MIN_LEFT_S:
            return
        stream.is_cut = False
        last_id = stream.last_id
        attempt = f's-{stream.number}-again'
        status, first_id = await stream.attempt(
            self.record, self.port(stream.number + 1), attempt, left_s
        )
        goes_on = status == 200 and first_id == last_id + 1
        self.taken_up.append(goes_on)
        self.record.write(
            'answer', attempt=attempt, status=status, goes_on=goes_on
        )

    async def kill_all(self):
        for front in self.fronts:
            front.process.send_signal(signal.SIGKILL)
        self.record.write('kill', of='all')
        for front in self.fronts:
            front.process.wait()
        await asyncio.sleep(DOWN_S)
        for front in self.fronts:
            front.start()
        self.record.write('start', of='all')

    def break_all(self):
        """Without the disruption requesters break their channels off."""
        self.record.write('break', of='all streams')
        for stream in self.streams:
            stream.is_cut = not stream.is_whole

    async def drive(self):
        start_s = self.record.now()
        cut_s = start_s + CUT_S
        end_s = cut_s + TAKEN_UP_S + TAKEN_UP_FOR_S
        tasks, number, is_cut = [], 0, False
        while self.record.now() < end_s:
            now_s = self.record.now()
            if now_s >= cut_s and not is_cut:
                is_cut = True
                if HAS_TROUBLE:
                    tasks.append(asyncio.ensure_future(self.kill_all()))
                else:
                    self.break_all()
            is_counted = now_s >= cut_s + TAKEN_UP_S
            is_paused = cut_s <= now_s < cut_s + DOWN_S + 1
            if not is_paused:
                run = self.run_stream(number, cut_s, is_counted)
                tasks.append(asyncio.ensure_future(run))
                number += 1
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    def judge(self):
        if len(self.taken_up) < MIN_TAKEN_UP or not self.begun:
            self.record.write('too-few', taken_up=len(self.taken_up))
            return 2
        goes_on = sum(self.taken_up) / len(self.taken_up)
        begins = sum(self.begun) / len(self.begun)
        self.record.write(
            'share',
            taken_up=len(self.taken_up),
            goes_on=goes_on,
            new=len(self.begun),
            begins=begins,
        )
        return 1 if goes_on < begins / 2 else 0


async def play(record, folder):
    store = Store(record)
    await store.listen()
    asyncio.ensure_future(store.run())
    store.put('op/config', configuration())
    engines = []
    for number in range(4):
        zone = ZONES[number % 2]
        engine = Engine(
            f'i-e{number}', 'lm', zone, 64, store, record, engines=engines
        )
        engine.version = 'v1' if number < 2 else 'v2'
        engine.token_s = 0.2
        await engine.start()
    fronts = [
        Front(f'front-{zone}-1', zone, store.address, folder)
        for zone in ZONES
    ]
    for front in fronts:
        front.start()
    try:
        for front in fronts:
            if not await front.wait_until_ready():
                return 2
        await asyncio.sleep(LEAD_S)
        run = Play(record, fronts)
        await run.drive()
        return run.judge()
    finally:
        for front in fronts:
            for line in front.log_lines('stream.resumed'):
                record.write('log-stream.resumed', outcome=line['outcome'])
            front.end()


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
