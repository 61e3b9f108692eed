"""Stand-ins for the users' platform, engines and requesters.

They use the standard library alone, listen on loopback addresses, and follow
the users' PROTOCOL page. `Store` is the platform's metadata store with the
duty interface, `Engine` a language engine with the two phases, `PlainServer`
an application service, `Requester` sends requests. All of them write what
happens to one `Record`.
"""

import asyncio
import base64
import contextlib
import json
import random
import socket
import struct
import time
from urllib.parse import parse_qsl, urlsplit

LINGER_RESET = struct.pack('ii', 1, 0)
HEARTBEAT_S = 1.2
ENTRY_LIFE_S = 3 * HEARTBEAT_S


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **facts):
        text = ' '.join(f'{name}={value}' for name, value in facts.items())
        self._file.write(f'{self.now():9.3f} {what} {text}\n')

    def close(self):
        self._file.close()


class Head:
    """The head of a request or a response."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=''):
        return self.headers.get(name, default)


async def read_head(reader):
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Read a body that has a length or comes in chunks."""
    if 'chunked' in head.get('transfer-encoding').lower():
        body = b''
        while True:
            line = await reader.readline()
            if not line.endswith(b'\r\n'):
                raise ConnectionError('the body was cut off')
            size = int(line.split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(head.get('content-length', '0') or 0)
    return await reader.readexactly(length) if length else b''


def response(status, body=b'', headers=()):
    """Build a response with a length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def json_response(status, fields, headers=()):
    body = json.dumps(fields).encode()
    return response(
        status, body, (('Content-Type', 'application/json'), *headers)
    )


class Server:
    """Accepts connections and answers one request at a time on each."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._connections = set()
        self._tasks = set()

    async def listen(self, port=0):
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def reset_all(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._connections):
            sock = writer.get_extra_info('socket')
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                    )
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        self._connections.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            data = await self.answer(head, body, reader, writer)
            if data is not None:
                writer.write(data)
                await writer.drain()

    async def answer(self, head, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store and its duty interface."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._lease_number = 0
        self._changed = asyncio.Event()
        # The duty calls: time, path, holder, fence, body.
        self.duty_calls = []
        # Set while calls of any front machine are answered 503.
        self.is_down = False

    def put(self, key, value, lease=0):
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(value.encode()).decode(),
            'revision': self.revision,
            'created': self.items.get(key, {}).get('created', self.revision),
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def _note(self, event):
        self.history.append(event)
        del self.history[:-20000]
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (until, _) in tuple(self.leases.items()):
            if now >= until:
                self.leases.pop(lease)
                for key in [
                    key
                    for key, item in self.items.items()
                    if item['lease'] == lease
                ]:
                    self.remove(key)

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            self._expire()

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first.split(' ')
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        fields = json.loads(body) if body else {}
        self._expire()
        path = parts.path
        if path in {'/usage', '/scale'}:
            self.duty_calls.append(
                (
                    self._record.now(),
                    path,
                    head.get('duty-holder'),
                    int(head.get('fencing-token')),
                    fields,
                )
            )
            return json_response(200, {})
        if self.is_down:
            return json_response(503, {})
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return json_response(404, {})
            return json_response(200, {**item, 'current_rev': self.revision})
        if path == '/-/kv-range':
            found = sorted(
                key
                for key in self.items
                if key.startswith(query['path_prefix'])
                and key > query.get('after', '')
            )
            return json_response(
                200,
                {
                    'items': [self.items[key] for key in found[:500]],
                    'has_more': len(found) > 500,
                    'current_rev': self.revision,
                },
            )
        if path == '/-/kv-watch':
            return await self._watch(query)
        if path == '/-/kv-txn':
            return self._transact(fields)
        return self._lease(method, path, fields)

    async def _watch(self, query):
        after, prefix = int(query['after']), query['path_prefix']
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return json_response(
                    200, {'events': events, 'current_rev': self.revision}
                )
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, fields):
        rows = fields.get('expected_rev', [])
        present = [self.items.get(row['key']) for row in rows]
        if any(
            (item['revision'] if item else 0) != row['revision']
            for item, row in zip(present, rows)
        ):
            return json_response(
                412, {'items': [item for item in present if item]}
            )
        puts = fields.get('puts', [])
        if any(
            put.get('lease') and put['lease'] not in self.leases
            for put in puts
        ):
            return json_response(404, {})
        for put in puts:
            value = base64.b64decode(put['value']).decode()
            self.put(put['key'], value, put.get('lease') or 0)
        for key in fields.get('remove', []):
            self.remove(key)
        return json_response(200, {'revision': self.revision})

    def _lease(self, method, path, fields):
        if path == '/-/kv-lease':
            self._lease_number += 1
            ttl = fields['ttl_ms'] / 1000
            self.leases[self._lease_number] = (time.monotonic() + ttl, ttl)
            return json_response(
                200, {'lease': self._lease_number, 'ttl_ms': fields['ttl_ms']}
            )
        number = int(path.rpartition('/')[2])
        if number not in self.leases:
            return json_response(404, {})
        _, ttl = self.leases[number]
        if method == 'DELETE':
            self.leases[number] = (0.0, ttl)
            self._expire()
            return json_response(200, {})
        self.leases[number] = (time.monotonic() + ttl, ttl)
        return json_response(200, {'ttl_ms': int(ttl * 1000)})


