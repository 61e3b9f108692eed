"""The platform's lists, target orders and usage reports."""

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
    TargetOrderAnswered,
    TargetsListed,
    UsageAnswered,
)
from dandelionyoke_wire._transport import (
    Reply,
    TransportError,
    call_json,
    new_pool,
)

READ_TIMEOUT_S = 5.0

_NO_ANSWER = (
    TransportError,
    KeyError,
    TypeError,
    ValueError,
    BaseValidationError,
)


class PlatformClient:
    """Performs platform actions; what comes back is emitted as events."""

    def __init__(self, base_url: str, emit: Callable[[Event], None]) -> None:
        self._base_url = base_url.rstrip('/')
        self._emit = emit
        self._pool = new_pool()

    def register(self, instance: Instance) -> None:
        """List this entry; only the tests' platform needs to be told.

        Raises:
            TransportError: the platform gave no answer.
        """
        self._call('POST', '/instances', unstructure(instance))

    def list_targets(self) -> None:
        """Read the list of targets."""
        self._list('/targets', _targets_listed)

    def list_instances(self) -> None:
        """Read the lagging list of entry instances."""
        self._list('/instances', _instances_listed)

    def order_targets(
        self, action: SendTargetOrder, may_send: Callable[[], bool]
    ) -> None:
        """Send an order if `may_send` still holds as its bytes leave."""
        order_id = action.order.order_id
        state, cause = OrderState.UNKNOWN, 'term over, not sent'
        if may_send():
            state, cause = self._send_order(unstructure(action.order))
        self._emit(TargetOrderAnswered(order_id, state, cause))

    def submit_usage(
        self, action: SubmitUsage, may_send: Callable[[], bool]
    ) -> None:
        """Report a window if `may_send` still holds as its bytes leave."""
        window = action.window
        accepted: bool | None = None
        if may_send():
            accepted = self._submit(unstructure(window))
        self._emit(UsageAnswered(window.window_id, accepted))

    def _send_order(self, order: Mapping[str, Any]) -> tuple[OrderState, str]:
        try:
            reply = self._call('POST', '/targets/orders', order)
            state = OrderState(reply.body['state'])
        except _NO_ANSWER as error:
            return OrderState.UNKNOWN, str(error)
        return state, str(reply.body.get('cause', ''))

    def _submit(self, window: Mapping[str, Any]) -> bool | None:
        try:
            reply = self._call('POST', '/usage/windows', window)
        except TransportError:
            return None
        return reply.status == HTTPStatus.OK

    def _list(
        self, path: str, read: Callable[[Mapping[str, Any]], Event]
    ) -> None:
        try:
            reply = self._call('GET', path, None)
            event = read(reply.body)
        except _NO_ANSWER as error:
            event = ListingFailed(f'{path}: {error}')
        self._emit(event)

    def _call(
        self, method: str, path: str, body: Mapping[str, Any] | None
    ) -> Reply:
        return call_json(
            self._pool,
            method,
            f'{self._base_url}{path}',
            body,
            read_timeout_s=READ_TIMEOUT_S,
        )


def _targets_listed(body: Mapping[str, Any]) -> Event:
    return TargetsListed(structure(body['targets'], tuple[Target, ...]))


def _instances_listed(body: Mapping[str, Any]) -> Event:
    return InstancesListed(structure(body['instances'], tuple[Instance, ...]))
