"""The platform over HTTP, as specified in docs/PROTOCOL.md section 3."""

import time
from collections.abc import Callable
from typing import TypeVar

import attrs
import eventlet

from dandelionyoke_standins._errors import BadCallError
from dandelionyoke_standins._http import (
    ChangeNotifier,
    HeaderList,
    Request,
    Response,
    Route,
    Server,
)
from dandelionyoke_standins._json import Json, build
from dandelionyoke_standins._platform import (
    Instance,
    PlatformModel,
    UsageWindow,
)
from dandelionyoke_standins._store import StoreChanges, StoreEntry
from dandelionyoke_standins._targets import Target, TargetOrder

LEASE_CHECK_S = 0.02
MAX_WAIT_S = 60.0
ERA_HEADER = 'Store-Era'

Result = TypeVar('Result')


class PlatformServer:
    """Serves a platform model over HTTP, in real time."""

    def __init__(self, model: PlatformModel, port: int = 0) -> None:
        self._model = model
        self._changed = ChangeNotifier()
        self._server = Server(self._routes(), port, self._facts)
        self._copy = model.store.take_copy()
        self.address = self._server.address

    def start(self) -> None:
        """Start serving, and expire leases with the clock."""
        self._server.start()
        eventlet.spawn(self._expire_leases)

    def _facts(self) -> HeaderList:
        return [(ERA_HEADER, str(self._model.store.era))]

    def _routes(self) -> list[Route]:
        return [
            Route('GET', '/store/value/(.+)', self._read),
            Route('PUT', '/store/value/(.+)', self._write),
            Route('DELETE', '/store/value/(.+)', self._delete),
            Route('GET', '/store/list', self._list),
            Route('GET', '/store/watch', self._watch),
            Route('POST', '/store/leases', self._grant),
            Route('POST', '/store/leases/([^/]+)/renew', self._renew),
            Route('DELETE', '/store/leases/([^/]+)', self._revoke),
            Route('GET', '/instances', self._instances),
            Route('POST', '/instances', self._add_instance),
            Route('DELETE', '/instances/([^/]+)', self._remove_instance),
            Route('GET', '/targets', self._targets),
            Route('POST', '/targets/orders', self._order),
            Route('POST', '/usage/windows', self._usage),
            Route('POST', '/standin/faults', self._set_faults),
            Route('POST', '/standin/targets', self._set_targets),
            Route('POST', '/standin/reclaim', self._reclaim),
            Route('POST', '/standin/copy', self._take_copy),
            Route('POST', '/standin/return', self._return_from_copy),
            Route('GET', '/standin/counts', self._counts),
            Route('GET', '/standin/record', self._record),
        ]

    def _read(self, request: Request, key: str) -> Response:
        self._begin_call('read', key)
        entry = self._model.store.read(key)
        return _entry_response(entry, 200 if entry.revision else 404)

    def _write(self, request: Request, key: str) -> Response:
        body = request.json
        text = body.get('value')
        if not isinstance(text, str):
            raise BadCallError(cause='value is not text')
        expected = _revision(body.get('expected_revision'))
        entry = self._apply_change(
            'write',
            key,
            lambda: self._model.store.write(
                key, text, expected, body.get('lease_id')
            ),
        )
        return Response({'key': key, 'revision': entry.revision})

    def _delete(self, request: Request, key: str) -> Response:
        expected = _revision(request.query.get('expected_revision'))
        entry = self._apply_change(
            'write',
            key,
            lambda: self._model.store.delete(key, expected),
        )
        return Response({'key': key, 'revision': entry.revision})

    def _list(self, request: Request) -> Response:
        prefix = request.query.get('prefix', '')
        self._begin_call('list', prefix)
        return _changes_response(self._model.store.list_prefix(prefix))

    def _watch(self, request: Request) -> Response:
        prefix = request.query.get('prefix', '')
        after = _revision(request.query.get('after'))
        wait_s = min(float(request.query.get('wait_s', 0)), MAX_WAIT_S)
        self._begin_call('watch', prefix)
        deadline_s = time.monotonic() + wait_s
        while True:
            self._model.faults.before(prefix)
            changes = self._model.store.changes_after(prefix, after)
            remaining_s = deadline_s - time.monotonic()
            if changes.items or remaining_s <= 0:
                return _changes_response(changes)
            self._changed.wait(remaining_s)

    def _grant(self, request: Request) -> Response:
        ttl_s = float(_field(request.json, 'ttl_s'))
        lease_id = self._apply_change(
            'lease',
            None,
            lambda: self._model.store.grant_lease(ttl_s, time.monotonic()),
        )
        return Response({'lease_id': lease_id})

    def _renew(self, request: Request, lease_id: str) -> Response:
        ttl_s = self._apply_change(
            'lease',
            None,
            lambda: self._model.store.renew_lease(lease_id, time.monotonic()),
        )
        return Response({'lease_id': lease_id, 'ttl_s': ttl_s})

    def _revoke(self, request: Request, lease_id: str) -> Response:
        self._apply_change(
            'lease',
            None,
            lambda: self._model.store.revoke_lease(lease_id, time.monotonic()),
        )
        return Response({'lease_id': lease_id})

    def _instances(self, request: Request) -> Response:
        self._begin_call('instances', None)
        return Response({'instances': self._model.instances(time.monotonic())})

    def _add_instance(self, request: Request) -> Response:
        instance = build(Instance, request.json)
        self._model.list_instance(instance, time.monotonic())
        return Response({'instance_id': instance.instance_id})

    def _remove_instance(self, request: Request, instance_id: str) -> Response:
        self._model.unlist_instance(instance_id, time.monotonic())
        return Response({'instance_id': instance_id})

    def _targets(self, request: Request) -> Response:
        self._begin_call('targets', None)
        return Response({'targets': self._model.targets(time.monotonic())})

    def _order(self, request: Request) -> Response:
        order = build(TargetOrder, request.json)
        result = self._apply_change(
            'order',
            None,
            lambda: self._model.order_targets(order, time.monotonic()),
        )
        return Response(result)

    def _usage(self, request: Request) -> Response:
        window = build(UsageWindow, request.json)
        self._apply_change(
            'usage',
            None,
            lambda: self._model.report_usage(window, time.monotonic()),
        )
        return Response({'window_id': window.window_id})

    def _set_faults(self, request: Request) -> Response:
        for name, value in request.json.items():
            if not hasattr(self._model.faults, name):
                raise BadCallError(cause=f'unknown fault {name}')
            setattr(self._model.faults, name, value)
        self._changed.notify()
        return Response(self._model.faults)

    def _set_targets(self, request: Request) -> Response:
        body = request.json
        targets = [build(Target, entry) for entry in body.get('targets', ())]
        spares = [build(Target, entry) for entry in body.get('spares', ())]
        self._model.replace_targets(targets, spares)
        return Response({'targets': targets, 'spares': spares})

    def _reclaim(self, request: Request) -> Response:
        body = request.json
        domain = _field(body, 'domain')
        notice_s = float(_field(body, 'notice_s'))
        self._model.reclaim_targets(domain, notice_s, time.monotonic())
        return Response({'domain': domain})

    def _take_copy(self, request: Request) -> Response:
        self._copy = self._model.store.take_copy()
        return Response({'revision': self._copy.revision})

    def _return_from_copy(self, request: Request) -> Response:
        store = self._model.store
        store.return_from(self._copy, time.monotonic())
        self._changed.notify()
        return Response({'revision': store.revision, 'era': store.era})

    def _counts(self, request: Request) -> Response:
        return Response(self._model.meter.counts)

    def _record(self, request: Request) -> Response:
        return Response(self._model.record)

    def _begin_call(self, kind: str, key: str | None) -> None:
        delay_s = self._model.delay_s(key)
        if delay_s:
            eventlet.sleep(delay_s)
        self._model.begin_call(kind, key, time.monotonic())

    def _apply_change(
        self, kind: str, key: str | None, apply: Callable[[], Result]
    ) -> Result:
        """Apply a change, and lose its answer if that fault is active."""
        self._begin_call(kind, key)
        result = apply()
        self._changed.notify()
        self._model.finish_write(key)
        return result

    def _expire_leases(self) -> None:
        while True:
            eventlet.sleep(LEASE_CHECK_S)
            revision = self._model.store.revision
            self._model.store.expire(time.monotonic())
            if self._model.store.revision != revision:
                self._changed.notify()


def _revision(text: object) -> int:
    try:
        return int(str(text))
    except ValueError as error:
        raise BadCallError(cause=f'not a revision: {text}') from error


def _field(body: Json, name: str) -> str:
    if name not in body:
        raise BadCallError(cause=f'{name} is missing')
    return str(body[name])


def _entry_response(entry: StoreEntry, status: int) -> Response:
    if status == 404:
        return Response({'key': entry.key, 'revision': 0}, status)
    return Response(attrs.asdict(entry), status)


def _changes_response(changes: StoreChanges) -> Response:
    return Response(changes)