class Registered(Server):
    """A server that registers itself in the store by heartbeats."""

    def __init__(self, name, service, zone, slots, store, record):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.store = store
        self.record = record
        self.born = int(time.time() * 1000)
        self.running = 0
        self._beats = 0
        self._heart = None
        self.is_gone = False
        self.state = 'ready'
        self.version = 'v1'

    async def start(self, port=0):
        await self.listen(port)
        self._beat()
        self._heart = asyncio.ensure_future(self._run_heart())

    def more_fields(self):
        return {}

    def _beat(self):
        self._beats += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._beats,
            'born': self.born,
            **self.more_fields(),
        }
        self.store.put(f'servers/{self.name}', json.dumps(entry))

    async def _run_heart(self):
        # Servers that start together do not report at the same moments.
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        self._beat()
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._beat()

    def crash_for_good(self):
        """End at once; the entry lapses after three heartbeats."""
        self.is_gone = True
        self._heart.cancel()
        self.reset_all()
        self.record.write('crash', server=self.name)
        asyncio.get_running_loop().call_later(
            ENTRY_LIFE_S, self.store.remove, f'servers/{self.name}'
        )

    async def drain(self, drain_s):
        """Report a planned shutdown, serve on for a while, then end."""
        self.state = 'draining'
        self._beat()
        self.record.write('draining', server=self.name)
        await asyncio.sleep(drain_s)
        while self.running:
            await asyncio.sleep(0.05)
        self.is_gone = True
        self._heart.cancel()
        self.reset_all()
        self.store.remove(f'servers/{self.name}')
        self.record.write('gone', server=self.name)

    def load(self):
        return ('Server-Load', f'{self.running},0,{self.slots}')

    def misdirected(self):
        return response(
            421, b'', (('Instance-Id', self.name), ('Not-Executed', '1'))
        )

    def not_run(self, head):
        return response(
            503,
            b'',
            (
                ('Not-Executed', '1'),
                ('Attempt-Id', head.get('attempt-id')),
                self.load(),
            ),
        )

    def is_expected(self, head):
        return head.get('target-instance', self.name) == self.name


class PlainServer(Registered):
    """An application service that works for a while and answers."""

    work_s = 0.05

    async def answer(self, head, body, reader, writer):
        if not self.is_expected(head):
            return self.misdirected()
        attempt = head.get('attempt-id')
        if self.running >= self.slots:
            return self.not_run(head)
        self.running += 1
        self.record.write('run', server=self.name, attempt=attempt)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return response(
            200,
            b'x' * 800,
            (
                ('Attempt-Id', attempt),
                ('Response-Signature', f'{self.name}.{attempt}'),
                self.load(),
            ),
        )


