"""Probes the targets of a service that this node seems not to reach."""

from collections.abc import Sequence

import eventlet

from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._target_probe import PROBE_INTERVAL_S, probe_sample


class ReachTask:
    """Opens connections to find out whether a service is cut off."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._reach = knowledge.reach
        self._log = log
        self._probed_services: set[str] = set()
        self._watched_services: set[str] = set()

    def connected(self, target: RegisteredTarget) -> None:
        """Record that a new connection to a target was established."""
        self._reach.connected(target.service)

    def heard(self, target: RegisteredTarget) -> None:
        """Record that a target responded."""
        self._reach.heard(target.service)

    def failed(self, target: RegisteredTarget) -> None:
        """Record a target that failed, and probe if others did too."""
        service = target.service
        count = len(self._knowledge.registry.of_service(service))
        if self._reach.failed(service, target.target_id, count, clock_s()):
            self._start_probe(service)

    def silent(self, target: RegisteredTarget) -> bool:
        """Record a target that does not respond; return whether it is cut off.

        Starts a probe if others do not respond either.
        """
        service = target.service
        count = len(self._knowledge.registry.of_service(service))
        if self._reach.silent(service, target.target_id, count, clock_s()):
            self._start_probe(service)
        return self._reach.is_cut_off(service)

    def watch_decode(self, service: str) -> None:
        """Probe the decode targets of a service until one is reached."""
        if service not in self._watched_services:
            self._watched_services.add(service)
            eventlet.spawn_n(self._probe_decode, service)

    def _probe_decode(self, service: str) -> None:
        placement = self._knowledge.placement
        while placement.is_decode_unreachable(service, clock_s()):
            targets = placement.decode_targets(service)
            for target_id, is_reached in self._probe_sample(targets).items():
                if is_reached:
                    self._knowledge.loads.connected(target_id)
                    self._log.decide('target.reached', target_id)
            eventlet.sleep(PROBE_INTERVAL_S)
        self._watched_services.discard(service)

    def _start_probe(self, service: str) -> None:
        if service not in self._probed_services:
            self._probed_services.add(service)
            eventlet.spawn_n(self._probe_until_reached, service)

    def _probe_until_reached(self, service: str) -> None:
        """Probe once, and while the service is cut off."""
        self._probe(service)
        # Also bounds the rate of probes while single targets fail.
        eventlet.sleep(PROBE_INTERVAL_S)
        while self._reach.is_cut_off(service):
            self._probe(service)
            eventlet.sleep(PROBE_INTERVAL_S)
        self._probed_services.discard(service)

    def _probe(self, service: str) -> None:
        targets = self._knowledge.registry.of_service(service)
        results = self._probe_sample(targets)
        if self._reach.probed(service, results, clock_s()):
            is_cut_off = self._reach.is_cut_off(service)
            self._log.decide(
                'reach.changed',
                service,
                outcome='cut off' if is_cut_off else 'reached',
                probed=','.join(sorted(results)),
                reached=sum(results.values()),
            )

    def _probe_sample(
        self, targets: Sequence[RegisteredTarget]
    ) -> dict[str, bool]:
        """Connect to some of the targets; return which of them accepted."""
        return probe_sample(
            targets, self._reach.probed_targets, self._knowledge.random
        )
