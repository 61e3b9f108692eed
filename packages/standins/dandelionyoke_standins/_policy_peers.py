"""The known live peers of a node, and the broadcast of shared records."""

from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Event,
    InstanceId,
    LivePeersChanged,
    Output,
    ReplicateRecord,
    SharedRecord,
)


@attrs.define
class SimulatedPeers:
    """The instances that a node considers live."""

    live: tuple[InstanceId, ...]
    live_in_domain: tuple[InstanceId, ...]

    def learn(
        self,
        live: tuple[InstanceId, ...],
        live_in_domain: tuple[InstanceId, ...],
    ) -> None:
        """Replace the live instances."""
        self.live = tuple(sorted(live))
        self.live_in_domain = tuple(sorted(live_in_domain))

    def to_event(self) -> LivePeersChanged:
        """Return the live instances as an event for the node's parts."""
        return LivePeersChanged(self.live, self.live_in_domain)


@attrs.frozen
class BroadcastRecord(Action):
    """Request to send a record to reachable peers, in the domain or everywhere."""

    record: SharedRecord
    everywhere: bool


class BroadcastPart:
    """Node part that requests broadcasts of the records that parts share."""

    handles: ClassVar[tuple[type[Event], ...]] = (ReplicateRecord,)

    _wakeup_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Return the action that broadcasts a record."""
        if isinstance(event, ReplicateRecord):
            return [BroadcastRecord(event.record, event.everywhere)]
        return []

    def next_wakeup_s(self) -> float | None:
        """Return None: this part needs no wakeup."""
        return self._wakeup_s
