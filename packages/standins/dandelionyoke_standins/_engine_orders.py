"""Orders to an engine: fencing, the record of ids, and what takes time."""

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
    """An order as the engine takes it."""

    order_id: str
    fence: int
    kind: OrderKind
    argument: str = ''


@attrs.frozen
class EngineOrderAnswer:
    """What became of an order."""

    order_id: str
    state: OrderState
    cause: str = ''


@attrs.frozen
class ReceivedEngineOrder:
    """An order as received, with what was answered."""

    at_s: float
    order: EngineOrder
    answer: EngineOrderAnswer
    is_repeat: bool


@attrs.frozen
class OrderTimes:
    """How long the engine takes over the orders that take time."""

    role_s: float = 3.0
    model_s: float = 2.0


class OrderDesk:
    """Decides about orders, and remembers every one of them."""

    def __init__(self, is_checking_fence: bool) -> None:
        self.highest_fence = 0
        self.received: list[ReceivedEngineOrder] = []
        self._is_checking = is_checking_fence
        self._answers: dict[str, EngineOrderAnswer] = {}
        self._open: EngineOrder | None = None
        self._open_until_s: float = 0

    @property
    def open_order(self) -> EngineOrder | None:
        """The order that the engine is busy with."""
        return self._open

    def left_s(self, now_s: float) -> float:
        """Tell how long the open order still takes."""
        return max(0, self._open_until_s - now_s)

    def answer_to(self, order_id: str) -> EngineOrderAnswer | None:
        """Give the present state of an order that was received."""
        return self._answers.get(order_id)

    def receive(
        self, order: EngineOrder, takes_s: float, now_s: float
    ) -> EngineOrderAnswer:
        """Take an order once; a repeated id changes nothing."""
        recorded = self._answers.get(order.order_id)
        answer = recorded or self._decide(order, takes_s, now_s)
        self._answers[order.order_id] = answer
        is_repeat = recorded is not None
        self.received.append(
            ReceivedEngineOrder(now_s, order, answer, is_repeat)
        )
        return answer

    def close_due(self, now_s: float) -> EngineOrder | None:
        """Close the open order when its time is over, and give it."""
        order = self._open
        if order is None or now_s < self._open_until_s:
            return None
        self._open = None
        self._answers[order.order_id] = _answer(order, 'done')
        return order

    def _decide(
        self, order: EngineOrder, takes_s: float, now_s: float
    ) -> EngineOrderAnswer:
        if self._is_checking:
            if order.fence < self.highest_fence:
                return _answer(order, 'refused', CAUSE_STALE_FENCE)
            self.highest_fence = order.fence
        if order.kind == 'role' and order.argument not in ROLES:
            return _answer(order, 'refused', CAUSE_ARGUMENT)
        if takes_s <= 0:
            return _answer(order, 'done')
        if self._open is not None:
            return _answer(order, 'refused', CAUSE_BUSY)
        self._open = order
        self._open_until_s = now_s + takes_s
        return _answer(order, 'accepted')


def _answer(
    order: EngineOrder, state: OrderState, cause: str = ''
) -> EngineOrderAnswer:
    return EngineOrderAnswer(order.order_id, state, cause)
