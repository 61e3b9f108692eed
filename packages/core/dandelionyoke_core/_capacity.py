"""What admission may know of the targets behind a service."""

from typing import Protocol

import attrs

from dandelionyoke_core._names import ServiceName


@attrs.frozen
class ServiceCapacity:
    """What the usable targets of a service can hold, over all entries.

    `blocks` is the KV memory of engines (0: not limited by it) and `slots`
    the calls that may run at once; both are 0 while no target is usable.
    """

    targets: int = 0
    slots: int = 0
    blocks: int = 0
    block_tokens: int = 16
    prefill_tokens_per_s: float = 0.0


class CapacityView(Protocol):
    """Tells what a service can hold now."""

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Add up the usable targets of a service."""
