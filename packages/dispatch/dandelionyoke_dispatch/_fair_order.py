"""Weighted fair sharing of engine time among queued prompts.

Load: kinds of calls whose bursts change places, and organisations of very
unequal size. In strict order of urgency, a burst of urgent calls leaves nothing
to the others until they are late; sharing by calls gives long prompts nearly
all of the engine time.

The calls of an organisation on a route are a flow. The prompts of a flow are in
order of arrival. Calls that can still reach their goal are served before late
ones, which keep a share, so that a long burst does not starve them.
"""

import math
from bisect import insort
from collections.abc import Iterator, Mapping, Sequence

from dandelionyoke_dispatch._queued_prompt import QueuedPrompt
from dandelionyoke_dispatch._virtual_clock import VirtualClock

# A route has this many times the weight of one that is a rank less urgent.
RANK_WEIGHT_FACTOR = 2.0
MAX_RANK = 9
# The share of late calls in the engine time while others wait as well.
LATE_SHARE = 0.2
WEIGHTS = tuple(RANK_WEIGHT_FACTOR**-rank for rank in range(MAX_RANK + 1))
# The work of a prompt whose time is unknown: all of them count alike.
MIN_WORK_S = 0.001

Flow = tuple[str, str]


class FairOrder:
    """Shares engine time; amounts ahead are seconds of expected work."""

    def __init__(self) -> None:
        self._in_time = _FlowQueue()
        self._late = _FlowQueue()
        self._clock = VirtualClock()
        self._all_in_time_until_s = math.inf

    @property
    def prompts(self) -> Sequence[QueuedPrompt]:
        """The queued prompts."""
        return [*self._in_time.prompts(), *self._late.prompts()]

    def add(self, queued_prompt: QueuedPrompt) -> None:
        """Add a prompt."""
        self._in_time.add(queued_prompt)
        self._all_in_time_until_s = min(
            self._all_in_time_until_s, queued_prompt.in_time_until_s
        )

    def remove(self, ticket_id: str) -> QueuedPrompt | None:
        """Remove a prompt; None if it is not queued."""
        return self._in_time.remove(ticket_id) or self._late.remove(ticket_id)

    def take_next(self, now_s: float) -> QueuedPrompt | None:
        """Remove and return the prompt whose turn it is; None if empty."""
        self._move_late(now_s)
        waiting = [queue for queue in (self._in_time, self._late) if queue]
        if not waiting:
            self._clock.reset()
            return None
        queue = min(waiting, key=self._clock.start)
        queued_prompt = queue.take_next()
        share = LATE_SHARE if queue is self._late else 1 - LATE_SHARE
        self._clock.charge(queue, _work_s(queued_prompt), share)
        return queued_prompt

    def ahead(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Return the work before an arriving prompt."""
        self._move_late(now_s)
        if queued_prompt.is_late(now_s):
            return self.ahead_if_late(queued_prompt, now_s)
        return self._with_late_s(self._in_time.ahead_s(queued_prompt))

    def ahead_if_late(self, queued_prompt: QueuedPrompt, now_s: float) -> float:
        """Return the work before an arriving prompt that starts late.

        What is ahead of one that is still in time stays ahead of it.
        """
        self._move_late(now_s)
        ahead_s = self._late.ahead_s(queued_prompt)
        if queued_prompt.is_late(now_s):
            return self._with_in_time_s(ahead_s, queued_prompt)
        return ahead_s + self._in_time.ahead_s(queued_prompt)

    def all_ahead(self, now_s: float) -> Mapping[str, float]:
        """Return the work before each queued prompt, by ticket."""
        self._move_late(now_s)
        in_time = self._in_time.all_ahead_s()
        late = self._late.all_ahead_s()
        return {
            each.ticket_id: self._with_late_s(ahead_s)
            for each, ahead_s in in_time
        } | {
            each.ticket_id: self._with_in_time_s(ahead_s, each)
            for each, ahead_s in late
        }

    def total(self) -> float:
        """Return the work that is queued."""
        return self._in_time.work_s + self._late.work_s

    def _with_late_s(self, in_time_s: float) -> float:
        """Add the work of late calls that is done beside that of others."""
        beside_s = in_time_s * LATE_SHARE / (1 - LATE_SHARE)
        return in_time_s + min(self._late.work_s, beside_s)

    def _with_in_time_s(
        self, late_s: float, queued_prompt: QueuedPrompt
    ) -> float:
        """Add the work of calls in time that goes ahead of a late prompt."""
        until_its_end_s = late_s + _work_s(queued_prompt)
        beside_s = until_its_end_s * (1 - LATE_SHARE) / LATE_SHARE
        return late_s + min(self._in_time.work_s, beside_s)

    def _move_late(self, now_s: float) -> None:
        if now_s <= self._all_in_time_until_s:
            return
        for queued_prompt in self._in_time.prompts():
            if queued_prompt.is_late(now_s):
                self._in_time.remove(queued_prompt.ticket_id)
                self._late.add(queued_prompt)
        self._all_in_time_until_s = min(
            (each.in_time_until_s for each in self._in_time.prompts()),
            default=math.inf,
        )


class _FlowQueue:
    """Queued prompts by flow, with the flows' virtual start times."""

    def __init__(self) -> None:
        self.work_s = 0.0
        self._clock = VirtualClock()
        self._flows: dict[Flow, list[QueuedPrompt]] = {}
        self._by_ticket: dict[str, QueuedPrompt] = {}

    def __bool__(self) -> bool:
        return bool(self._flows)

    def prompts(self) -> list[QueuedPrompt]:
        return list(self._by_ticket.values())

    def add(self, queued_prompt: QueuedPrompt) -> None:
        flow = self._flows.setdefault(_flow_of(queued_prompt), [])
        insort(flow, queued_prompt, key=_arrived_s)
        self._by_ticket[queued_prompt.ticket_id] = queued_prompt
        self.work_s += _work_s(queued_prompt)

    def remove(self, ticket_id: str) -> QueuedPrompt | None:
        queued_prompt = self._by_ticket.get(ticket_id)
        if queued_prompt is not None:
            self._remove(queued_prompt)
        return queued_prompt

    def take_next(self) -> QueuedPrompt:
        queued_prompt = min(
            (flow[0] for flow in self._flows.values()),
            key=lambda head: (
                self._clock.start(_flow_of(head)),
                head.arrived_s,
            ),
        )
        self._clock.charge(
            _flow_of(queued_prompt),
            _work_s(queued_prompt),
            _weight(queued_prompt),
        )
        self._remove(queued_prompt)
        return queued_prompt

    def ahead_s(self, queued_prompt: QueuedPrompt) -> float:
        """Return the work that starts before an arriving prompt."""
        own_flow = _flow_of(queued_prompt)
        own_s = sum(
            _work_s(other)
            for other in self._flows.get(own_flow, ())
            if other.arrived_s <= queued_prompt.arrived_s
        )
        start = self._clock.start(own_flow) + own_s / _weight(queued_prompt)
        return own_s + sum(
            self._started_s(flow, start)
            for flow in self._flows
            if flow != own_flow
        )

    def all_ahead_s(self) -> Iterator[tuple[QueuedPrompt, float]]:
        """Yield each prompt with the work that starts before it."""
        starts = [
            (start, each.arrived_s, each.ticket_id)
            for flow in self._flows
            for start, each in self._starts(flow)
        ]
        ahead_s = 0.0
        for _, _, ticket_id in sorted(starts):
            queued_prompt = self._by_ticket[ticket_id]
            yield queued_prompt, ahead_s
            ahead_s += _work_s(queued_prompt)

    def _started_s(self, flow: Flow, until: float) -> float:
        """Return the work of a flow that starts before a virtual time."""
        started_s = 0.0
        for start, queued_prompt in self._starts(flow):
            if start >= until:
                break
            started_s += _work_s(queued_prompt)
        return started_s

    def _starts(self, flow: Flow) -> Iterator[tuple[float, QueuedPrompt]]:
        """Yield the prompts of a flow with their virtual start times."""
        start = self._clock.start(flow)
        for queued_prompt in self._flows[flow]:
            yield start, queued_prompt
            start += _work_s(queued_prompt) / _weight(queued_prompt)

    def _remove(self, queued_prompt: QueuedPrompt) -> None:
        flow = _flow_of(queued_prompt)
        self._by_ticket.pop(queued_prompt.ticket_id)
        self._flows[flow].remove(queued_prompt)
        if not self._flows[flow]:
            self._flows.pop(flow)
        self.work_s -= _work_s(queued_prompt)
        if not self._flows:
            self.work_s = 0.0
            self._clock.reset()


def _flow_of(queued_prompt: QueuedPrompt) -> Flow:
    return queued_prompt.organisation, queued_prompt.route


def _arrived_s(queued_prompt: QueuedPrompt) -> float:
    return queued_prompt.arrived_s


def _work_s(queued_prompt: QueuedPrompt) -> float:
    return max(MIN_WORK_S, queued_prompt.work_s)


def _weight(queued_prompt: QueuedPrompt) -> float:
    return WEIGHTS[min(max(0, queued_prompt.rank), MAX_RANK)]