class Engine(Registered):
    """A language engine that prefills or decodes, as orders tell it."""

    tokens_per_ms = 37.9
    token_s = 0.012
    switch_s = 3.0
    hold_s = 5.0

    def __init__(self, *arguments, engines):
        super().__init__(*arguments)
        self.engines = engines
        engines.append(self)
        self.phase = 'decode'
        self.is_busy = False
        self.orders = 0
        self._handles = {}
        self._handle_number = 0
        self._kept = set()
        self.answers = {}
        # Attempts with the times at which their runs began and ended.
        self.run_begins = []
        self.run_ends = []

    def more_fields(self):
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        return {'phase': self.phase, 'models': models}

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first.split(' ')
        if not self.is_expected(head):
            return self.misdirected()
        if target == '/-/report':
            return json_response(
                200,
                {
                    'phase': self.phase,
                    'models': self.more_fields()['models'],
                    'busy': self.is_busy,
                    'seq': self.orders,
                    'queued': 0,
                    'active': self.running,
                    'kv_used': 0,
                    'kv_total': 400000,
                    'kv_handles': len(self._handles),
                    'born': self.born,
                },
            )
        if target == '/-/order':
            return self._take_order(json.loads(body))
        if target.startswith('/-/kv-handle/'):
            self._handles.pop(target.rpartition('/')[2], None)
            return json_response(200, {})
        if head.get('serving-phase') == 'prefill':
            return await self._prefill(head)
        return await self._stream(head, reader, writer)

    def _count(self, what):
        self.answers[what] = self.answers.get(what, 0) + 1

    def _wrong_stage(self, head):
        self._count('421')
        self.record.write(
            'wrong-stage', server=self.name, attempt=head.get('attempt-id')
        )
        return response(
            421,
            b'',
            (
                ('Instance-Id', self.name),
                ('Attempt-Id', head.get('attempt-id')),
                ('Not-Executed', '1'),
                self.load(),
            ),
        )

    def _refuse_for_order(self, head):
        self._count('503')
        self.record.write(
            'refused', server=self.name, attempt=head.get('attempt-id')
        )
        return self.not_run(head)

    # Orders.

    def _take_order(self, fields):
        if 'holder' not in fields or 'fencing_token' not in fields:
            return json_response(400, {})
        expected = fields.get('expected_rev', self.orders)
        if self.is_busy or expected != self.orders:
            return json_response(409, {})
        phase = fields.get('phase')
        if fields.get('operation') != 'phase' or phase not in {
            'prefill',
            'decode',
        }:
            return json_response(400, {})
        if phase == self.phase:
            return json_response(200, {})
        self.orders += 1
        self.is_busy = True
        self.record.write('order', server=self.name, phase=phase)
        asyncio.ensure_future(self._switch(phase))
        return json_response(202, {})

    async def _switch(self, phase):
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.switch_s)
        self.phase = phase
        self.is_busy = False
        self.record.write('switched', server=self.name, phase=phase)

    # Calls.

    async def _read_prompt(self, head, slowness):
        parts = [
            entry.strip().partition(':')
            for entry in head.get('prompt-prefix').split(',')
        ]
        kept = self._kept | self._fetched(head.get('kv-fetch'))
        tokens = sum(
            int(count) for part, _, count in parts if part not in kept
        )
        await asyncio.sleep(slowness * tokens / self.tokens_per_ms / 1000)
        self._kept.update(part for part, _, _ in parts)
        return sum(int(count) for _, _, count in parts)

    def _fetched(self, address):
        """Return what another engine keeps; moving it takes no time here."""
        for engine in self.engines:
            if address and engine.address == address and not engine.is_gone:
                return engine.kept
        return set()

    @property
    def kept(self):
        return self._kept

    async def _prefill(self, head):
        if self.is_busy:
            return self._refuse_for_order(head)
        if self.phase != 'prefill':
            return self._wrong_stage(head)
        self.running += 1
        try:
            tokens = await self._read_prompt(head, 1)
        finally:
            self.running -= 1
        self._handle_number += 1
        handle = f'{self.born:x}{self._handle_number:06x}'
        self._handles[handle] = time.monotonic() + self.hold_s
        return json_response(
            200,
            {'kv_handle': handle, 'tokens': tokens, 'version': 1},
            (('Attempt-Id', head.get('attempt-id')), self.load()),
        )

    def take_handle(self, handle):
        until = self._handles.pop(handle, 0.0)
        return not self.is_gone and time.monotonic() < until

    def _has_import(self, source):
        address, _, handle = source.partition('/')
        return any(
            engine.address == address and engine.take_handle(handle)
            for engine in self.engines
            if engine.port
        )

    async def _stream(self, head, reader, writer):
        if self.is_busy:
            return self._refuse_for_order(head)
        if self.phase != 'decode':
            return self._wrong_stage(head)
        source = head.get('kv-source')
        if source and not self._has_import(source):
            return self.not_run(head)
        if self.running >= self.slots:
            return self.not_run(head)
        self.running += 1
        attempt = head.get('attempt-id')
        try:
            if not source:
                await self._read_prompt(head, 2)
            await self._send_events(head, writer)
        finally:
            self.running -= 1
            self.record.write('run-end', server=self.name, attempt=attempt)
            self.run_ends.append((attempt, self.record.now()))
        return None

    async def _send_events(self, head, writer):
        attempt = head.get('attempt-id')
        self.record.write('run', server=self.name, attempt=attempt)
        self.run_begins.append((attempt, self.record.now()))
        count = int(head.get('token-count').split(',')[1])
        lines = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n'
            f'Attempt-Id: {attempt}\r\n'
            f'Response-Signature: {self.name}.{attempt}\r\n'
            f'Weight-Versions: 1\r\n{": ".join(self.load())}\r\n\r\n'
        )
        writer.write(lines.encode())
        first = int(head.get('last-event-id', '-1')) + 1
        for number in range(first, count):
            event = f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.token_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Requester:
    """Sends requests to a front machine and keeps what became of each."""

    def __init__(self, port, record):
        self._port = port
        self._record = record
        self._number = 0
        # Kind, time of the first attempt, whether it was served.
        self.outcomes = []

    async def request(self, kind, head_lines, limit_s, body=b'', retries=1):
        """Send a request; try again after a promise that it has not run."""
        began = time.monotonic()
        self._number += 1
        name = f'{kind}-{self._number}'
        status, is_whole = 0, False
        for attempt in range(1 + retries):
            left = began + limit_s - time.monotonic()
            if left <= 0:
                break
            status, is_whole, wait_s = await self._attempt(
                f'{name}-{attempt}', head_lines, left, body
            )
            if status not in {429, 503}:
                break
            left = began + limit_s - time.monotonic()
            await asyncio.sleep(max(0.0, min(wait_s, left / 3)))
        is_served = status == 200 and is_whole
        self.outcomes.append(
            (kind, began - self._record.began, is_served, status)
        )
        return is_served

    async def _attempt(self, attempt, head_lines, left, body):
        self._record.write('send', attempt=attempt)
        try:
            status, is_whole, wait_s = await asyncio.wait_for(
                self._exchange(attempt, head_lines, left, body), left
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, is_whole, wait_s = 0, False, 0.0
        self._record.write(
            'answer', attempt=attempt, status=status, whole=is_whole
        )
        return status, is_whole, wait_s

    async def _exchange(self, attempt, head_lines, left, body):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self._port, limit=1 << 20
        )
        try:
            lines = [
                head_lines[0],
                'Host: shop.example',
                f'Attempt-Id: {attempt}',
                f'Deadline-Ms: {int(left * 1000)}',
                *head_lines[1:],
            ]
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, False, 0.0
            status = int(head.first.split(' ')[1])
            await read_body(reader, head)
            is_signed = bool(head.get('response-signature'))
            wait_s = float(head.get('retry-after', '0') or 0)
            return status, is_signed, wait_s
        finally:
            writer.close()
