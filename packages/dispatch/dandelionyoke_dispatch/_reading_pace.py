"""How long engines take to read a token of a prompt, learned from answers."""

import attrs


@attrs.frozen
class ReadingPaceSettings:
    """How the pace is learned.

    `quantile` of the times for a token: low, since most prompts are read
    beside others and take longer for that. Each time moves the estimate by
    `step_share` at most, so that some dozens outweigh a first one that was
    far off. Answers to prompts below `least_tokens` mostly tell the way there
    and back.
    """

    quantile: float = 0.2
    step_share: float = 0.1
    least_tokens: int = 1000


class ReadingPace:
    """The time for a token at an engine that reads nothing else.

    Shared parts that the engine kept count as read, so that it is the pace
    that calls find, not the engine's own. Unknown until a prompt was read.
    """

    def __init__(self, settings: ReadingPaceSettings) -> None:
        self._settings = settings
        self._token_s: float | None = None

    def took(self, tokens: int, took_s: float) -> None:
        """Take the time of a prompt from its sending to its answer."""
        if tokens < self._settings.least_tokens or took_s <= 0:
            return
        token_s = took_s / tokens
        if self._token_s is None:
            self._token_s = token_s
            return
        share = self._settings.quantile
        if token_s < self._token_s:
            share -= 1
        self._token_s *= 1 + self._settings.step_share * share

    def expected_s(self, tokens: int) -> float | None:
        """Tell the time for so many tokens; None: nothing was read yet."""
        return None if self._token_s is None else tokens * self._token_s
