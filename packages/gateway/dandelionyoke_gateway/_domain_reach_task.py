"""Probes failure domains whose targets accept no connections.

It acts at the node that places the prefills of its domain, which hears of the
failures of all nodes there.
"""

import eventlet

from dandelionyoke_dispatch import (
    DomainReach,
    RegisteredTarget,
    TargetFailure,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._target_probe import PROBE_INTERVAL_S, probe_sample

# Targets of a cut domain stay suspect until after the next probe.
CUT_SUSPICION_S = 1.5


class DomainReachTask:
    """Finds out which domains are cut off, and when they are back."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._reach = knowledge.domain_reach
        self._log = log
        self._probed: set[tuple[str, str]] = set()

    @property
    def reach(self) -> DomainReach:
        """The failure domains that are cut off."""
        return self._reach

    def failed(self, target_id: str, failure: TargetFailure) -> None:
        """Record the failure of a target; probe its domain if others failed.

        Only for services whose targets tell how slow they are.
        """
        target = self._knowledge.registry.find(target_id)
        if target is None or failure is not TargetFailure.UNREACHABLE:
            return
        if not self._knowledge.speeds.is_balanced(target.service):
            return
        count = len(self._targets(target.service, target.domain))
        if self._reach.failed(target, count, clock_s()):
            self._start_probe(target.service, target.domain)

    def _start_probe(self, service: str, domain: str) -> None:
        key = (service, domain)
        if key not in self._probed:
            self._probed.add(key)
            eventlet.spawn_n(self._probe_until_reached, service, domain)

    def _probe_until_reached(self, service: str, domain: str) -> None:
        """Probe once, and while the domain is cut off."""
        self._probe(service, domain)
        # Also bounds the rate of probes while single targets fail.
        eventlet.sleep(PROBE_INTERVAL_S)
        while self._reach.is_cut_off(service, domain):
            self._probe(service, domain)
            eventlet.sleep(PROBE_INTERVAL_S)
        self._probed.discard((service, domain))

    def _probe(self, service: str, domain: str) -> None:
        targets = self._targets(service, domain)
        results = probe_sample(
            targets, self._reach.probed_targets, self._knowledge.random
        )
        is_changed = self._reach.probed(service, domain, results, clock_s())
        is_cut_off = self._reach.is_cut_off(service, domain)
        if is_cut_off:
            self._suspect(targets)
        elif is_changed:
            self._trust(targets)
        if is_changed:
            self._log.decide(
                'domain.reach',
                f'{service} in {domain}',
                outcome='cut off' if is_cut_off else 'reached',
                probed=','.join(sorted(results)),
                reached=sum(results.values()),
                targets=len(targets),
            )

    def _suspect(self, targets: list[RegisteredTarget]) -> None:
        until_s = clock_s() + CUT_SUSPICION_S
        for target in targets:
            self._knowledge.loads.suspect_until(target.target_id, until_s)

    def _trust(self, targets: list[RegisteredTarget]) -> None:
        """End the cooldowns of targets that were out of reach."""
        for target in targets:
            self._knowledge.loads.connected(target.target_id)

    def _targets(self, service: str, domain: str) -> list[RegisteredTarget]:
        return [
            target
            for target in self._knowledge.registry.of_service(service)
            if target.domain == domain
        ]
