"""The number of engines of a service that decode; the others prefill."""

import math
from typing import Protocol

import attrs


@attrs.frozen
class PhaseLoad:
    """The load of the engines of a service.

    `streams` are queued or in flight at decode engines, `prompts` at prefill
    engines.
    """

    streams: float
    prompts: float = 0.0


class PhaseSplit(Protocol):
    """A strategy for choosing the number of decode engines."""

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Return the number of engines that should decode.

        `slots` is the mean number of slots per engine.
        """


@attrs.frozen
class StreamSplit:
    """The baseline: as many as the streams need, ignoring prefill demand."""

    target_utilisation: float = 0.7

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Return the number of engines that should decode."""
        return load.streams / (slots * self.target_utilisation)


@attrs.frozen
class BalancedSplit:
    """As many as the streams need, if enough are left for the prompts.

    If both phases together need more engines than there are, each gets a number
    in proportion to its need, so that neither is shorter than the other: every
    call needs both phases. An engine is fully used with `prompts_per_engine`
    prompts, or with streams in a share of `target_utilisation` of its slots.
    """

    target_utilisation: float = 0.7
    prompts_per_engine: float = 2.0

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Return the number of engines that should decode."""
        decode = load.streams / (slots * self.target_utilisation)
        prefill = load.prompts / self.prompts_per_engine
        if math.ceil(decode) + prefill <= engines:
            return decode
        return engines * decode / (decode + prefill)
