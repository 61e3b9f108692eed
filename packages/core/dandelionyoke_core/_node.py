"""Event dispatch between the parts of a node.

The composition makes no decisions. It passes each event to the parts that
handle its type, dispatches the notices that they return, and returns the
actions in order.
"""

from collections import deque
from collections.abc import Sequence

from dandelionyoke_core._actions import Action
from dandelionyoke_core._events import Event, Notice, TimerFired
from dandelionyoke_core._ports import Part

# Guards against notices that cause each other without end, which would hang
# the process silently. No event needs nearly as many dispatches.
MAX_DISPATCHES = 100_000


class NoticeLoopError(RuntimeError):
    """Notices between parts caused each other without end."""


class Composition:
    """Parts that handle events in a fixed order, in one thread."""

    def __init__(self, parts: Sequence[Part]) -> None:
        self._parts = tuple(parts)
        self._parts_by_event_type: dict[type[Event], tuple[Part, ...]] = {}
        self._wakeup_s = self._earliest_wakeup_s()

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event and return the resulting actions in order."""
        actions: list[Action] = []
        pending: deque[Event] = deque((event,))
        for _ in range(MAX_DISPATCHES):
            if not pending:
                # Parts change only in this method, so the earliest wake-up
                # stays valid until the next event.
                self._wakeup_s = self._earliest_wakeup_s()
                return actions
            self._dispatch_next(pending, now_s, actions)
        raise NoticeLoopError(f'{event!r} triggers an endless loop of notices')

    def next_wakeup_s(self) -> float | None:
        """Return the time at which the next `TimerFired` is due, or None."""
        return self._wakeup_s

    def _earliest_wakeup_s(self) -> float | None:
        wakeups = (part.next_wakeup_s() for part in self._parts)
        return min(
            (wakeup for wakeup in wakeups if wakeup is not None),
            default=None,
        )

    def _dispatch_next(
        self, pending: deque[Event], now_s: float, actions: list[Action]
    ) -> None:
        event = pending.popleft()
        for part in self._parts_for(event, now_s):
            for output in part.handle(event, now_s):
                if isinstance(output, Notice):
                    pending.append(output)
                else:
                    actions.append(output)

    def _parts_for(self, event: Event, now_s: float) -> tuple[Part, ...]:
        if isinstance(event, TimerFired):
            return tuple(part for part in self._parts if _is_due(part, now_s))
        event_type = type(event)
        if event_type not in self._parts_by_event_type:
            self._parts_by_event_type[event_type] = tuple(
                part
                for part in self._parts
                if issubclass(event_type, part.handles)
            )
        return self._parts_by_event_type[event_type]


def _is_due(part: Part, now_s: float) -> bool:
    wakeup_s = part.next_wakeup_s()
    return wakeup_s is not None and wakeup_s <= now_s
