"""The mix of work: how much of it is prompt, how much output."""

import math

import attrs

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._rate import DecayingRate

# Calls are sorted by the power of two of prompt to output tokens.
LOWEST_BUCKET = -4
HIGHEST_BUCKET = 9
FAST_WINDOW_S = 8.0
SLOW_WINDOW_S = 90.0
# A bucket that is asked for less than this is not worth telling.
LEAST_CALLS_PER_S = 0.005


@attrs.frozen
class MixRow:
    """Work of one bucket, a second: lately, and over a longer while."""

    service: ServiceName
    bucket: int
    prompt_per_s: float
    output_per_s: float
    slow_prompt_per_s: float
    slow_output_per_s: float

    def scaled(self, factor: float) -> 'MixRow':
        """Give the same work so many times."""
        return attrs.evolve(
            self,
            prompt_per_s=self.prompt_per_s * factor,
            output_per_s=self.output_per_s * factor,
            slow_prompt_per_s=self.slow_prompt_per_s * factor,
            slow_output_per_s=self.slow_output_per_s * factor,
        )


@attrs.define
class BucketRates:
    """Prompt and output of one bucket in two windows."""

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
        """Count a call."""
        self.prompt.add(prompt, now_s)
        self.output.add(output, now_s)
        self.slow_prompt.add(prompt, now_s)
        self.slow_output.add(output, now_s)


class WorkMeter:
    """Counts the work that this entry is asked for."""

    def __init__(self) -> None:
        self._rates: dict[tuple[ServiceName, int], BucketRates] = {}

    def add(
        self, service: ServiceName, prompt: float, output: float, now_s: float
    ) -> None:
        """Count a call by what it takes."""
        key = (service, bucket_of(prompt, output))
        rates = self._rates.setdefault(key, BucketRates())
        rates.add(prompt, output, now_s)

    def rows(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Give the work of a service."""
        return tuple(
            row for row in self.every_row(now_s) if row.service == service
        )

    def every_row(self, now_s: float) -> tuple[MixRow, ...]:
        """Give the work of all services."""
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
        return tuple(row for row in rows if _is_worth_telling(row))


def bucket_of(prompt: float, output: float) -> int:
    """Sort a call by its ratio of prompt to output."""
    ratio = max(prompt, 1) / max(output, 1)
    bucket = round(math.log2(ratio))
    return max(LOWEST_BUCKET, min(HIGHEST_BUCKET, bucket))


def _is_worth_telling(row: MixRow) -> bool:
    tokens = row.slow_prompt_per_s + row.slow_output_per_s
    return tokens > LEAST_CALLS_PER_S
