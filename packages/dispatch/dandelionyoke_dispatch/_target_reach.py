"""Whether this node reaches the targets of each service.

A node that is partitioned from all targets sees the same as one whose targets
have all crashed. Either way its calls are better served by another node.
"""

from collections.abc import Mapping

import attrs


@attrs.frozen
class TargetReachSettings:
    """When connections are probed, and when a cut begins and ends.

    `failures_before_probe` targets that failed without a new connection in
    between, or stay silent without a response in between, start a probe; each
    counts for `failure_lifetime_s`. A probe opens connections to
    `probed_targets` targets. A cut lasts for at least `min_cut_s`, so that a
    path that comes and goes does not move the calls back and forth.
    """

    failures_before_probe: int = 2
    failure_lifetime_s: float = 2.0
    probed_targets: int = 4
    min_cut_s: float = 1.0


@attrs.define
class _Service:
    failed_s: dict[str, float] = attrs.field(factory=dict)
    silent_s: dict[str, float] = attrs.field(factory=dict)
    cut_since_s: float | None = None


class TargetReach:
    """Connections to the targets of each service, as this node sees them."""

    def __init__(self, settings: TargetReachSettings) -> None:
        self._settings = settings
        self._services: dict[str, _Service] = {}

    @property
    def probed_targets(self) -> int:
        """The most targets that a probe connects to."""
        return self._settings.probed_targets

    def is_cut_off(self, service: str) -> bool:
        """Whether no target of a service is reached."""
        state = self._services.get(service)
        return state is not None and state.cut_since_s is not None

    def connected(self, service: str) -> None:
        """Record that a new connection to a target was established."""
        state = self._services.get(service)
        if state is not None:
            state.failed_s.clear()
            state.silent_s.clear()

    def heard(self, service: str) -> None:
        """Record that a target responded."""
        state = self._services.get(service)
        if state is not None:
            state.silent_s.clear()

    def failed(
        self, service: str, target_id: str, target_count: int, now_s: float
    ) -> bool:
        """Record a target that failed; return whether to probe the service."""
        state = self._services.setdefault(service, _Service())
        state.failed_s[target_id] = now_s
        return self._needs_probe(state, target_count, now_s)

    def silent(
        self, service: str, target_id: str, target_count: int, now_s: float
    ) -> bool:
        """Record a target that does not respond; return whether to probe."""
        state = self._services.setdefault(service, _Service())
        state.silent_s[target_id] = now_s
        return self._needs_probe(state, target_count, now_s)

    def probed(
        self, service: str, results: Mapping[str, bool], now_s: float
    ) -> bool:
        """Record which targets were reached; return whether the cut changed.

        Some of the targets may have crashed, so a cut ends as soon as half of
        them are reached.
        """
        state = self._services.setdefault(service, _Service())
        reached = sum(results.values())
        if state.cut_since_s is None:
            if reached or not results:
                return False
            state.cut_since_s = now_s
            return True
        lasted_s = now_s - state.cut_since_s
        is_over = lasted_s >= self._settings.min_cut_s
        if results and 2 * reached < len(results) or not is_over:
            return False
        state.cut_since_s = None
        self.connected(service)
        return True

    def _needs_probe(
        self, state: _Service, target_count: int, now_s: float
    ) -> bool:
        oldest_s = now_s - self._settings.failure_lifetime_s
        suspects = {
            name
            for at_s in (state.failed_s, state.silent_s)
            for name, seen_s in at_s.items()
            if seen_s >= oldest_s
        }
        needed = min(self._settings.failures_before_probe, target_count)
        return state.cut_since_s is None and len(suspects) >= needed
