"""The simulated nodes of a run and the network between their domains."""

from functools import partial

import attrs

from dandelionyoke_core import (
    Composition,
    Domain,
    Event,
    InstanceId,
    RecordReceived,
    SharedRecord,
)
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_peers import BroadcastRecord, SimulatedPeers

NETWORK_DELAY_S = 0.001
CUT_DETECTION_DELAY_S = 3.0


@attrs.define(eq=False)
class SimulatedNode:
    """One node, its next wakeup and the record versions that it received."""

    instance_id: InstanceId
    domain: Domain
    peers: SimulatedPeers
    composition: Composition
    wakeup_s: float | None = None
    record_versions: dict[str, int] = attrs.field(factory=dict)


class Network:
    """Delivery of events and records between domains.

    Isolated domains reach no other domain."""

    def __init__(self, clock: VirtualClock) -> None:
        self.isolated_domains: frozenset[Domain] = frozenset()
        self.nodes: tuple[SimulatedNode, ...] = ()
        self._clock = clock

    def can_reach(self, first: Domain, other: Domain) -> bool:
        """Return whether two domains can reach each other."""
        if first == other:
            return True
        return (
            first not in self.isolated_domains
            and other not in self.isolated_domains
        )

    def isolate_domains(self, isolated_domains: frozenset[Domain]) -> None:
        """Replace the set of isolated domains.

        The nodes learn of it after the detection delay.
        """
        self.isolated_domains = isolated_domains
        self._clock.call_later(CUT_DETECTION_DELAY_S, self._update_peers)

    def broadcast(self, node: SimulatedNode, action: BroadcastRecord) -> None:
        """Deliver a record to all reachable peers in its scope."""
        for other in self.nodes:
            same_domain = other.domain == node.domain
            if other is node or not (same_domain or action.everywhere):
                continue
            if self.can_reach(node.domain, other.domain):
                self._deliver_record(other, node, action.record)

    def deliver(
        self,
        node: SimulatedNode,
        event: Event,
        delay_s: float = NETWORK_DELAY_S,
    ) -> None:
        """Deliver an event to a node after a delay."""
        self._clock.call_later(delay_s, partial(self.handle, node, event))

    def handle(self, node: SimulatedNode, event: Event) -> None:
        """Let a node handle an event; the subclass implements this."""
        raise NotImplementedError

    def _deliver_record(
        self, other: SimulatedNode, node: SimulatedNode, record: SharedRecord
    ) -> None:
        if other.record_versions.get(record.record_key, 0) < record.version:
            other.record_versions[record.record_key] = record.version
            self.deliver(other, RecordReceived(record, node.instance_id))

    def _update_peers(self) -> None:
        for node in self.nodes:
            reachable = [
                other
                for other in self.nodes
                if self.can_reach(node.domain, other.domain)
            ]
            node.peers.learn(
                tuple(other.instance_id for other in reachable),
                tuple(
                    other.instance_id
                    for other in reachable
                    if other.domain == node.domain
                ),
            )
            self.deliver(node, node.peers.to_event(), 0)
