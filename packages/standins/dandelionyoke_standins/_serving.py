"""An engine's role, models and drain state, and how orders change them."""

from collections.abc import Iterable
from typing import cast

import attrs

from dandelionyoke_standins._attempt import Attempt
from dandelionyoke_standins._batch import Role
from dandelionyoke_standins._engine_orders import EngineOrder, OrderTimes

INSTANT_ORDERS = ('drain', 'undrain')
KV_CLEARING_ORDERS = ('role', 'set_version')


@attrs.define
class ServingState:
    """The engine's role, loaded models, version and drain state."""

    role: Role
    models: tuple[str, ...]
    version: str = ''
    drain_order_id: str | None = None

    @property
    def is_draining(self) -> bool:
        """Whether new attempts are refused until an undrain order."""
        return self.drain_order_id is not None

    def duration_s(self, order: EngineOrder, times: OrderTimes) -> float:
        """Return how long an order takes (s)."""
        if order.kind in INSTANT_ORDERS or self._is_no_op(order):
            return 0
        return times.role_s if order.kind == 'role' else times.model_s

    def aborted_by(
        self, order: EngineOrder, attempts: Iterable[Attempt]
    ) -> tuple[Attempt, ...]:
        """Return the attempts that an order aborts."""
        if self.clears_kv_cache(order):
            return tuple(attempts)
        if order.kind != 'unload_model':
            return ()
        return tuple(
            attempt
            for attempt in attempts
            if attempt.request.model == order.argument
        )

    def clears_kv_cache(self, order: EngineOrder) -> bool:
        """Return whether an order clears the KV cache."""
        return order.kind in KV_CLEARING_ORDERS and not self._is_no_op(order)

    def begin(self, order: EngineOrder) -> None:
        """Apply the part of an order that takes effect at its start."""
        if order.kind == 'unload_model':
            self.models = tuple(
                name for name in self.models if name != order.argument
            )

    def complete(self, order: EngineOrder) -> None:
        """Apply the part of an order that takes effect on completion."""
        match order.kind:
            case 'drain':
                self.drain_order_id = order.order_id
            case 'undrain':
                self.drain_order_id = None
            case 'role':
                self.role = cast(Role, order.argument)
            case 'set_version':
                self.version = order.argument
            case 'load_model' | 'load_adapter':
                self.models = tuple(sorted({*self.models, order.argument}))

    def _is_no_op(self, order: EngineOrder) -> bool:
        return order.kind == 'role' and order.argument == self.role
