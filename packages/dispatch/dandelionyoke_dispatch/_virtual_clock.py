"""Virtual start times of flows, for start-time fair queueing."""

from collections.abc import Hashable


class VirtualClock:
    """Gives each flow service in proportion to its weight.

    The flow with the lowest virtual start time goes first. Work that a flow
    gets defers its next start by the work over its weight. A flow that was idle
    starts at the present virtual time: it saves up nothing.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._starts: dict[Hashable, float] = {}

    def start(self, flow: Hashable) -> float:
        """Return the virtual start time of a flow's next work."""
        return max(self._now, self._starts.get(flow, 0.0))

    def charge(self, flow: Hashable, work_s: float, weight: float) -> None:
        """Charge a flow for the work that is next."""
        start = self.start(flow)
        self._starts[flow] = start + work_s / weight
        self._now = start
        self._starts = {
            known: begins
            for known, begins in self._starts.items()
            if begins > self._now
        }

    def reset(self) -> None:
        """Forget what flows got, once none of them waits."""
        self._now = 0.0
        self._starts.clear()
