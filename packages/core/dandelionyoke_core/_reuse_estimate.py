"""Estimates of how often prompts share a prefix, by service."""

from collections import OrderedDict

import attrs

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._ports import RouteRequirements

MAX_REMEMBERED_BLOCKS = 8192
INITIAL_SHARE = 0.25
LEARNING_RATE = 0.03


@attrs.define
class ReuseEstimate:
    """Estimate prefix reuse from the middle block of each sent prompt.

    Cache hits are no measure of reuse. They are rare while calls with the
    same prefix go to different targets, so routing would never learn to keep
    such calls together. The middle block is used because the first block can
    be common to all calls, as with a system prompt, and says nothing about
    the rest of the prompt.
    """

    _seen_blocks: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _shares: dict[ServiceName, float] = attrs.field(factory=dict)

    def share(self, service: ServiceName) -> float:
        """Return the share of prompts at this entry with a known prefix."""
        return self._shares.get(service, INITIAL_SHARE)

    def learn(self, requirements: RouteRequirements) -> None:
        """Update the estimate with a call that was sent."""
        if not requirements.blocks:
            return
        middle_block = requirements.blocks[len(requirements.blocks) // 2]
        was_seen = int(middle_block in self._seen_blocks)
        previous_share = self.share(requirements.service)
        self._shares[requirements.service] = previous_share + LEARNING_RATE * (
            was_seen - previous_share
        )
        self._seen_blocks[middle_block] = None
        self._seen_blocks.move_to_end(middle_block)
        if len(self._seen_blocks) > MAX_REMEMBERED_BLOCKS:
            self._seen_blocks.popitem(last=False)
