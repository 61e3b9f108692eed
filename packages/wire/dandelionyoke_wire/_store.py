"""Client for the HTTP API of the platform's store (docs/PROTOCOL.md)."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import quote, urlencode

import urllib3

from dandelionyoke_core import (
    Action,
    EraStore,
    LeaseExpired,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRelease,
    LeaseRenew,
    StoreConflict,
    StoreDelete,
    StoreEra,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWatch,
    StoreWritten,
)
from dandelionyoke_wire._transport import (
    JsonResponse,
    TransportError,
    call_json,
    new_pool,
)

READ_TIMEOUT_S = 5.0

# Added to the wait of a watch to allow for network delay.
WATCH_MARGIN_S = 5.0

# Rises each time that the store comes back from a copy.
ERA_HEADER = 'Store-Era'

_EMPTY_BODY: Mapping[str, Any] = MappingProxyType({})


class StoreClient(EraStore):
    """Client that performs store actions and returns their results.

    `perform` blocks; an entry runs each call in its own green thread.
    """

    def __init__(
        self,
        base_url: str,
        pool: urllib3.PoolManager | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        calls_pool = pool or new_pool()
        super().__init__(
            StoreEra(),
            lambda: _StoreExchange(
                base_url.rstrip('/'), calls_pool, read_timeout_s
            ),
        )


class _StoreExchange:
    """Performs one action in the store's own revisions and leases."""

    def __init__(
        self, base_url: str, pool: urllib3.PoolManager, read_timeout_s: float
    ) -> None:
        self._base_url = base_url
        self._pool = pool
        self._read_timeout_s = read_timeout_s
        self.era_text: str | None = None

    def perform(self, action: Action) -> StoreResult:
        """Perform a store action; a failed call returns StoreFailed."""
        try:
            return self._dispatch(action)
        except TransportError as error:
            return StoreFailed(error.cause, may_have_been_applied=error.sent)
        except (KeyError, TypeError, ValueError) as bad:
            return StoreFailed(
                f'bad answer: {bad!r}', may_have_been_applied=True
            )

    def _dispatch(self, action: Action) -> StoreResult:
        match action:
            case StoreGet():
                return self._get(action)
            case StorePut():
                return self._put(action)
            case StoreDelete():
                return self._delete(action)
            case StoreList() | StoreWatch():
                return self._list_or_watch(action)
            case LeaseGrant() | LeaseRenew() | LeaseRelease():
                return self._lease(action)
        raise TypeError(f'{type(action).__name__} is not a store action')

    def _get(self, action: StoreGet) -> StoreResult:
        response = self._call('GET', _value_path(action.key))
        if response.status == HTTPStatus.NOT_FOUND:
            return StoreItem(action.key, 0, None)
        return _failure(response) or _parse_item(response.body)

    def _put(self, action: StorePut) -> StoreResult:
        body: dict[str, Any] = {
            'value': action.value,
            'expected_revision': action.expected_revision,
        }
        if action.lease_id is not None:
            body['lease_id'] = action.lease_id
        response = self._call('PUT', _value_path(action.key), body)
        return _parse_write(response)

    def _delete(self, action: StoreDelete) -> StoreResult:
        query = urlencode({'expected_revision': action.expected_revision})
        path = f'{_value_path(action.key)}?{query}'
        return _parse_write(self._call('DELETE', path))

    def _list_or_watch(self, action: StoreList | StoreWatch) -> StoreResult:
        if isinstance(action, StoreList):
            query = urlencode({'prefix': action.prefix})
            response = self._call('GET', f'/store/list?{query}')
        else:
            query = urlencode(
                {
                    'prefix': action.prefix,
                    'after': action.after_revision,
                    'wait_s': action.wait_s,
                }
            )
            response = self._call(
                'GET',
                f'/store/watch?{query}',
                read_timeout_s=action.wait_s + WATCH_MARGIN_S,
            )
        return _failure(response) or _parse_listing(response.body)

    def _lease(
        self, action: LeaseGrant | LeaseRenew | LeaseRelease
    ) -> StoreResult:
        if isinstance(action, LeaseGrant):
            response = self._call(
                'POST', '/store/leases', {'ttl_s': action.ttl_s}
            )
            return _failure(response) or LeaseGranted(
                LeaseId(str(response.body['lease_id'])), action.ttl_s
            )
        path = f'/store/leases/{quote(action.lease_id, safe="")}'
        if isinstance(action, LeaseRelease):
            response = self._call('DELETE', path)
            return _failure(response) or LeaseExpired(action.lease_id)
        response = self._call('POST', f'{path}/renew', _EMPTY_BODY)
        if response.status == HTTPStatus.NOT_FOUND:
            return LeaseExpired(action.lease_id)
        return _failure(response) or LeaseGranted(
            action.lease_id, float(response.body['ttl_s'])
        )

    def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        read_timeout_s: float | None = None,
    ) -> JsonResponse:
        response = call_json(
            self._pool,
            method,
            f'{self._base_url}{path}',
            body,
            read_timeout_s=read_timeout_s or self._read_timeout_s,
        )
        self.era_text = response.headers.get(ERA_HEADER)
        return response


def _value_path(key: str) -> str:
    return f'/store/value/{quote(key)}'


def _failure(response: JsonResponse) -> StoreFailed | None:
    if response.status == HTTPStatus.OK:
        return None
    # The store returns 503 and 429 before it processes a write.
    refused = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
    return StoreFailed(
        f'the store answered {response.status}',
        may_have_been_applied=response.status not in refused,
    )


def _parse_write(response: JsonResponse) -> StoreResult:
    if response.status == HTTPStatus.CONFLICT:
        return StoreConflict(_parse_item(response.body))
    return _failure(response) or StoreWritten(
        str(response.body['key']), int(response.body['revision'])
    )


def _parse_item(body: Mapping[str, Any]) -> StoreItem:
    value = body.get('value')
    return StoreItem(
        str(body['key']),
        int(body['revision']),
        None if value is None else str(value),
    )


def _parse_listing(body: Mapping[str, Any]) -> StoreListing:
    return StoreListing(
        int(body['revision']),
        tuple(_parse_item(item) for item in body['items']),
    )
