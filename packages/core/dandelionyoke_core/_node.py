"""One node: the parts behind a single `handle`.

The node decides nothing itself. It gives each event to the parts that take
its type, feeds their notices back in, and returns the actions in order.
"""

from collections import deque
from collections.abc import Sequence

from dandelionyoke_core._actions import Action
from dandelionyoke_core._events import Event, Notice, Woken
from dandelionyoke_core._ports import Part

# A notice that keeps causing notices would hang the process without a sign;
# no event needs near as many steps.
MAX_STEPS = 100_000


class NoticeLoopError(RuntimeError):
    """Parts kept answering each other's notices."""


class Composition:
    """Parts that take events in a fixed order, in one thread."""

    def __init__(self, parts: Sequence[Part]) -> None:
        self._parts = tuple(parts)
        self._takers: dict[type[Event], tuple[Part, ...]] = {}
        self._wakeup_s = self._earliest_s()

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take one event; return the actions that follow, in order."""
        actions: list[Action] = []
        waiting: deque[Event] = deque((event,))
        for _ in range(MAX_STEPS):
            if not waiting:
                # Parts change only in here, so that one look at all of them
                # serves every question until the next event.
                self._wakeup_s = self._earliest_s()
                return actions
            self._step(waiting, now_s, actions)
        raise NoticeLoopError(f'{event!r} causes notices without end')

    def next_wakeup_s(self) -> float | None:
        """Tell when the next `Woken` is due, or None."""
        return self._wakeup_s

    def _earliest_s(self) -> float | None:
        wakeups = (part.next_wakeup_s() for part in self._parts)
        return min(
            (wakeup for wakeup in wakeups if wakeup is not None),
            default=None,
        )

    def _step(
        self, waiting: deque[Event], now_s: float, actions: list[Action]
    ) -> None:
        event = waiting.popleft()
        for part in self._takers_of(event, now_s):
            for output in part.handle(event, now_s):
                if isinstance(output, Notice):
                    waiting.append(output)
                else:
                    actions.append(output)

    def _takers_of(self, event: Event, now_s: float) -> tuple[Part, ...]:
        if isinstance(event, Woken):
            return tuple(part for part in self._parts if _is_due(part, now_s))
        taken = type(event)
        if taken not in self._takers:
            self._takers[taken] = tuple(
                part for part in self._parts if issubclass(taken, part.handles)
            )
        return self._takers[taken]


def _is_due(part: Part, now_s: float) -> bool:
    wakeup_s = part.next_wakeup_s()
    return wakeup_s is not None and wakeup_s <= now_s
