"""The prefill time per token, estimated from responses of engines."""

import attrs

from dandelionyoke_dispatch._calls import Prompt


@attrs.frozen
class PrefillTimeSettings:
    """Parameters of the estimate.

    The estimate follows `quantile` of the times per token. It is low because
    most prompts are prefilled concurrently with others, which makes them
    slower. Each sample moves the estimate by at most `max_step_share`, so that
    some dozens of samples correct a first one that was far off. Samples of
    prompts below `min_tokens` are ignored, as they mostly measure the network
    round trip.
    """

    quantile: float = 0.2
    max_step_share: float = 0.1
    min_tokens: int = 1000


class TokenTimeEstimate:
    """The prefill time per token of an otherwise idle engine.

    It is unknown until the first prompt was prefilled.
    """

    def __init__(self, settings: PrefillTimeSettings) -> None:
        self._settings = settings
        self._token_s: float | None = None

    def add_sample(self, tokens: int, took_s: float) -> None:
        """Add the time between sending a prompt and receiving the response."""
        if tokens < self._settings.min_tokens or took_s <= 0:
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
