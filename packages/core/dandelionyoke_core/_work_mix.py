"""The work mix: rates of prompt and output tokens by their ratio."""

import math

import attrs

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._rate import DecayingRate

# A bucket is the rounded log2 of the ratio of prompt to output tokens.
MIN_BUCKET = -4
MAX_BUCKET = 9
FAST_WINDOW_S = 8.0
SLOW_WINDOW_S = 90.0
# Buckets with a lower rate are not reported.
MIN_TOKENS_PER_S = 0.005


@attrs.frozen
class MixRow:
    """The token rates of one bucket, over a short and a long window."""

    service: ServiceName
    bucket: int
    prompt_per_s: float
    output_per_s: float
    slow_prompt_per_s: float
    slow_output_per_s: float

    def scaled(self, factor: float) -> 'MixRow':
        """Return the row with all rates multiplied by a factor."""
        return attrs.evolve(
            self,
            prompt_per_s=self.prompt_per_s * factor,
            output_per_s=self.output_per_s * factor,
            slow_prompt_per_s=self.slow_prompt_per_s * factor,
            slow_output_per_s=self.slow_output_per_s * factor,
        )


@attrs.define
class BucketRates:
    """Prompt and output rates of one bucket over both windows."""

    prompt: DecayingRate = attrs.field(
        factory=lambda: DecayingRate(FAST_WINDOW_S)
    )
    output: DecayingRate = attrs.field(
        factory=lambda: DecayingRate(FAST_WINDOW_S)
    )
    slow_prompt: DecayingRate = attrs.field(
        factory=lambda: DecayingRate(SLOW_WINDOW_S)
    )
    slow_output: DecayingRate = attrs.field(
        factory=lambda: DecayingRate(SLOW_WINDOW_S)
    )

    def add(self, prompt: float, output: float, now_s: float) -> None:
        """Count the tokens of a call."""
        self.prompt.add(prompt, now_s)
        self.output.add(output, now_s)
        self.slow_prompt.add(prompt, now_s)
        self.slow_output.add(output, now_s)


class WorkMeter:
    """Measure the work requested at this entry."""

    def __init__(self) -> None:
        self._rates: dict[tuple[ServiceName, int], BucketRates] = {}

    def add(
        self, service: ServiceName, prompt: float, output: float, now_s: float
    ) -> None:
        """Count a call in the bucket of its token ratio."""
        key = (service, ratio_bucket(prompt, output))
        rates = self._rates.setdefault(key, BucketRates())
        rates.add(prompt, output, now_s)

    def rows(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Return the rows of a service."""
        return tuple(
            row for row in self.every_row(now_s) if row.service == service
        )

    def every_row(self, now_s: float) -> tuple[MixRow, ...]:
        """Return the rows of all services."""
        rows = (
            MixRow(
                service,
                bucket,
                round(rates.prompt.per_s(now_s), 1),
                round(rates.output.per_s(now_s), 1),
                round(rates.slow_prompt.per_s(now_s), 1),
                round(rates.slow_output.per_s(now_s), 1),
            )
            for (service, bucket), rates in self._rates.items()
        )
        return tuple(row for row in rows if _is_significant(row))


def ratio_bucket(prompt: float, output: float) -> int:
    """Return the bucket for a ratio of prompt to output tokens."""
    ratio = max(prompt, 1) / max(output, 1)
    bucket = round(math.log2(ratio))
    return max(MIN_BUCKET, min(MAX_BUCKET, bucket))


def _is_significant(row: MixRow) -> bool:
    tokens_per_s = row.slow_prompt_per_s + row.slow_output_per_s
    return tokens_per_s > MIN_TOKENS_PER_S
