"""When calls that were refused first arrived.

Load: a service that is full refuses callers, and they come back. In order of
their new arrivals, those that were refused first would be behind those that
came later.
"""

from collections import OrderedDict

import attrs


@attrs.frozen
class FirstArrivalSettings:
    """How long, and how many, first arrivals are remembered.

    A caller that stays away longer has given up or is served elsewhere.
    """

    lifetime_s: float = 10.0
    max_calls: int = 4096


@attrs.frozen
class _Refused:
    arrived_s: float
    refused_s: float


class FirstArrivals:
    """The first arrivals of refused calls, by a key of the call."""

    def __init__(self, settings: FirstArrivalSettings) -> None:
        self._settings = settings
        self._refused: OrderedDict[str, _Refused] = OrderedDict()

    def remember(self, call_key: str, arrived_s: float, now_s: float) -> None:
        """Record a refusal of a call that arrived; an empty key is ignored."""
        if not call_key:
            return
        first_s = self.find(call_key, arrived_s, now_s)
        self._refused[call_key] = _Refused(first_s, now_s)
        self._refused.move_to_end(call_key)
        if len(self._refused) > self._settings.max_calls:
            self._refused.popitem(last=False)

    def find(self, call_key: str, arrived_s: float, now_s: float) -> float:
        """Return the first arrival of a call that has just arrived."""
        self._forget_old(now_s)
        known = self._refused.get(call_key)
        return arrived_s if known is None else min(known.arrived_s, arrived_s)

    def forget(self, call_key: str) -> None:
        """Forget a call that has been granted an engine."""
        self._refused.pop(call_key, None)

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.lifetime_s
        while self._refused:
            call_key = next(iter(self._refused))
            if self._refused[call_key].refused_s >= oldest_s:
                return
            self._refused.pop(call_key)
