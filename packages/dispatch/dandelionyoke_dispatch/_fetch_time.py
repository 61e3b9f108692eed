"""How long the fetch of a shared prefix from another engine takes.

Load: bursts of prompts with the same prefix, whose fetches wait for one another
at its holder, and small prefixes, whose prefill is over before a fetch begins.
"""

import math

import attrs

from dandelionyoke_dispatch._line_sums import LineSums
from dandelionyoke_dispatch._registry import RegisteredTarget

# A transfer to another failure domain takes this many times as long.
CROSS_DOMAIN_FACTOR = 2


@attrs.frozen
class FetchTimeSettings:
    """The expected fetch times before any was measured, and how they change.

    A fetch takes `fixed_s` and `token_s` for each token. This counts like
    `prior_fetches` measured ones, half of them of `prior_tokens`. Measured ones
    fade by `1 - 1/e` in `memory_s`, so that fetches are tried again after slow
    ones. None counts for more than `max_fetch_s`.
    """

    fixed_s: float = 0.02
    token_s: float = 0.000002
    prior_fetches: int = 8
    prior_tokens: int = 10000
    memory_s: float = 10.0
    max_fetch_s: float = 1.0


def fetch_size_tokens(
    tokens: int, source: RegisteredTarget, target_domain: str
) -> int:
    """Return how many tokens a transfer within a domain takes as long as."""
    is_near = source.domain == target_domain
    return tokens if is_near else CROSS_DOMAIN_FACTOR * tokens


class FetchTimeEstimate:
    """The time of a fetch: a fixed one, and one for each token."""

    def __init__(self, settings: FetchTimeSettings) -> None:
        self._settings = settings
        self._sums = LineSums()
        self._measured_s = 0.0

    def add_sample(self, tokens: int, took_s: float, now_s: float) -> None:
        """Add a fetch, with the tokens of those that it waited for."""
        bounded_s = min(self._settings.max_fetch_s, max(0.0, took_s))
        self._sums = self._faded(now_s).plus(tokens, bounded_s)
        self._measured_s = now_s

    def expected_s(self, tokens: int, now_s: float) -> float:
        """Return the expected time to fetch some tokens."""
        settings, half = self._settings, self._settings.prior_fetches / 2
        prior_s = settings.fixed_s + settings.prior_tokens * settings.token_s
        sums = (
            self._faded(now_s)
            .plus(0, settings.fixed_s, half)
            .plus(settings.prior_tokens, prior_s, half)
        )
        return sums.intercept + sums.slope * tokens

    def _faded(self, now_s: float) -> LineSums:
        elapsed_s = max(0.0, now_s - self._measured_s)
        return self._sums.scaled(math.exp(-elapsed_s / self._settings.memory_s))


@attrs.frozen
class _Fetch:
    source_id: str
    tokens: int
    tokens_ahead: int
    started_s: float


class RunningFetches:
    """The fetches that this node assigned and whose prefills are not over.

    One whose end is not known counts for `lifetime_s`.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._fetches: dict[str, _Fetch] = {}

    def start(
        self, ticket_id: str, source_id: str, tokens: int, now_s: float
    ) -> None:
        """Add the fetch of a prompt."""
        self._fetches[ticket_id] = _Fetch(
            source_id, tokens, self.tokens(source_id, now_s), now_s
        )

    def end(self, ticket_id: str) -> int:
        """Remove a fetch; return its tokens and those that it waited for."""
        fetch = self._fetches.pop(ticket_id, None)
        return 0 if fetch is None else fetch.tokens + fetch.tokens_ahead

    def tokens(self, source_id: str, now_s: float) -> int:
        """Return the tokens that are being fetched from an engine."""
        oldest_s = now_s - self._lifetime_s
        return sum(
            fetch.tokens
            for fetch in self._fetches.values()
            if fetch.source_id == source_id and fetch.started_s >= oldest_s
        )
