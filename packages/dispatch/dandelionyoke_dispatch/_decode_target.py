"""The choice of the decode engine of a stream.

Load: long prompts in bursts, on decode engines that share their machines with
other work. Which engine has the fewest calls says neither which has memory for
one more nor which produces the next token soonest.
"""

from collections.abc import Sequence
from typing import Protocol

from dandelionyoke_dispatch._engine_room import DecodeCall, EngineRoom
from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_load import TargetLoads
from dandelionyoke_dispatch._target_speed import TargetSpeeds

# The difference in slot utilisation above which an engine in another domain is
# preferred. At this difference, the slower decode steps of the near engine cost
# about as much as the transfer of the KV cache.
CROSS_DOMAIN_PENALTY = 0.3


class DecodeChoice(Protocol):
    """Chooses one of several usable decode engines."""

    def choose(
        self,
        engines: Sequence[RegisteredTarget],
        domain: str,
        call: DecodeCall,
        now_s: float,
    ) -> RegisteredTarget:
        """Choose an engine, if possible in a domain; the first one at a tie."""


class LeastBusyDecode:
    """Takes the engine with the least calls for its slots."""

    def __init__(self, loads: TargetLoads) -> None:
        self._loads = loads

    def choose(
        self,
        engines: Sequence[RegisteredTarget],
        domain: str,
        call: DecodeCall,
        now_s: float,
    ) -> RegisteredTarget:
        """Choose an engine, if possible in a domain; the first one at a tie."""
        return min(
            engines,
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots
                + CROSS_DOMAIN_PENALTY * (target.domain != domain)
            ),
        )


class PaceChoice:
    """Takes the engine that is the least full and the least slow.

    Engines without room for the call are left out while another one has it.
    The engines of a service that do not report their slowness are chosen as
    `otherwise` does.
    """

    def __init__(
        self, room: EngineRoom, speeds: TargetSpeeds, otherwise: DecodeChoice
    ) -> None:
        self._room = room
        self._speeds = speeds
        self._otherwise = otherwise

    def choose(
        self,
        engines: Sequence[RegisteredTarget],
        domain: str,
        call: DecodeCall,
        now_s: float,
    ) -> RegisteredTarget:
        """Choose an engine, if possible in a domain; the first one at a tie."""
        if not self._speeds.is_balanced(engines[0].service):
            return self._otherwise.choose(engines, domain, call, now_s)
        with_room = [
            target
            for target in engines
            if self._room.has_room(target, call, now_s)
        ]
        return min(
            with_room or engines,
            key=lambda target: (
                self._pace(target, call, now_s)
                + CROSS_DOMAIN_PENALTY * (target.domain != domain)
            ),
        )

    def _pace(
        self, target: RegisteredTarget, call: DecodeCall, now_s: float
    ) -> float:
        """Return how full an engine is, times how slow it is."""
        fullness = self._room.calls(target, now_s) / target.slots
        if call.capacity_tokens:
            used = self._room.tokens(target, now_s) / call.capacity_tokens
            fullness = max(fullness, used)
        return fullness * self._speeds.slowness(target.target_id, now_s)
