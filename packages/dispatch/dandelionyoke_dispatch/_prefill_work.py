"""The engine time that the prompts of a service need, as one node sees it.

Load: kinds of calls whose prompts differ by ten times in tokens change places
every few seconds. Numbers of prompts and streams rise and fall with them,
although the engines have as much to do as before.
"""

from collections import deque

import attrs

from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._prefill_time import PrefillTimeEstimate

# Rates are sent to other nodes, several times a second.
RATE_DIGITS = 4


@attrs.frozen
class PrefillWorkSettings:
    """The time over which the work of arriving prompts is averaged."""

    window_s: float = 2.0


class PrefillWork:
    """The engine time for the prompts that arrived within the last window."""

    def __init__(self, settings: PrefillWorkSettings) -> None:
        self._settings = settings
        self._arrivals: deque[tuple[float, float]] = deque()

    def add(self, work_s: float, now_s: float) -> None:
        """Add the engine time for a prompt, whether or not it has to wait."""
        self._arrivals.append((now_s, work_s))
        self._drop_old(now_s)

    def rate(self, now_s: float) -> float:
        """Return the engine seconds that callers ask for in a second."""
        self._drop_old(now_s)
        total_s = sum(work_s for _, work_s in self._arrivals)
        return round(total_s / self._settings.window_s, RATE_DIGITS)

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.window_s
        while self._arrivals and self._arrivals[0][0] < oldest_s:
            self._arrivals.popleft()


def prefill_work_s(prompt: Prompt, prefill_time: PrefillTimeEstimate) -> float:
    """Return the engine time that a prompt needs; 0 while it is unknown.

    Both estimates are of prompts whose shared prefix is mostly cached, so that
    each is too low for prompts of another kind. The longer time counts.
    """
    with_cache_s = prefill_time.with_cache.marginal_s(prompt.token_count)
    without_cache_s = prefill_time.without_cache.marginal_s(
        prompt.token_count - prompt.shared_tokens
    )
    return max(with_cache_s or 0.0, without_cache_s or 0.0)
