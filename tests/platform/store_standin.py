"""In-process fake of the platform's store and duty API."""

import base64
import json
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import attrs
import eventlet
from eventlet import wsgi
from eventlet.green import socket
from eventlet.greenthread import GreenThread

from dandelionyoke_gateway import clock_s
from dandelionyoke_platform import _wire_names as wire

JSON_HEADERS = [('Content-Type', 'application/json')]
ERA_HEADER = 'Store-Era'
POLL_INTERVAL_S = 0.02


@attrs.define
class StoredItem:
    """A key with its value; the value is None after removal."""

    key: str
    value: str | None
    revision: int
    lease: int = 0

    def fields(self) -> dict[str, Any]:
        """Return the fields that the store's API shows."""
        if self.value is None:
            return {
                'key': self.key,
                'revision': self.revision,
                'tombstone': True,
            }
        return {
            'key': self.key,
            'value': base64.b64encode(self.value.encode()).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': self.lease,
        }


@attrs.frozen
class StoreCopy:
    """What a store held at some time, with the terms of its leases."""

    revision: int
    items: dict[str, StoredItem]
    history: list[StoredItem]
    lease_ttls_s: dict[int, float]


@attrs.frozen
class TargetOrder:
    """An order for a number of targets, as it arrived."""

    holder: str
    fence: int
    body: dict[str, Any]


