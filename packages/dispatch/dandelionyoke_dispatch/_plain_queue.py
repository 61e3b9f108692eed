"""The calls of one plain service that wait at a node for a target with room.

Load: a burst of calls to targets that are all full. Sent on, they wait in the
targets' queues, which know neither urgency nor organisations, and are refused
once these are full. Here calls that can still meet their goal go first, so that
a burst delays some calls but not all; among them the more urgent ones, with a
share for each organisation.
"""

import itertools
from collections.abc import Collection

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget

# A call that is less urgent by one step has half the share.
RANK_COST = 2.0
MAX_RANK = 9


@attrs.frozen
class PlainQueueSettings:
    """The bound on the calls that wait."""

    max_calls: int = 256


@attrs.frozen(eq=False)
class WaitingCall:
    """A call in the queue; a lower `rank` is more urgent.

    It goes to no target in `avoid`, which may grow while it waits. If it is
    sent after `in_time_until_s`, it misses its goal. `turn` is its place in the
    virtual time of the queue.
    """

    ticket_id: str
    flow: tuple[str, int]
    avoid: Collection[str]
    in_time_until_s: float
    start: float
    turn: float


class PlainQueue:
    """A weighted fair queue over organisations and urgencies.

    It is start-time fair queueing: a call starts in virtual time where the
    previous one of its organisation and urgency ended, and takes longer the
    less urgent it is. The first to end goes first.
    """

    def __init__(self, service: str, settings: PlainQueueSettings) -> None:
        self._service = service
        self._settings = settings
        self._numbers = itertools.count(1)
        self._waiting: dict[str, WaitingCall] = {}
        self._assigned: dict[str, RegisteredTarget] = {}
        self._virtual_time = 0.0
        self._flow_ends: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether more calls wait than should."""
        return len(self._waiting) > self._settings.max_calls

    def enter(
        self,
        organisation: str,
        rank: int,
        avoid: Collection[str],
        in_time_until_s: float,
    ) -> WaitingCall:
        """Add a call."""
        flow = organisation, min(MAX_RANK, max(0, rank))
        start = max(self._virtual_time, self._flow_ends.get(flow, 0.0))
        turn = start + RANK_COST ** flow[1]
        ticket_id = f'plain/{self._service}/{next(self._numbers)}'
        call = WaitingCall(ticket_id, flow, avoid, in_time_until_s, start, turn)
        self._flow_ends[flow] = turn
        self._waiting[ticket_id] = call
        return call

    def in_order(self, now_s: float) -> list[WaitingCall]:
        """Return the waiting calls, the next one first."""
        return sorted(
            self._waiting.values(), key=lambda call: _precedence(call, now_s)
        )

    def count_ahead(self, call: WaitingCall, now_s: float) -> int:
        """Return how many calls go before a waiting one."""
        own = _precedence(call, now_s)
        return sum(
            _precedence(other, now_s) < own for other in self._waiting.values()
        )

    def assign(self, call: WaitingCall, target: RegisteredTarget) -> None:
        """End the wait of a call with a target."""
        self._waiting.pop(call.ticket_id)
        self._assigned[call.ticket_id] = target
        self._virtual_time = max(self._virtual_time, call.start)
        self._forget_idle_flows()

    def assigned(self, call: WaitingCall) -> RegisteredTarget | None:
        """Return the target of a call; None while it waits."""
        return self._assigned.get(call.ticket_id)

    def leave(self, call: WaitingCall) -> None:
        """Remove a call, wherever it is."""
        self._assigned.pop(call.ticket_id, None)
        waited = self._waiting.pop(call.ticket_id, None)
        if waited is not None and self._flow_ends.get(call.flow) == call.turn:
            self._flow_ends[call.flow] = call.start

    def _forget_idle_flows(self) -> None:
        self._flow_ends = {
            flow: end
            for flow, end in self._flow_ends.items()
            if end > self._virtual_time
        }


def _precedence(call: WaitingCall, now_s: float) -> tuple[bool, float]:
    return now_s > call.in_time_until_s, call.turn
