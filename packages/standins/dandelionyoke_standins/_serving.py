"""What an engine serves and in which role, and how orders change it."""

from collections.abc import Iterable
from typing import cast

import attrs

from dandelionyoke_standins._attempt import Attempt
from dandelionyoke_standins._batch import Role
from dandelionyoke_standins._engine_orders import EngineOrder, OrderTimes

INSTANT_ORDERS = ('drain', 'undrain')
CLEARING_ORDERS = ('role', 'set_version')


@attrs.define
class Serving:
    """The engine's role, its models, and whether it is draining."""

    role: Role
    models: tuple[str, ...]
    version: str = ''
    drain_order_id: str | None = None

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused until an undrain order."""
        return self.drain_order_id is not None

    def takes_s(self, order: EngineOrder, times: OrderTimes) -> float:
        """Tell how long the engine is busy with an order."""
        if order.kind in INSTANT_ORDERS or self._changes_nothing(order):
            return 0
        return times.role_s if order.kind == 'role' else times.model_s

    def cut_by(
        self, order: EngineOrder, attempts: Iterable[Attempt]
    ) -> tuple[Attempt, ...]:
        """Give the work that can't go on under an order."""
        if self.clears_memory(order):
            return tuple(attempts)
        if order.kind != 'unload_model':
            return ()
        return tuple(
            attempt
            for attempt in attempts
            if attempt.request.model == order.argument
        )

    def clears_memory(self, order: EngineOrder) -> bool:
        """Tell whether an order empties the KV memory."""
        return order.kind in CLEARING_ORDERS and not self._changes_nothing(
            order
        )

    def begin(self, order: EngineOrder) -> None:
        """Give up at once what an order takes away."""
        if order.kind == 'unload_model':
            self.models = tuple(
                name for name in self.models if name != order.argument
            )

    def complete(self, order: EngineOrder) -> None:
        """Be what an order asked for."""
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

    def _changes_nothing(self, order: EngineOrder) -> bool:
        return order.kind == 'role' and order.argument == self.role
