"""How much slower a target is than its estimates, as seen by its calls."""

import attrs

LEARNING = 0.05
LEAST_FACTOR = 0.5
MOST_FACTOR = 4.0
# Shorter times are mostly the network's and the poll's.
SHORTEST_S = 0.05


@attrs.define
class Pace:
    """Factors between the times that were expected and those that came.

    Speeds in settings are a guess, and an engine may be slow for a while,
    as when something else runs on its accelerator. Without this the router
    would go on to send it as much as to its neighbours.
    """

    prefill: float = 1.0
    decode: float = 1.0

    def learn_prefill(self, expected_s: float, took_s: float) -> None:
        """Take in the time to a first token."""
        if expected_s >= SHORTEST_S:
            seen = _bounded(self.prefill * took_s / expected_s)
            self.prefill += LEARNING * (seen - self.prefill)

    def learn_decode(self, expected_s: float, took_s: float) -> None:
        """Take in a time between tokens, the mean of a call."""
        if expected_s > 0:
            seen = _bounded(self.decode * took_s / expected_s)
            self.decode += LEARNING * (seen - self.decode)


def _bounded(factor: float) -> float:
    return max(LEAST_FACTOR, min(MOST_FACTOR, factor))
