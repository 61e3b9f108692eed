"""How many prompts may be in flight at the prefill engines of a service.

Load: more prompts arrive than the engines prefill, and their sizes differ by a
factor of ten. An engine works on all of its prompts at once: if it has many, all
of them are late, and their order was decided before their urgency mattered.
"""

from typing import Protocol

import attrs

from dandelionyoke_dispatch._drain_rate import DrainRate
from dandelionyoke_dispatch._prompts_in_flight import PromptsInFlight

# The weight of a new prompt in the moving average of prefill times.
PREFILL_MEAN_WEIGHT = 0.25
# The weight of a new prompt in the moving average of work.
WORK_MEAN_WEIGHT = 0.05


@attrs.frozen
class PrefillCapacity:
    """The engines for the prompts that one node admits.

    `speed` is the sum of the speeds of `engines` engines, 1 for each that is as
    fast as usual. An idle engine needs `token_s` for each token; None if that
    is unknown. The node decides for `share` of the fleet.
    """

    engines: int
    speed: float
    token_s: float | None = None
    share: float = 1.0


@attrs.frozen
class EngineTimeSettings:
    """Limits on the engine time in flight.

    `answer_round_trip_s` passes between the end of a prefill and the arrival of
    the next prompt at its engine: an answer to one node, a message to another,
    and a long prompt over its link.
    """

    answer_round_trip_s: float = 0.04


class QueueWindow(Protocol):
    """Decides whether another prompt may be in flight."""

    def has_room(self, now_s: float) -> bool:
        """Whether another prompt may be in flight."""

    def wait_s(self, ahead: float, now_s: float) -> float:
        """Return the wait of a call with some others ahead in its order."""


class CountWindow:
    """Admits a number of prompts for each engine, whatever their size."""

    def __init__(
        self, max_prompts_per_engine: int, in_flight: PromptsInFlight
    ) -> None:
        self._max_prompts_per_engine = max_prompts_per_engine
        self._in_flight = in_flight
        self._max_in_flight = 1
        # The moving average of recent prefill times.
        self.mean_prefill_s = 0.0

    def add_sample(self, prefill_s: float) -> None:
        """Add the prefill time of a prompt to the moving average."""
        if not self.mean_prefill_s:
            self.mean_prefill_s = prefill_s
        self.mean_prefill_s += PREFILL_MEAN_WEIGHT * (
            prefill_s - self.mean_prefill_s
        )

    def update(self, engines: int) -> None:
        """Set the number of engines that are usable at present."""
        self._max_in_flight = max(1, self._max_prompts_per_engine * engines)

    def has_room(self, now_s: float) -> bool:
        """Whether another prompt may be in flight."""
        return self._in_flight.reachable_count() < self._max_in_flight

    def wait_s(self, ahead: float, now_s: float) -> float:
        """Return the wait of a call with `ahead` others ahead of it."""
        return (ahead + 1) * self.mean_prefill_s / self._max_in_flight


class EngineTimeWindow:
    """Admits engine time, of all nodes that place prompts.

    An engine gets as much as keeps it busy while an answer and the next prompt
    are under way, and one more prompt. More would make its prompts late without
    a gain. While the time of prompts is unknown, all count alike.
    """

    def __init__(
        self,
        settings: EngineTimeSettings,
        in_flight: PromptsInFlight,
        fallback: CountWindow,
    ) -> None:
        self._settings = settings
        self._in_flight = in_flight
        self._fallback = fallback
        self._capacity = PrefillCapacity(1, 1.0)
        self._mean_work_s = 0.0
        self._drain_rate = DrainRate()

    def update(self, capacity: PrefillCapacity) -> None:
        """Set the engines that are usable at present."""
        self._capacity = capacity

    def observe_arrival(self, work_s: float) -> None:
        """Add an arriving prompt to the mean work of a prompt."""
        if not self._mean_work_s:
            self._mean_work_s = work_s
        self._mean_work_s += WORK_MEAN_WEIGHT * (work_s - self._mean_work_s)

    def observe_end(
        self, work_s: float, now_s: float, *, has_waiting: bool
    ) -> None:
        """Add a prompt that has been prefilled to the rate of work."""
        self._drain_rate.add(work_s, now_s, has_waiting=has_waiting)

    def has_room(self, now_s: float) -> bool:
        """Whether another prompt may be in flight.

        An idle engine gets a prompt of any size. Each placing node keeps its
        part of the window, so that the bursts of others do not block it.
        """
        token_s, in_flight = self._capacity.token_s, self._in_flight
        if token_s is None:
            return self._fallback.has_room(now_s)
        bound_s = self._bound_s()
        own_s = in_flight.own_tokens() * token_s
        if not own_s or own_s < bound_s * self._part(now_s):
            return True
        is_below = in_flight.fleet_tokens(now_s) * token_s < bound_s
        return is_below or self._has_idle_engine(now_s)

    def wait_s(self, ahead: float, now_s: float) -> float:
        """Return the wait of a call with `ahead` seconds of work ahead."""
        return ahead / self.rate(now_s)

    def rate(self, now_s: float) -> float:
        """Return the engine seconds that are done for this node in a second."""
        measured = self._drain_rate.rate(now_s)
        if measured:
            return measured
        capacity = self._capacity
        return self._part(now_s) * capacity.share * capacity.speed

    def _bound_s(self) -> float:
        engine_s = self._settings.answer_round_trip_s + 2 * self._mean_work_s
        return engine_s * self._capacity.speed * self._capacity.share

    def _has_idle_engine(self, now_s: float) -> bool:
        """Whether this node knows of an engine without prompts.

        A node that decides for a part of the fleet does not know the others'
        prompts.
        """
        capacity = self._capacity
        is_whole = capacity.share >= 1
        return (
            is_whole and self._in_flight.busy_engines(now_s) < capacity.engines
        )

    def _part(self, now_s: float) -> float:
        return 1 / (1 + self._in_flight.peer_count(now_s))
