"""The prefill time per token, estimated from responses of engines."""

import attrs

from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._line_sums import LineSums


@attrs.frozen
class PrefillTimeSettings:
    """Parameters of the estimate.

    The estimate follows `quantile` of the times per token. It is low because
    most prompts are prefilled concurrently with others, which makes them
    slower. Each sample moves the estimate by at most `max_step_share`, so that
    some dozens of samples correct a first one that was far off. Samples of
    prompts below `min_tokens` are ignored, as they mostly measure the network
    round trip.

    A line is fitted to the last `line_samples` times. It counts once it has
    `min_line_samples`; none of them weighs more than `max_line_ratio` times
    what the line tells, as it waited for something else.
    """

    quantile: float = 0.2
    max_step_share: float = 0.1
    min_tokens: int = 1000
    line_samples: int = 200
    min_line_samples: int = 20
    max_line_ratio: float = 2.0


class TokenTimeEstimate:
    """The prefill time per token of an otherwise idle engine.

    It is unknown until the first prompt was prefilled.
    """

    def __init__(self, settings: PrefillTimeSettings) -> None:
        self._settings = settings
        self._token_s: float | None = None
        self._line = LineSums()

    def add_sample(self, tokens: int, took_s: float) -> None:
        """Add the time between sending a prompt and receiving the response."""
        if took_s <= 0:
            return
        self._fit(tokens, took_s)
        if tokens < self._settings.min_tokens:
            return
        token_s = took_s / tokens
        if self._token_s is None:
            self._token_s = token_s
            return
        step = self._settings.quantile
        if token_s < self._token_s:
            step -= 1
        self._token_s *= 1 + self._settings.max_step_share * step

    def expected_s(self, tokens: int) -> float | None:
        """Return the expected time for some tokens; None if unknown."""
        return None if self._token_s is None else tokens * self._token_s

    def marginal_s(self, tokens: int) -> float | None:
        """Return by how much some tokens prolong a prefill; None if unknown.

        It is the time for which they keep an engine from other prompts.
        """
        if not self._has_line:
            return self.expected_s(tokens)
        return self._line.slope * tokens

    @property
    def is_settled(self) -> bool:
        """Whether there are enough times to tell the work of a prompt."""
        return self._line.count >= self._settings.min_line_samples

    @property
    def _has_line(self) -> bool:
        line = self._line
        return self.is_settled and line.has_slope and line.slope > 0

    def _fit(self, tokens: int, took_s: float) -> None:
        settings = self._settings
        if self._has_line:
            told_s = self._line.intercept + self._line.slope * tokens
            took_s = min(took_s, settings.max_line_ratio * told_s)
        kept = 1 - 1 / settings.line_samples
        self._line = self._line.scaled(kept).plus(tokens, took_s)


class PrefillTimeEstimate:
    """The prefill time per token, with and without cached tokens.

    `with_cache` counts cached shared prefixes as prefilled tokens. `without_cache` excludes
    the shared prefixes, as if all of them were cached.
    """

    def __init__(self, settings: PrefillTimeSettings) -> None:
        self.with_cache = TokenTimeEstimate(settings)
        self.without_cache = TokenTimeEstimate(settings)

    def add_sample(self, prompt: Prompt, took_s: float) -> None:
        """Add the time between sending a prompt and receiving the response."""
        self.with_cache.add_sample(prompt.token_count, took_s)
        self.without_cache.add_sample(
            prompt.token_count - prompt.shared_tokens, took_s
        )
