"""Which target a call goes to."""

from collections.abc import Collection, Sequence

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._registry import (
    Phase,
    RegisteredTarget,
    TargetRegistry,
)
from dandelionyoke_dispatch._target_load import TargetLoads

NOBODY: frozenset[str] = frozenset()


class Placement:
    """Chooses among the targets that take work and are not at rest."""

    def __init__(
        self, registry: TargetRegistry, loads: TargetLoads, domain: str
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._domain = domain

    def prefill_homes(
        self, service: str, shared_key: str, now_s: float
    ) -> Sequence[RegisteredTarget]:
        """Rank the prefill engines for a shared part of a prompt.

        All nodes rank alike without talk, so that a shared part is read on
        one engine only and found there again.
        """
        found = self._usable(service, Phase.PREFILL, NOBODY, now_s)
        by_id = {target.target_id: target for target in found}
        ranked = rendezvous(by_id, shared_key, len(by_id))
        return [by_id[target_id] for target_id in ranked]

    def decode_target(
        self,
        service: str,
        near_domain: str | None,
        avoid: Collection[str],
        now_s: float,
    ) -> RegisteredTarget | None:
        """Choose the engine that makes the tokens.

        A cache that crosses domains takes twice as long, so an engine near
        the one that holds it is preferred until it is much busier.
        """
        found = self._usable(service, Phase.DECODE, avoid, now_s)
        if not found:
            return None
        near = near_domain or self._domain
        return min(
            found,
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots
                + FAR_PENALTY * (target.domain != near),
                target.target_id,
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


# An engine in another domain is chosen once the near one has this much more
# of its slots taken: a share at which a step of the near one takes about as
# much longer as the cache takes to cross over (from the engines' sheet).
FAR_PENALTY = 0.3
