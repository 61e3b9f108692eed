"""Client for the platform's lists, target orders and usage reports."""

import reprlib
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import urllib3
from cattrs import BaseValidationError, structure, unstructure

from dandelionyoke_core import (
    Event,
    Instance,
    InstancesListed,
    ListingFailed,
    OrderState,
    SendTargetOrder,
    SubmitUsage,
    Target,
    TargetOrder,
    TargetOrderResponded,
    TargetsListed,
    UsageReportResponded,
    UsageWindow,
    WriteLog,
)
from dandelionyoke_wire._guarded import MaySend, call_guarded
from dandelionyoke_wire._list_entries import parse_entries
from dandelionyoke_wire._transport import (
    JsonResponse,
    TransportError,
    call_raw,
    new_pool,
)

READ_TIMEOUT_S = 5.0
# An entry may be as large as the list; the log has its beginning.
MAX_LOGGED_CHARS = 200

_TARGET_TEXTS = ('target_id', 'service', 'domain', 'address')
_INSTANCE_TEXTS = ('instance_id', 'domain', 'caller_address', 'peer_address')
_Record = TypeVar('_Record', Target, Instance)

_CALL_ERRORS = (
    TransportError,
    KeyError,
    TypeError,
    ValueError,
    BaseValidationError,
)
_ENTRY_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
    BaseValidationError,
)


class PlatformClient:
    """Client that performs platform actions and emits results as events."""

    def __init__(
        self,
        base_url: str,
        emit: Callable[[Event], None],
        record: Callable[[WriteLog], None],
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._emit = emit
        self._record = record
        self._pool = new_pool()
        # The unreadable entries of each list that were logged last.
        self._unreadable: dict[str, list[str]] = {}

    def list_targets(self) -> None:
        """Fetch the list of targets."""
        try:
            targets = self._read_list('targets', _read_target)
        except _CALL_ERRORS as error:
            self._emit(ListingFailed(f'targets: {error}'))
        else:
            self._emit(TargetsListed(targets))

    def list_instances(self) -> None:
        """Fetch the list of entry instances, which may be stale."""
        try:
            instances = self._read_list('instances', _read_instance)
        except _CALL_ERRORS as error:
            self._emit(ListingFailed(f'instances: {error}'))
        else:
            self._emit(InstancesListed(instances))

    def order_targets(self, action: SendTargetOrder, may_send: MaySend) -> None:
        """Send an order; `may_send` is checked before each write."""
        state, cause = OrderState.UNKNOWN, ''
        try:
            response = self._call_guarded(
                '/targets/orders', action.order, may_send
            )
            state = OrderState(response.body['state'])
        except _CALL_ERRORS as error:
            cause = str(error)
        self._emit(TargetOrderResponded(action.order.order_id, state, cause))

    def submit_usage(self, action: SubmitUsage, may_send: MaySend) -> None:
        """Report a usage window; `may_send` is checked before each write."""
        window = action.window
        accepted: bool | None = None
        try:
            response = self._call_guarded('/usage/windows', window, may_send)
        except TransportError:
            accepted = None
        else:
            accepted = response.status == HTTPStatus.OK
        self._emit(UsageReportResponded(window.window_id, accepted))

    def _call_guarded(
        self,
        path: str,
        record: TargetOrder | UsageWindow,
        may_send: MaySend,
    ) -> JsonResponse:
        return call_guarded(
            'POST',
            f'{self._base_url}{path}',
            unstructure(record),
            may_send,
            READ_TIMEOUT_S,
        )

    def _read_list(
        self, name: str, read: Callable[[object], _Record]
    ) -> tuple[_Record, ...]:
        """Read a list without the entries that cannot be read.

        Raises:
            TransportError: no complete answer arrived.
            ValueError: the answer has no such list.
        """
        response = call_raw(
            self._pool,
            'GET',
            f'{self._base_url}/{name}',
            read_timeout_s=READ_TIMEOUT_S,
        )
        records, unreadable = [], []
        for entry in parse_entries(response.data, name):
            try:
                records.append(read(entry))
            except _ENTRY_ERRORS:
                unreadable.append(_describe(entry))
        self._log_unreadable(name, unreadable)
        return tuple(records)

    def _log_unreadable(self, name: str, unreadable: list[str]) -> None:
        if unreadable == self._unreadable.get(name, []):
            return
        self._unreadable[name] = unreadable
        first = unreadable[0] if unreadable else ''
        detail = f'{len(unreadable)} left out'
        self._record(WriteLog(f'{name}.unreadable', name, detail, first))


def _read_target(entry: object) -> Target:
    target = _structure(entry, Target, _TARGET_TEXTS)
    if not urllib3.util.parse_url(target.address).host:
        raise ValueError(f'{target.address!r} is no address')
    return target


def _read_instance(entry: object) -> Instance:
    return _structure(entry, Instance, _INSTANCE_TEXTS)


def _structure(
    entry: object, record_type: type[_Record], texts: tuple[str, ...]
) -> _Record:
    """Return the record of an entry; numbers count as texts.

    Raises:
        ValueError: the entry is no object, or a text is something else.
    """
    if not isinstance(entry, dict):
        raise ValueError('the entry is no object')
    for name in texts:
        # The text of a list would be taken for that of the field.
        if not isinstance(entry.get(name), str | int):
            raise ValueError(f'{name} is no text')
    return structure(entry, record_type)


def _describe(entry: object) -> str:
    """Return the beginning of the text of an entry."""
    if isinstance(entry, bytes):
        return entry[:MAX_LOGGED_CHARS].decode(errors='replace').strip()
    return reprlib.repr(entry)[:MAX_LOGGED_CHARS]
