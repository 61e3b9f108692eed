"""The choice of a target for each call."""

import math
from collections.abc import Collection, Sequence

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._decode_target import DecodeChoice, LeastBusyDecode
from dandelionyoke_dispatch._engine_room import DecodeCall
from dandelionyoke_dispatch._expected_end import ExpectedEndChoice
from dandelionyoke_dispatch._plain_choice import LeastBusyChoice
from dandelionyoke_dispatch._prefill_choice import (
    PrefillChoice,
    PrefillPlacement,
    PrefillQuestion,
    TokenBacklogChoice,
)
from dandelionyoke_dispatch._prefill_hints import PrefillHints
from dandelionyoke_dispatch._prefill_time import PrefillTimeEstimate
from dandelionyoke_dispatch._prompt_queue import PromptQueue
from dandelionyoke_dispatch._registry import (
    Phase,
    RegisteredTarget,
    TargetRegistry,
)
from dandelionyoke_dispatch._target_limits import TargetLimits
from dandelionyoke_dispatch._target_load import TargetLoads
from dandelionyoke_dispatch._target_rests import TargetRests
from dandelionyoke_dispatch._target_speed import (
    TargetSpeeds,
    TargetSpeedSettings,
)


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
        self._limits = limits
        self._rests = rests
        self._domain = domain
        self._plain_choice = LeastBusyChoice(loads, domain)
        self._instance_id = instance_id
        self.prefill_hints = PrefillHints(TargetSpeeds(TargetSpeedSettings()))
        # `fetches` has the failures of fetches of shared prefixes, by engine.
        self._token_backlog = TokenBacklogChoice(fetches)
        self._expected_end = ExpectedEndChoice(
            self.prefill_hints, loads, fetches
        )
        self._decode_choice: DecodeChoice = LeastBusyDecode(loads)

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
        """Choose the prefill engine of a prompt, of any version if None."""
        engines = self._prefill_engines(service, avoid, now_s, version)
        if not engines:
            return None
        listed = [
            engine
            for engine in self._registry.all_of_service(service)
            if engine.phase is Phase.PREFILL
        ]
        choice: PrefillChoice = self._token_backlog
        if self._expected_end.is_possible(service, prefill_time):
            choice = self._expected_end
        return choice.choose(
            PrefillQuestion(prompt, prefill_time, queue, engines, listed, now_s)
        )

    def prefill_capacity(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> float:
        """Return the prefill engines that may get a prompt, each by its speed.

        One that takes twice as long as usual counts as half an engine.
        """
        engines = self._prefill_engines(service, avoid, now_s, version)
        paces = self.prefill_hints.paces
        return math.fsum(
            1 / paces.slowness(engine, now_s) for engine in engines
        )

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
        targets = self.plain_targets(service, avoid, now_s, version)
        if not targets:
            return None
        return self._plain_choice.choose(targets, now_s)

    def plain_targets(
        self,
        service: str,
        avoid: Collection[str],
        now_s: float,
        version: str | None = None,
    ) -> list[RegisteredTarget]:
        """Return the targets of a plain service that may get a call."""
        return self._usable(service, Phase.ANY, avoid, now_s, version)

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
            if target.is_leaving
            or self._rests.is_resting(target, now_s)
            or self._registry.refused_phase(target.target_id) is Phase.PREFILL
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
