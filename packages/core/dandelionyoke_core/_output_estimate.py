"""How much output calls really give, of the most that they ask for."""

import attrs

START_SHARE = 0.6
LEARNING = 0.02


@attrs.define
class OutputEstimate:
    """The mean share of the most output, and its mean deviation."""

    share: float = START_SHARE
    deviation: float = 0.2

    def learn(self, output_tokens: int, max_output_tokens: int) -> None:
        """Take in a call that ended by itself."""
        if max_output_tokens <= 0:
            return
        seen = min(1, output_tokens / max_output_tokens)
        miss = abs(seen - self.share)
        self.share += LEARNING * (seen - self.share)
        self.deviation += LEARNING * (miss - self.deviation)

    def mean_tokens(self, max_output_tokens: int) -> float:
        """Output to count on for times."""
        return max_output_tokens * self.share

    def high_tokens(self, max_output_tokens: int) -> float:
        """Output to leave memory for."""
        return max_output_tokens * min(1, self.share + self.deviation)
