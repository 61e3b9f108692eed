"""Clients of the platform and the entry instances."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Protocol

import attrs

from dandelionyoke_core import (
    Action,
    CodecError,
    Domain,
    Instance,
    InstanceId,
    StoreResult,
    record_from_json,
)
from dandelionyoke_operator._errors import UnavailableError
from dandelionyoke_wire import (
    StoreClient,
    TransportError,
    call_json,
    new_pool,
)

READ_TIMEOUT_S = 2.0

_LIST_ERRORS = (TransportError, CodecError, KeyError, TypeError)

_REMEDY = 'Check the address of the platform, then try again'


class Store(Protocol):
    """The platform's key-value service."""

    def perform(self, action: Action) -> StoreResult:
        """Perform one store action and return its result."""


@attrs.frozen
class EntryStatus:
    """Status reported by an entry; None for values that it left out."""

    instance_id: InstanceId
    domain: Domain
    revision: int | None = None
    knowledge_age_s: float | None = None
    leaving: bool = False
    in_progress: int | None = None
    usable_targets: int | None = None
    duties: tuple[str, ...] = ()


class Platform(Protocol):
    """Services that the program uses over the network."""

    @property
    def store(self) -> Store:
        """Store that holds the configuration."""

    def instances(self) -> tuple[Instance, ...]:
        """List the entry instances.

        Raises:
            UnavailableError: the platform returned no valid list.
        """

    def entry_status(self, instance: Instance) -> EntryStatus | None:
        """Return the status of an entry, or None if it does not answer."""


class HttpPlatform:
    """Access to the platform and the entries over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._base_url = _with_scheme(base_url).rstrip('/')
        self._pool = new_pool()
        self._store = StoreClient(self._base_url, self._pool)

    @property
    def store(self) -> Store:
        """Store that holds the configuration."""
        return self._store

    def instances(self) -> tuple[Instance, ...]:
        """List the entry instances."""
        try:
            listed = self._get(f'{self._base_url}/instances')['instances']
            return tuple(
                record_from_json(json.dumps(each), Instance) for each in listed
            )
        except _LIST_ERRORS as error:
            raise UnavailableError(
                f'The platform gave no list of instances: {error}', _REMEDY
            ) from error

    def entry_status(self, instance: Instance) -> EntryStatus | None:
        """Return the status of an entry, or None if it does not answer."""
        url = f'{_with_scheme(instance.caller_address)}/status'
        try:
            return _parse_status(instance, self._get(url))
        except (TransportError, CodecError):
            return None

    def _get(self, url: str) -> Mapping[str, Any]:
        reply = call_json(self._pool, 'GET', url, read_timeout_s=READ_TIMEOUT_S)
        if reply.status != HTTPStatus.OK:
            raise TransportError(f'{url} answered {reply.status}', sent=True)
        return reply.body


def _with_scheme(address: str) -> str:
    return address if '://' in address else f'http://{address}'


def _parse_status(instance: Instance, body: Mapping[str, Any]) -> EntryStatus:
    """Parse the status of an entry; absent values are None.

    The list of instances may be stale, and another process may have taken
    over the address of an instance in it. Its status would then be taken for
    that of the old instance, and a change reported as in force where it is
    not known. A status with another instance id is therefore rejected.
    """
    if body.get('instance_id') != instance.instance_id:
        raise CodecError(
            f'{instance.caller_address} answers with another instance id',
            'Wait until the list of instances has caught up',
        )
    return record_from_json(
        json.dumps({'domain': instance.domain, **body}), EntryStatus
    )
