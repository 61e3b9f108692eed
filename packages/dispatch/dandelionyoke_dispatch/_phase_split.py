"""How many engines of a service decode, the others prefill."""

import math
from typing import Protocol

import attrs


@attrs.frozen
class PhaseLoad:
    """What the engines of a service have to do.

    `streams` are at decode engines and `prompts` at prefill engines, those
    that wait there included.
    """

    streams: float
    prompts: float = 0.0


class PhaseSplit(Protocol):
    """Chooses the number of decode engines."""

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Tell how many of the engines should decode.

        `slots` are those of one engine, in the mean.
        """


@attrs.frozen
class StreamSplit:
    """The naive form: as many as the streams need, whatever prefill loses."""

    filled_share: float = 0.7

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Tell how many of the engines should decode."""
        return load.streams / (slots * self.filled_share)


@attrs.frozen
class BalancedSplit:
    """As many as the streams need, while the prompts leave that many.

    Where both phases need more than there is, each gets its share of what
    they need, so that neither is shorter of engines than the other: a call
    needs both. An engine is busy with `prompts_at_engine` prompts, and with
    streams in `filled_share` of its slots.
    """

    filled_share: float = 0.7
    prompts_at_engine: float = 2.0

    def decode_count(
        self, engines: int, slots: float, load: PhaseLoad
    ) -> float:
        """Tell how many of the engines should decode."""
        decode = load.streams / (slots * self.filled_share)
        prefill = load.prompts / self.prompts_at_engine
        if math.ceil(decode) + prefill <= engines:
            return decode
        return engines * decode / (decode + prefill)
