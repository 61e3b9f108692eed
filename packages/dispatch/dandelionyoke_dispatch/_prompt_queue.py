"""The queue of calls that wait at a node for the prefill of their prompt.

When prompts arrive faster than the engines can prefill them, engines that
accept them all process them concurrently, and every first token is late. A node
therefore limits the prompts in flight to what the engines can prefill in time,
and queues the others. Calls that can still meet their goal go first, so that a
burst delays some calls but not all. A call that would be late and could hardly
be served at all is refused as soon as that is known, while its caller still has
time to retry.
"""

import math
from collections import Counter
from collections.abc import Mapping

import attrs

from dandelionyoke_dispatch._fair_order import FairOrder
from dandelionyoke_dispatch._prompts_in_flight import PromptsInFlight
from dandelionyoke_dispatch._queue_order import QueueOrder, RankOrder
from dandelionyoke_dispatch._queue_window import (
    CountWindow,
    EngineTimeSettings,
    EngineTimeWindow,
    PrefillCapacity,
    QueueWindow,
)
from dandelionyoke_dispatch._queued_prompt import QueueDecision, QueuedPrompt
from dandelionyoke_dispatch._retry_delay import choose_retry_delay_s

# A late call waits this many times the time needed for the calls ahead of it,
# because calls that are in time overtake it.
LATE_WAIT_FACTOR = 1.5


@attrs.frozen
class PromptQueueSettings:
    """Limits on the prompts that one node prefills concurrently.

    `max_prompts_per_engine` in flight keep an engine busy during the round trip
    of a response. The backlog of another node expires after
    `backlog_lifetime_s`. `engine_time` applies once engine time is shared, and
    a forecast for all queued calls is used for `forecast_lifetime_s` then.
    """

    max_prompts_per_engine: int = 2
    min_retry_after_s: float = 0.2
    backlog_lifetime_s: float = 0.5
    forecast_lifetime_s: float = 0.1
    engine_time: EngineTimeSettings = attrs.field(factory=EngineTimeSettings)


