"""Which target a call goes to."""

from collections.abc import Collection, Sequence

import attrs

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._reading_line import ReadingLine
from dandelionyoke_dispatch._reading_pace import PromptPace, ReadingPace
from dandelionyoke_dispatch._registry import (
    Phase,
    RegisteredTarget,
    TargetRegistry,
)
from dandelionyoke_dispatch._target_load import TargetLoads

# An engine in another domain is chosen once the near one has this much more
# of its slots taken: a share at which a step of the near one takes about as
# much longer as the cache takes to cross over.
FAR_PENALTY = 0.3

# What leaving the first engine of a shared part costs, as a share of the time
# for reading that part: another engine fetches it if the first one kept it,
# and if not, the part is read where later calls do not look for it.
LEAVING_SHARE = 1.0


@attrs.frozen
class PrefillHome:
    """The engine that prefills a prompt, and one that may keep parts of it."""

    target: RegisteredTarget
    source: RegisteredTarget | None


class Placement:
    """Chooses among the targets that take work and are not at rest."""

    def __init__(
        self,
        registry: TargetRegistry,
        loads: TargetLoads,
        fetches: TargetLoads,
        domain: str,
        instance_id: str,
    ) -> None:
        self._registry = registry
        self._loads = loads
        # How fetching shared parts from engines went.
        self._fetches = fetches
        self._domain = domain
        self._instance_id = instance_id

    def prefill_home(
        self,
        service: str,
        prompt: Prompt,
        pace: PromptPace,
        line: ReadingLine,
        avoid: Collection[str],
        now_s: float,
    ) -> PrefillHome | None:
        """Choose the prefill engine of a prompt.

        All nodes rank the engines for a shared part alike, without talk, so
        that it is prefilled on the first one only and found there again. Once
        that one has a longer backlog than another one, by more than it costs
        to leave it, the other one fetches the part from it. Among equals the
        one that was left alone for longest takes the next prompt: in turns,
        the prompts of many nodes come to each engine more evenly than drawn.
        """
        found = self._usable(service, Phase.PREFILL, avoid, now_s)
        if not found:
            return None
        first = _first_for(found, prompt.shared_key)
        owner = self._owner(service, prompt.shared_key, now_s) or first
        leaving_s = LEAVING_SHARE * _time_s(pace.unkept, prompt.shared_tokens)
        backlog = line.fleet_backlog(now_s)
        chosen = min(
            found,
            key=lambda one: (
                _time_s(pace.found, backlog[one.target_id])
                + leaving_s * (one is not first),
                line.placed_s(one.target_id),
                one.target_id,
            ),
        )
        source = None if owner.target_id == chosen.target_id else owner
        if source is not None:
            if self._fetches.rests(source.target_id, now_s):
                source = None
        return PrefillHome(chosen, source)

    def readers(
        self, service: str, avoid: Collection[str], now_s: float
    ) -> int:
        """Count the prefill engines that can be used."""
        return len(self._usable(service, Phase.PREFILL, avoid, now_s))

    def _owner(
        self, service: str, shared_key: str, now_s: float
    ) -> RegisteredTarget | None:
        """Find the engine that most likely keeps a shared part.

        One that is leaving keeps its memory until it is gone, and another
        one can fetch it until then. A fetch from an engine that is gone, or
        cut off, holds a prompt up many times as long as reading the part, so
        that one from which it was slow is left out.
        """
        engines = [
            one
            for one in self._registry.all_of_service(service)
            if one.phase is Phase.PREFILL
            and not self._fetches.rests(one.target_id, now_s)
        ]
        return _first_for(engines, shared_key) if engines else None

    def decode_target(
        self,
        service: str,
        near_domain: str | None,
        avoid: Collection[str],
        now_s: float,
    ) -> RegisteredTarget | None:
        """Choose the decode engine of a stream.

        A cache that crosses domains takes twice as long, so an engine near
        the one that holds it is preferred until it is much busier. One that
        has just come may be about to change its phase: all nodes would find
        it idle, send it their next streams and have them refused. Among
        equals each node has an order of its own: a node of a large fleet
        knows of hardly any other stream, and the first engine by name would
        get those of all nodes. The order stays, so that a node's connections
        serve it again.
        """
        found = self._usable(service, Phase.DECODE, avoid, now_s)
        if not found:
            return None
        settled = [
            one
            for one in found
            if not self._registry.is_new(one.target_id, now_s)
        ]
        found = settled or found
        near = near_domain or self._domain
        by_id = {target.target_id: target for target in found}
        ranked = rendezvous(by_id, self._instance_id, len(by_id))
        return min(
            (by_id[target_id] for target_id in ranked),
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots
                + FAR_PENALTY * (target.domain != near)
            ),
        )

    def plain_target(
        self, service: str, avoid: Collection[str], now_s: float
    ) -> RegisteredTarget | None:
        """Choose the least busy target of a plain service."""
        found = self._usable(service, Phase.ANY, avoid, now_s)
        if not found:
            return None
        return min(
            found,
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots,
                target.domain != self._domain,
                target.target_id,
            ),
        )

    def _usable(
        self,
        service: str,
        phase: Phase,
        avoid: Collection[str],
        now_s: float,
    ) -> list[RegisteredTarget]:
        found = [
            target
            for target in self._registry.of_service(service)
            if target.phase is phase and target.target_id not in avoid
        ]
        awake = [
            target
            for target in found
            if not self._loads.rests(target.target_id, now_s)
        ]
        # Where all are at rest one of them is still better than none.
        return awake or found


def _time_s(pace: ReadingPace, tokens: int) -> float:
    """Tell the time for reading tokens; until it is known, their number."""
    expected_s = pace.expected_s(tokens)
    return tokens if expected_s is None else expected_s


def _first_for(
    engines: Sequence[RegisteredTarget], shared_key: str
) -> RegisteredTarget:
    by_id = {one.target_id: one for one in engines}
    return by_id[rendezvous(by_id, shared_key, 1)[0]]
