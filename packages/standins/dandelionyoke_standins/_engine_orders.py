"""Orders to an engine: fencing, deduplication and duration."""

from typing import Literal

import attrs

OrderKind = Literal[
    'drain',
    'undrain',
    'role',
    'load_model',
    'unload_model',
    'load_adapter',
    'set_version',
]
OrderState = Literal['done', 'accepted', 'refused']

ROLES = ('prefill', 'decode', 'mixed')
CAUSE_STALE_FENCE = 'stale_fence'
CAUSE_BUSY = 'busy'
CAUSE_ARGUMENT = 'argument'


@attrs.frozen
class EngineOrder:
    """An order to an engine."""

    order_id: str
    fence: int
    kind: OrderKind
    argument: str = ''


@attrs.frozen
class EngineOrderAnswer:
    """The state of an order, and the cause of a refusal."""

    order_id: str
    state: OrderState
    cause: str = ''


@attrs.frozen
class ReceivedEngineOrder:
    """An order as received, with its answer."""

    at_s: float
    order: EngineOrder
    answer: EngineOrderAnswer
    is_repeat: bool


@attrs.frozen
class OrderTimes:
    """How long the engine takes for the orders that are not instant."""

    role_s: float = 3.0
    model_s: float = 2.0


class OrderProcessor:
    """Accepts or refuses orders and records each one."""

    def __init__(self, is_checking_fence: bool) -> None:
        self.highest_fence = 0
        self.received: list[ReceivedEngineOrder] = []
        self._is_checking_fence = is_checking_fence
        self._answers: dict[str, EngineOrderAnswer] = {}
        self._active: EngineOrder | None = None
        self._active_until_s: float = 0

    @property
    def active_order(self) -> EngineOrder | None:
        """The order in progress, if any."""
        return self._active

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining time of the active order (s)."""
        return max(0, self._active_until_s - now_s)

    def answer_for(self, order_id: str) -> EngineOrderAnswer | None:
        """Return the current answer to an order, or None if it is unknown."""
        return self._answers.get(order_id)

    def receive(
        self, order: EngineOrder, duration_s: float, now_s: float
    ) -> EngineOrderAnswer:
        """Process an order; a repeated order id has no further effect."""
        recorded = self._answers.get(order.order_id)
        answer = recorded or self._decide(order, duration_s, now_s)
        self._answers[order.order_id] = answer
        is_repeat = recorded is not None
        self.received.append(
            ReceivedEngineOrder(now_s, order, answer, is_repeat)
        )
        return answer

    def complete_due(self, now_s: float) -> EngineOrder | None:
        """Complete the active order if its time is over, and return it."""
        order = self._active
        if order is None or now_s < self._active_until_s:
            return None
        self._active = None
        self._answers[order.order_id] = _answer(order, 'done')
        return order

    def _decide(
        self, order: EngineOrder, duration_s: float, now_s: float
    ) -> EngineOrderAnswer:
        if self._is_checking_fence:
            if order.fence < self.highest_fence:
                return _answer(order, 'refused', CAUSE_STALE_FENCE)
            self.highest_fence = order.fence
        if order.kind == 'role' and order.argument not in ROLES:
            return _answer(order, 'refused', CAUSE_ARGUMENT)
        if duration_s <= 0:
            return _answer(order, 'done')
        if self._active is not None:
            return _answer(order, 'refused', CAUSE_BUSY)
        self._active = order
        self._active_until_s = now_s + duration_s
        return _answer(order, 'accepted')


def _answer(
    order: EngineOrder, state: OrderState, cause: str = ''
) -> EngineOrderAnswer:
    return EngineOrderAnswer(order.order_id, state, cause)
