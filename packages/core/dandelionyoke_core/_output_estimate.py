"""Estimates of the output of calls as a share of their maximum output."""

import attrs

INITIAL_SHARE = 0.6
LEARNING_RATE = 0.02


@attrs.define
class OutputEstimate:
    """The mean share of the maximum output and its mean deviation."""

    share: float = INITIAL_SHARE
    deviation: float = 0.2

    def learn(self, output_tokens: int, max_output_tokens: int) -> None:
        """Update the estimate with a call that ran to its end."""
        if max_output_tokens <= 0:
            return
        observed_share = min(1, output_tokens / max_output_tokens)
        error = abs(observed_share - self.share)
        self.share += LEARNING_RATE * (observed_share - self.share)
        self.deviation += LEARNING_RATE * (error - self.deviation)

    def mean_tokens(self, max_output_tokens: int) -> float:
        """Expected output tokens, for estimates of times."""
        return max_output_tokens * self.share

    def upper_tokens(self, max_output_tokens: int) -> float:
        """Output tokens for which memory is reserved."""
        return max_output_tokens * min(1, self.share + self.deviation)
