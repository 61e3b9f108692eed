"""Who lives, and how records spread, in a run."""

from typing import ClassVar

import attrs

from dandelionyoke_core import (
    Action,
    Event,
    InstanceId,
    Output,
    PeersKnown,
    SharedRecord,
    ShareRecord,
)


@attrs.define
class PeersFake:
    """The entries that a node takes for live."""

    live: tuple[InstanceId, ...]
    live_in_domain: tuple[InstanceId, ...]

    def learn(
        self,
        live: tuple[InstanceId, ...],
        live_in_domain: tuple[InstanceId, ...],
    ) -> None:
        """Take a new list."""
        self.live = tuple(sorted(live))
        self.live_in_domain = tuple(sorted(live_in_domain))

    def notice(self) -> PeersKnown:
        """Say who lives."""
        return PeersKnown(self.live, self.live_in_domain)


@attrs.frozen
class SpreadRecord(Action):
    """Give a record to the peers in reach."""

    record: SharedRecord
    everywhere: bool


class Spreader:
    """Hands the records that parts share to the network of the run."""

    handles: ClassVar[tuple[type[Event], ...]] = (ShareRecord,)

    _wakeup_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Pass a record on."""
        if isinstance(event, ShareRecord):
            return [SpreadRecord(event.record, event.everywhere)]
        return []

    def next_wakeup_s(self) -> float | None:
        """Never."""
        return self._wakeup_s
