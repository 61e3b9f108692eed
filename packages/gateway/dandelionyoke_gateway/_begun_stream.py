"""A stream whose head has arrived, from a target or through another node."""

import math
from contextlib import ExitStack

import attrs

from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._handover import HandedCall
from dandelionyoke_gateway._messages import ResponseHead
from dandelionyoke_gateway._target_connection import TargetConnection


class StreamAbandonedError(Exception):
    """A stream that has begun is not needed any more."""


@attrs.define
class BegunStream:
    """A stream whose head has arrived.

    `exchange` holds what ends with it: the connection returns to its pool if
    the stream was read to its end, and is closed otherwise. `attempt` is the
    number of its attempt. `target` is None if another node passes it on.
    """

    head: ResponseHead
    source: TargetConnection | HandedCall
    attempt: int
    exchange: ExitStack
    target: RegisteredTarget | None = None
    # Whether its answer counts as begun well.
    is_settled: bool = False

    @property
    def version(self) -> str | None:
        """The version that writes it; None if another node names none."""
        if isinstance(self.source, HandedCall):
            return self.source.version
        return None if self.target is None else self.target.version

    @property
    def alive_since_s(self) -> float:
        """Since when its target has run at least, by its connection."""
        source = self.source
        return math.inf if isinstance(source, HandedCall) else source.opened_s

    def abandon(self) -> None:
        """End the exchange; the target stops working on it."""
        error = StreamAbandonedError()
        self.exchange.__exit__(type(error), error, None)
