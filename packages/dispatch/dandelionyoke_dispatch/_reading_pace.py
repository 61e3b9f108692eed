"""How long engines take to read a token of a prompt, learned from answers."""

import attrs

from dandelionyoke_dispatch._calls import Prompt


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

    Unknown until a prompt was read.
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


class PromptPace:
    """The pace that prompts find, and that of tokens that no engine kept.

    `found` counts the shared parts that an engine kept as read; `unkept`
    leaves shared parts out, as if all of them were kept.
    """

    def __init__(self, settings: ReadingPaceSettings) -> None:
        self.found = ReadingPace(settings)
        self.unkept = ReadingPace(settings)

    def took(self, prompt: Prompt, took_s: float) -> None:
        """Take the time of a prompt from its sending to its answer."""
        self.found.took(prompt.token_count, took_s)
        self.unkept.took(prompt.token_count - prompt.shared_tokens, took_s)
