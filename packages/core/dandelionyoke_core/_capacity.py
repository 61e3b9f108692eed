"""What admission may know of the targets behind a service."""

from typing import Protocol

import attrs

from dandelionyoke_core._load_estimate import WorkSize
from dandelionyoke_core._names import ServiceName


@attrs.frozen
class ServiceCapacity:
    """What the usable targets of a service can do, over all entries.

    `slots` is how many calls may run at once; 0 while no target is usable.
    """

    targets: int = 0
    slots: int = 0


@attrs.frozen
class Outlook:
    """What a call would find now: whether it could begin, and its times.

    `run_s` is what would be left of `total_s` without the queue there.
    """

    has_room: bool
    first_token_s: float
    total_s: float
    run_s: float


class CapacityView(Protocol):
    """Tells what a service can do now."""

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Add up the usable targets of a service."""

    def outlook(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> Outlook | None:
        """Look at the best of a few targets; None while none is usable."""
