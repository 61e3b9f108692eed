"""Which failure domains a placing node does not reach.

Load: the path to a domain with a third of the engines is lost. Without the
inference from some targets to all of their domain, each target costs a call
the time of a failed connection, again after each cooldown.
"""

from collections.abc import Mapping, Sequence

from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_reach import (
    TargetReach,
    TargetReachSettings,
)


class DomainReach:
    """The targets of each service and failure domain, as one node sees them."""

    def __init__(self, settings: TargetReachSettings) -> None:
        self._reach = TargetReach(settings)
        self._cut: set[tuple[str, str]] = set()

    @property
    def probed_targets(self) -> int:
        """The most targets that a probe connects to."""
        return self._reach.probed_targets

    def failed(
        self, target: RegisteredTarget, target_count: int, now_s: float
    ) -> bool:
        """Record a target that accepted no connection; return if to probe.

        `target_count` is the number of targets in its domain.
        """
        key = _key(target.service, target.domain)
        return self._reach.failed(key, target.target_id, target_count, now_s)

    def probed(
        self,
        service: str,
        domain: str,
        results: Mapping[str, bool],
        now_s: float,
    ) -> bool:
        """Record which targets were reached; return whether the cut changed."""
        key = _key(service, domain)
        if not self._reach.probed(key, results, now_s):
            return False
        if self._reach.is_cut_off(key):
            self._cut.add((service, domain))
        else:
            self._cut.discard((service, domain))
        return True

    def is_cut_off(self, service: str, domain: str) -> bool:
        """Whether no target of a service is reached in a domain."""
        return (service, domain) in self._cut

    def cut_domains(self, service: str) -> Sequence[str]:
        """Return the domains in which no target of a service is reached."""
        return sorted(domain for name, domain in self._cut if name == service)


def _key(service: str, domain: str) -> str:
    return f'{service}/{domain}'
