"""Client for the platform's lists, target orders and usage reports."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

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
)
from dandelionyoke_wire._guarded import MaySend, call_guarded
from dandelionyoke_wire._transport import (
    JsonResponse,
    TransportError,
    call_json,
    new_pool,
)

READ_TIMEOUT_S = 5.0

_CALL_ERRORS = (
    TransportError,
    KeyError,
    TypeError,
    ValueError,
    BaseValidationError,
)


class PlatformClient:
    """Client that performs platform actions and emits results as events."""

    def __init__(self, base_url: str, emit: Callable[[Event], None]) -> None:
        self._base_url = base_url.rstrip('/')
        self._emit = emit
        self._pool = new_pool()

    def list_targets(self) -> None:
        """Fetch the list of targets."""
        self._emit_list('/targets', _parse_targets)

    def list_instances(self) -> None:
        """Fetch the list of entry instances, which may be stale."""
        self._emit_list('/instances', _parse_instances)

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

    def _emit_list(
        self, path: str, parse: Callable[[Mapping[str, Any]], Event]
    ) -> None:
        try:
            response = self._call('GET', path, None)
            event = parse(response.body)
        except _CALL_ERRORS as error:
            event = ListingFailed(f'{path}: {error}')
        self._emit(event)

    def _call(
        self, method: str, path: str, body: Mapping[str, Any] | None
    ) -> JsonResponse:
        return call_json(
            self._pool,
            method,
            f'{self._base_url}{path}',
            body,
            read_timeout_s=READ_TIMEOUT_S,
        )


def _parse_targets(body: Mapping[str, Any]) -> Event:
    return TargetsListed(structure(body['targets'], tuple[Target, ...]))


def _parse_instances(body: Mapping[str, Any]) -> Event:
    return InstancesListed(structure(body['instances'], tuple[Instance, ...]))
