"""The entries of a run, what reaches them, and who is cut off."""

from functools import partial

import attrs

from dandelionyoke_core import (
    Composition,
    Domain,
    Event,
    InstanceId,
    RecordLearned,
    SharedRecord,
)
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_peers import PeersFake, SpreadRecord

HOP_S = 0.001
HEARTBEAT_S = 3.0


@attrs.define(eq=False)
class NodeBox:
    """One entry: its parts, and when it wants to be woken."""

    instance_id: InstanceId
    domain: Domain
    peers: PeersFake
    node: Composition
    wake_s: float | None = None
    versions: dict[str, int] = attrs.field(factory=dict)


class Network:
    """Which domains reach each other, and the records that travel."""

    def __init__(self, clock: VirtualClock) -> None:
        self.cut_off: frozenset[Domain] = frozenset()
        self.nodes: tuple[NodeBox, ...] = ()
        self._clock = clock

    def joined(self, one: Domain, other: Domain) -> bool:
        """Tell whether two domains reach each other."""
        if one == other:
            return True
        return one not in self.cut_off and other not in self.cut_off

    def set_cut(self, cut_off: frozenset[Domain]) -> None:
        """Cut domains off, or join them; the entries notice it late."""
        self.cut_off = cut_off
        self._clock.later(HEARTBEAT_S, self._update_peers)

    def spread(self, box: NodeBox, action: SpreadRecord) -> None:
        """Let a record reach the peers in its scope."""
        for other in self.nodes:
            near = other.domain == box.domain
            if other is box or not (near or action.everywhere):
                continue
            if self.joined(box.domain, other.domain):
                self._learn(other, box, action.record)

    def give(self, box: NodeBox, event: Event, delay_s: float = HOP_S) -> None:
        """Let an event reach a node."""
        self._clock.later(delay_s, partial(self.handle, box, event))

    def handle(self, box: NodeBox, event: Event) -> None:
        """Let a node handle an event; whoever runs the world sets this."""
        raise NotImplementedError

    def _learn(
        self, other: NodeBox, box: NodeBox, record: SharedRecord
    ) -> None:
        if other.versions.get(record.record_key, 0) < record.version:
            other.versions[record.record_key] = record.version
            self.give(other, RecordLearned(record, box.instance_id))

    def _update_peers(self) -> None:
        for box in self.nodes:
            reached = [
                other
                for other in self.nodes
                if self.joined(box.domain, other.domain)
            ]
            box.peers.learn(
                tuple(other.instance_id for other in reached),
                tuple(
                    other.instance_id
                    for other in reached
                    if other.domain == box.domain
                ),
            )
            self.give(box, box.peers.notice(), 0)
