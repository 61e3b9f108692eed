"""The choice of a target for each call."""

from collections.abc import Collection, Sequence

import attrs

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._decode_target import DecodeChoice, LeastBusyChoice
from dandelionyoke_dispatch._engine_room import DecodeCall
from dandelionyoke_dispatch._prefill_time import (
    PrefillTimeEstimate,
    TokenTimeEstimate,
)
from dandelionyoke_dispatch._prompt_queue import PromptQueue
from dandelionyoke_dispatch._registry import (
    Phase,
    RegisteredTarget,
    TargetRegistry,
)
from dandelionyoke_dispatch._target_limits import TargetLimits
from dandelionyoke_dispatch._target_load import TargetLoads
from dandelionyoke_dispatch._target_rests import TargetRests

# The cost of not using the first engine of a shared prefix, as a share of the
# prefill time of that prefix. Another engine fetches the prefix if the first
# one has it cached; if not, the prefix is prefilled where later calls do not
# look for it.
MOVE_COST_SHARE = 1.0


@attrs.frozen
class PrefillPlacement:
    """The prefill engine of a prompt, and one that may hold its prefix."""

    target: RegisteredTarget
    source: RegisteredTarget | None


class Placement:
    """Chooses among the targets that accept work and are not suspect."""

    def __init__(
        self,
        registry: TargetRegistry,
        loads: TargetLoads,
        fetches: TargetLoads,
        limits: TargetLimits,
        rests: TargetRests,
        domain: str,
        instance_id: str,
    ) -> None:
        self._registry = registry
        self._loads = loads
        # Failures of fetches of shared prefixes, by engine.
        self._fetches = fetches
        self._limits = limits
        self._rests = rests
        self._domain = domain
        self._instance_id = instance_id
        self._decode_choice: DecodeChoice = LeastBusyChoice(loads)

    def choose_decode_by(self, choice: DecodeChoice) -> None:
        """Set the choice among the usable decode engines."""
        self._decode_choice = choice

    def choose_prefill_engine(
        self,
        service: str,
        prompt: Prompt,
        prefill_time: PrefillTimeEstimate,
        queue: PromptQueue,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> PrefillPlacement | None:
        """Choose the prefill engine of a prompt, of any version if None.

        All nodes rank the engines for a shared prefix in the same order,
        without communication, so that the prefix is prefilled on the first
        engine only, and later prompts find it in its KV cache. Once the backlog
        of that engine is longer than that of another one by more than it costs
        to move, the other one fetches the prefix from it. Ties go to the engine
        that has been without a new prompt for longest: taking turns spreads the
        prompts of many nodes more evenly than a random choice.
        """
        engines = self._prefill_engines(service, avoid, now_s, version)
        if not engines:
            return None
        preferred = _first_ranked(engines, prompt.shared_key)
        move_cost_s = MOVE_COST_SHARE * _prefill_time_s(
            prefill_time.without_cache, prompt.shared_tokens
        )
        backlog = queue.fleet_backlog(now_s)
        chosen = min(
            engines,
            key=lambda engine: (
                _prefill_time_s(
                    prefill_time.with_cache, backlog[engine.target_id]
                )
                + move_cost_s * (engine is not preferred),
                queue.placed_s(engine.target_id),
                engine.target_id,
            ),
        )
        source = self._find_prefix_source(chosen, prompt.shared_key, now_s)
        return PrefillPlacement(chosen, source)

    def count_prefill_engines(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> int:
        """Return the number of prefill engines that may get a prompt."""
        return len(self._prefill_engines(service, avoid, now_s, version))

    def may_prefill(
        self, target: RegisteredTarget, avoid: Collection[str], now_s: float
    ) -> bool:
        """Whether a prompt that a prefill engine prefills can be decoded.

        If no decode engine is usable at all, one may be soon.
        """
        if len(self._registry.versions(target.service)) < 2:
            return True
        decode = self._decode_engines(target.service, avoid, now_s)
        versions = {engine.version for engine in decode}
        return not versions or target.version in versions

    def can_decode(
        self,
        prefilled_by: RegisteredTarget,
        avoid: Collection[str],
        now_s: float,
    ) -> bool:
        """Whether to decode a prompt at the version that prefilled it.

        Not at a suspect engine while one of another version is usable, which
        can prefill the prompt itself.
        """
        version, service = prefilled_by.version, prefilled_by.service
        if self._registry.versions(service) <= {version}:
            return True
        for phase in (Phase.DECODE, Phase.ANY):
            engines = self._usable(service, phase, avoid, now_s)
            if engines:
                return version in {engine.version for engine in engines}
        return True

    def _prefill_engines(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None,
    ) -> list[RegisteredTarget]:
        """Return the prefill engines whose prompts can be decoded.

        A KV cache is decoded only at the version that prefilled it. Versions
        whose decode engines are all full get no prompts either while another
        version has room.
        """
        engines = self._usable(service, Phase.PREFILL, avoid, now_s, version)
        if version is not None or len(self._registry.versions(service)) < 2:
            return engines
        decode = self._decode_engines(service, avoid, now_s)
        with_room = [
            engine
            for engine in decode
            if self._loads.busy(engine.target_id, now_s) < engine.slots
        ]
        versions = {engine.version for engine in with_room or decode}
        if not versions:
            return engines
        return [engine for engine in engines if engine.version in versions]

    def _decode_engines(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> list[RegisteredTarget]:
        """Return the usable decode engines, without new ones if possible."""
        engines = self._usable(service, Phase.DECODE, avoid, now_s, version)
        settled = [
            engine
            for engine in engines
            if not self._registry.is_new(engine.target_id, now_s)
        ]
        return settled or engines

    def _find_prefix_source(
        self, target: RegisteredTarget, shared_key: str, now_s: float
    ) -> RegisteredTarget | None:
        """Return the engine to fetch a shared prefix from, if any.

        It is the one of the same version that most likely has the prefix in
        its cache. An engine that is leaving keeps its cache until it stops, so
        others can still fetch from it. A fetch from an engine that is gone or
        unreachable delays a prompt for many times the prefill time of the
        prefix, so engines with recent slow fetches are skipped.
        """
        engines = [
            engine
            for engine in self._registry.all_of_service(target.service)
            if engine.phase is Phase.PREFILL
            and engine.version == target.version
            and not self._fetches.is_in_cooldown(engine.target_id, now_s)
        ]
        if not engines:
            return None
        holder = _first_ranked(engines, shared_key)
        return None if holder.target_id == target.target_id else holder

    def choose_decode_target(
        self,
        service: str,
        near_domain: str | None,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
        call: DecodeCall | None = None,
    ) -> RegisteredTarget | None:
        """Choose the decode engine of a stream, of any version if None.

        Transferring a KV cache to another failure domain takes twice as long,
        so an engine close to the one that holds the cache is preferred until it
        is much busier. An engine that has just started may be about to change
        its phase: all nodes would see it idle, send it their next streams and
        get them refused. Ties are resolved in an order that differs per node: a
        node of a large fleet knows of hardly any other streams, and the first
        engine by name would receive those of all nodes. The order is stable, so
        that a node reuses its connections.
        """
        engines = self._decode_engines(service, avoid, now_s, version)
        if not engines:
            return None
        by_id = {target.target_id: target for target in engines}
        ranked = rendezvous(by_id, self._instance_id, len(by_id))
        return self._decode_choice.choose(
            [by_id[target_id] for target_id in ranked],
            near_domain or self._domain,
            call or DecodeCall(),
            now_s,
        )

    def usable_decode_engines(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> list[RegisteredTarget]:
        """Return the decode engines that a stream may be sent to now."""
        return self._decode_engines(service, avoid, now_s, version)

    def decode_targets(self, service: str) -> list[RegisteredTarget]:
        """Return the targets that may stream a call of a service."""
        return [
            target
            for target in self._registry.of_service(service)
            if target.phase is not Phase.PREFILL
        ]

    def is_decode_unreachable(self, service: str, now_s: float) -> bool:
        """Whether no target that may stream a call accepts a connection."""
        targets = self.decode_targets(service)
        return bool(targets) and all(
            self._loads.is_unreachable(target.target_id, now_s)
            for target in targets
        )

    def choose_plain_target(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> RegisteredTarget | None:
        """Choose the least busy target of a plain service.

        It is of any version if `version` is None.
        """
        targets = self._usable(service, Phase.ANY, avoid, now_s, version)
        if not targets:
            return None
        return min(
            targets,
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots,
                target.domain != self._domain,
                target.target_id,
            ),
        )

    def limited_targets(
        self, service: str, now_s: float
    ) -> Sequence[RegisteredTarget]:
        """Return the targets that run a service's calls if none takes one now.

        Empty if any of them is not at its limit.
        """
        if not self._limits.has_withheld:
            return ()
        targets = self.decode_targets(service)
        if self._limits.are_all_withheld(targets, now_s):
            return targets
        return ()

    def resting_targets(
        self, service: str, now_s: float
    ) -> Sequence[RegisteredTarget]:
        """Return the targets that run a service's calls if all of them rest.

        One that is at its limit counts as resting beside others that do.
        """
        if not self._rests.has_rests:
            return ()
        targets = self.decode_targets(service)
        resting = [
            target
            for target in targets
            if self._rests.is_resting(target, now_s)
        ]
        is_any_left = any(
            target not in resting
            and not self._limits.is_withheld(target.target_id, now_s)
            for target in targets
        )
        return () if is_any_left else resting

    def unavailable_ids(self, service: str, now_s: float) -> frozenset[str]:
        """Return the targets that told this node what others may not know."""
        return frozenset(
            target.target_id
            for target in self._registry.all_of_service(service)
            if target.is_leaving or self._rests.is_resting(target, now_s)
        )

    def _usable(
        self,
        service: str,
        phase: Phase,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> list[RegisteredTarget]:
        targets = self._registry.of_service(service)
        if version is not None:
            targets = [
                target for target in targets if target.version == version
            ]
        candidates = [
            target
            for target in targets
            if target.phase is phase
            and target.target_id not in avoid
            and not self._limits.is_withheld(target.target_id, now_s)
            and not self._rests.is_resting(target, now_s)
        ]
        healthy = [
            target
            for target in candidates
            if not self._loads.is_in_cooldown(target.target_id, now_s)
        ]
        # If all targets are suspect, one of them is still better than none.
        return healthy or candidates


def _prefill_time_s(estimate: TokenTimeEstimate, tokens: int) -> float:
    """Return the prefill time; the token count while the time is unknown."""
    expected_s = estimate.expected_s(tokens)
    return tokens if expected_s is None else expected_s


def _first_ranked(
    engines: Sequence[RegisteredTarget], shared_key: str
) -> RegisteredTarget:
    by_id = {engine.target_id: engine for engine in engines}
    return by_id[rendezvous(by_id, shared_key, 1)[0]]