class PromptQueue:
    """The prompts of one node and service, in flight and queued.

    It counts prompts and orders them by rank until engine time is shared.
    """

    def __init__(self, settings: PromptQueueSettings) -> None:
        self._settings = settings
        self._in_flight = PromptsInFlight(settings.backlog_lifetime_s)
        self._count_window = CountWindow(
            settings.max_prompts_per_engine, self._in_flight
        )
        self._window: QueueWindow = self._count_window
        self._order: QueueOrder = RankOrder()
        self._engine_time: EngineTimeWindow | None = None
        self._placed_s: dict[str, float] = {}
        # What is ahead of each queued call, by ticket, and as of when.
        self._forecast: Mapping[str, float] = {}
        self._forecast_at_s = -math.inf

    @property
    def mean_prefill_s(self) -> float:
        """The moving average of recent prefill times."""
        return self._count_window.mean_prefill_s

    @property
    def shares_engine_time(self) -> bool:
        """Whether engine time is limited and shared, instead of prompts."""
        return self._engine_time is not None

    def share_engine_time(self, capacity: PrefillCapacity) -> None:
        """Limit the engine time in flight, and share it among flows.

        Further calls only update the capacity.
        """
        if self._engine_time is None:
            self._engine_time = self._replace_window()
        self._engine_time.update(capacity)

    def update_unreachable(self, target_ids: frozenset[str]) -> None:
        """Set the engines that accept no connection.

        Prompts in flight there do not count against the limit.
        """
        self._in_flight.update_unreachable(target_ids)

    def enter(
        self, queued_prompt: QueuedPrompt, engines: int, now_s: float
    ) -> QueueDecision:
        """Decide on an arriving call, with `engines` available for prefill.

        If engine time is shared, it waits behind others while any wait, and
        `admit` may let it start at once.
        """
        self._count_window.update(engines)
        if self._engine_time is not None:
            self._engine_time.observe_arrival(queued_prompt.work_s)
        if self._window.has_room(now_s) and not self._must_queue():
            self._in_flight.add(queued_prompt)
            return QueueDecision.START
        wait_s = self._window.wait_s(
            self._order.ahead(queued_prompt, now_s), now_s
        )
        if (
            now_s + wait_s > queued_prompt.in_time_until_s
            and not self._is_worth_queueing(queued_prompt, now_s)
        ):
            return QueueDecision.TOO_LATE
        self._order.add(queued_prompt)
        return QueueDecision.WAIT

    @property
    def prompt_count(self) -> int:
        """The number of prompts in flight or queued."""
        return len(self._in_flight) + self.queued_count

    @property
    def queued_count(self) -> int:
        """The number of queued prompts."""
        return len(self._order.prompts)

    def is_in_flight(self, ticket_id: str) -> bool:
        """Whether the prompt of a call is in flight."""
        return ticket_id in self._in_flight

    def keep_waiting(self, ticket_id: str, now_s: float) -> bool:
        """Whether a call that is now late stays queued; if not, remove it."""
        queued_prompt = self._order.remove(ticket_id)
        if queued_prompt is None or not self._is_worth_queueing(
            queued_prompt, now_s
        ):
            return False
        self._order.add(queued_prompt)
        return True

    def is_forecast_due(self, now_s: float) -> bool:
        """Whether the forecast for the queued calls is too old."""
        age_s = now_s - self._forecast_at_s
        return age_s > self._settings.forecast_lifetime_s

    def can_start(self, queued_prompt: QueuedPrompt, now_s: float) -> bool:
        """Whether the turn of a queued call may come before its deadline.

        All calls that wait ask, so one forecast serves those that ask soon
        after. A call that came later has just had a forecast of its own.
        """
        if self.is_forecast_due(now_s):
            self._forecast_at_s = now_s
            self._forecast = self._order.all_ahead(now_s)
        ahead = self._forecast.get(queued_prompt.ticket_id, 0.0)
        wait_s = self._window.wait_s(ahead, self._forecast_at_s)
        start_s = max(now_s, self._forecast_at_s + wait_s)
        return start_s < queued_prompt.deadline_s

    def assign(self, ticket_id: str, target_id: str, now_s: float) -> None:
        """Record the engine that prefills the prompt of a call."""
        self._in_flight.assign(ticket_id, target_id)
        self._placed_s[target_id] = now_s

    def leave(
        self, ticket_id: str, prefill_s: float | None, now_s: float
    ) -> list[str]:
        """Remove a call; return the ids of queued calls that may start now.

        `prefill_s` is the prefill time of its prompt; None if it was not
        prefilled.
        """
        self._order.remove(ticket_id)
        queued_prompt = self._in_flight.remove(ticket_id)
        if queued_prompt is not None and prefill_s is not None:
            self._count_window.add_sample(prefill_s)
            if self._engine_time is not None:
                self._engine_time.observe_end(
                    queued_prompt.work_s,
                    now_s,
                    has_waiting=bool(self._order.prompts),
                )
        return self.admit(now_s)

    def admit(self, now_s: float) -> list[str]:
        """Return the ids of queued calls that may start now."""
        admitted = []
        while self._window.has_room(now_s):
            queued_prompt = self._order.take_next(now_s)
            if queued_prompt is None:
                break
            self._in_flight.add(queued_prompt)
            admitted.append(queued_prompt.ticket_id)
        return admitted

    def backlog_tokens(self, target_id: str) -> int:
        """Return the tokens that this node has in flight at an engine."""
        return self.backlog()[target_id]

    def backlog(self) -> Counter[str]:
        """Return the tokens that this node has in flight, by engine."""
        return self._in_flight.backlog()

    def set_peer_backlog(
        self, sender: str, backlog: Mapping[str, int], now_s: float
    ) -> None:
        """Record the tokens that another node has in flight, by engine."""
        self._in_flight.set_peer_backlog(sender, backlog, now_s)

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no backlog could be read out of their ages."""
        self._in_flight.leave_out(standstill_s)

    def fleet_backlog(self, now_s: float) -> Counter[str]:
        """Return the tokens in flight from all known nodes, by engine."""
        return self._in_flight.fleet_backlog(now_s)

    def placed_s(self, target_id: str) -> float:
        """Return the time when an engine last received a prompt; 0 if never."""
        return self._placed_s.get(target_id, 0.0)

    def forget(self, known: frozenset[str]) -> None:
        """Remove the state of engines that are gone."""
        self._placed_s = {
            target_id: placed_s
            for target_id, placed_s in self._placed_s.items()
            if target_id in known
        }

    def expected_wait_s(self, now_s: float = 0) -> float:
        """Estimate the time that a call queued now would wait.

        The time of the question matters only if engine time is shared.
        """
        if self._window.has_room(now_s):
            return 0.0
        return self._window.wait_s(self._order.total(), now_s)

    def retry_after_s(self, now_s: float = 0) -> float:
        """Return the retry delay for a refused call: when the queue is empty.

        An earlier retry would only be refused again.
        """
        return max(
            self._settings.min_retry_after_s, self.expected_wait_s(now_s)
        )

    def spread_retry_after_s(
        self, time_left_s: float, random_share: float, now_s: float
    ) -> float:
        """Return a retry delay that differs between calls refused at once."""
        return choose_retry_delay_s(
            self.expected_wait_s(now_s),
            time_left_s,
            self._settings.min_retry_after_s,
            random_share,
        )

    def inputs(self, now_s: float) -> dict[str, float]:
        """Return what decisions of this queue are based on, for the log."""
        engine_time = self._engine_time
        return {
            'queued': self.queued_count,
            'in_flight': len(self._in_flight),
            'expected_wait_s': self.expected_wait_s(now_s),
            'rate': 0.0 if engine_time is None else engine_time.rate(now_s),
        }

    def _replace_window(self) -> EngineTimeWindow:
        engine_time = EngineTimeWindow(
            self._settings.engine_time, self._in_flight, self._count_window
        )
        self._window = engine_time
        queued = self._order.prompts
        self._order = FairOrder()
        for queued_prompt in queued:
            self._order.add(queued_prompt)
        return engine_time

    def _must_queue(self) -> bool:
        return self.shares_engine_time and bool(self._order.prompts)

    def _is_worth_queueing(
        self, queued_prompt: QueuedPrompt, now_s: float
    ) -> bool:
        """Whether a late call would be served before it is of no use.

        It waits for other queued calls, and for some that arrive in the
        meantime.
        """
        ahead = self._order.ahead_if_late(queued_prompt, now_s)
        wait_s = LATE_WAIT_FACTOR * self._window.wait_s(ahead, now_s)
        return now_s + wait_s < queued_prompt.deadline_s