class StoreStandin:
    """Fake store with leases, watches and injected faults."""

    def __init__(self) -> None:
        self.revision = 1
        # Rises each time that the store comes back from a copy.
        self.era = 1
        self.items: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.usage: list[tuple[str, int, dict[str, Any]]] = []
        self.orders: list[TargetOrder] = []
        # Orders for numbers of targets are recorded and refused (409).
        self.refuses_orders = False
        # The same reports with their time of arrival.
        self.reports: list[tuple[float, str, int, dict[str, Any]]] = []
        self.is_unavailable = False
        # Writes are performed, but their answers are lost.
        self.loses_write_answers = False
        # Watches after an older revision than this are refused (410).
        self.compacted_revision = 0
        # Replacements of texts in listed values, for example a node's address
        # by that of a relay.
        self.rewrites: dict[str, str] = {}
        # The same by own address, for one node's view of the network.
        self.rewrites_at: dict[str, dict[str, str]] = {}
        # Own addresses at which every store call is refused (503).
        self.refused: set[str] = set()
        # Number of calls by own address and path.
        self.calls: Counter[tuple[str, str]] = Counter()
        self._listeners: list[socket.socket] = []
        self._servers: list[GreenThread] = []
        self.address = self.open_address()

    def open_address(self) -> str:
        """Listen at one more address, so that nodes can be distinguished."""
        listener = eventlet.listen(('127.0.0.1', 0))
        self._listeners.append(listener)
        self._servers.append(
            eventlet.spawn(
                wsgi.server, listener, self._handle_request, log_output=False
            )
        )
        host, port = listener.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        """Stop the servers."""
        for server in self._servers:
            server.kill()
        for listener in self._listeners:
            listener.close()

    def keys(self, prefix: str) -> list[str]:
        """List the keys below a prefix."""
        return [key for key in self.items if key.startswith(prefix)]

    def put(self, key: str, value: str, lease: int = 0) -> int:
        """Write a key, as the operator or a target does."""
        self.revision += 1
        item = StoredItem(key, value, self.revision, lease)
        self.items[key] = item
        self.history.append(item)
        return self.revision

    def expire_leases(self) -> None:
        """Expire all leases, as after an outage during which they ran on."""
        for lease, (_, ttl_s) in tuple(self.leases.items()):
            self.leases[lease] = (0, ttl_s)
        self._expire()

    def take_copy(self) -> StoreCopy:
        """Copy what the store holds now."""
        return StoreCopy(
            self.revision,
            dict(self.items),
            list(self.history),
            {lease: ttl_s for lease, (_, ttl_s) in self.leases.items()},
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy was taken.

        The revisions and leases given out since are given out again. Leases of
        the copy begin anew.
        """
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.leases = {
            lease: (clock_s() + ttl_s, ttl_s)
            for lease, ttl_s in copy.lease_ttls_s.items()
        }

    def _rewrite(self, item: StoredItem, address: str) -> StoredItem:
        value = item.value
        rewrites = self.rewrites | self.rewrites_at.get(address, {})
        for original, replacement in rewrites.items():
            value = value and value.replace(original, replacement)
        return attrs.evolve(item, value=value)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(StoredItem(key, None, self.revision))

    def _expire(self) -> None:
        now_s = clock_s()
        for lease, (until_s, _) in tuple(self.leases.items()):
            if now_s >= until_s:
                self.leases.pop(lease)
                for item in tuple(self.items.values()):
                    if item.lease == lease:
                        self.remove(item.key)

    def _handle_request(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = environ['wsgi.input'].read()
        status, fields = self._route_request(
            environ, json.loads(body) if body else {}
        )
        era = (ERA_HEADER, str(self.era))
        start(f'{status} Status', [*JSON_HEADERS, era])
        return [json.dumps(fields).encode()]

    def _route_request(
        self, environ: dict[str, Any], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        self._expire()
        path = environ['PATH_INFO']
        query = {
            name: found[0]
            for name, found in parse_qs(environ.get('QUERY_STRING', '')).items()
        }
        if path == wire.USAGE_PATH:
            return self._record_usage(environ, body)
        if path == wire.SCALE_PATH:
            return self._record_order(environ, body)
        self.calls[_address(environ), path] += 1
        if self.is_unavailable or _address(environ) in self.refused:
            return 503, {}
        if path == wire.KEY_PATH:
            item = self.items.get(query['key'])
            return (200, item.fields()) if item else (404, {})
        if path == wire.RANGE_PATH:
            prefix = query['path_prefix']
            return 200, self._list_range(prefix, _address(environ))
        if path == wire.WATCH_PATH:
            return self._watch(query, _address(environ))
        if path == wire.TRANSACTION_PATH:
            outcome = self._write(body)
            return (504, {}) if self.loses_write_answers else outcome
        return self._handle_lease(environ['REQUEST_METHOD'], path, body)

    def _record_usage(
        self, environ: dict[str, Any], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        holder = environ['HTTP_DUTY_HOLDER']
        fence = int(environ['HTTP_FENCING_TOKEN'])
        self.usage.append((holder, fence, body))
        self.reports.append((clock_s(), holder, fence, body))
        return 200, {}

    def _record_order(
        self, environ: dict[str, Any], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        holder = environ['HTTP_DUTY_HOLDER']
        fence = int(environ['HTTP_FENCING_TOKEN'])
        self.orders.append(TargetOrder(holder, fence, body))
        return (409 if self.refuses_orders else 200), {}

    def _list_range(self, prefix: str, address: str) -> dict[str, Any]:
        found = [
            self._rewrite(item, address).fields()
            for item in self.items.values()
            if item.key.startswith(prefix)
        ]
        return {
            'items': found,
            'has_more': False,
            'current_rev': self.revision,
        }

    def _watch(
        self, query: dict[str, str], address: str
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        if not self.compacted_revision <= after <= self.revision:
            return 410, {}
        era = self.era
        until_s = clock_s() + int(query['wait_ms']) / 1000
        while True:
            self._expire()
            if self.is_unavailable or era != self.era:
                return 503, {}
            events = [
                self._rewrite(item, address).fields()
                for item in self.history
                if item.revision > after
                and item.key.startswith(query['path_prefix'])
            ]
            if events or clock_s() >= until_s:
                return 200, {'events': events, 'current_rev': self.revision}
            eventlet.sleep(POLL_INTERVAL_S)

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        present = [
            self.items.get(row['key'], StoredItem(row['key'], None, 0))
            for row in body['expected_rev']
        ]
        wanted = [row['revision'] for row in body['expected_rev']]
        if [item.revision for item in present] != wanted:
            return 412, {'items': [item.fields() for item in present]}
        for put in body['puts']:
            lease = put.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            value = base64.b64decode(put['value']).decode()
            self.put(put['key'], value, lease)
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}

    def _handle_lease(
        self, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == wire.LEASE_PATH:
            self.revision += 1
            ttl_s = body['ttl_ms'] / 1000
            self.leases[self.revision] = (clock_s() + ttl_s, ttl_s)
            return 200, {'lease': self.revision, 'ttl_ms': body['ttl_ms']}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        if method == 'DELETE':
            self.leases[lease] = (0, ttl_s)
            self._expire()
            return 200, {}
        self.leases[lease] = (clock_s() + ttl_s, ttl_s)
        return 200, {'ttl_ms': int(ttl_s * 1000)}


def _address(environ: dict[str, Any]) -> str:
    return f'127.0.0.1:{environ["SERVER_PORT"]}'
