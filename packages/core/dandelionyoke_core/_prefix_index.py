"""Which prefix blocks a target is thought to hold.

A hint, never a promise: cache events come late and with gaps, and an engine
drops blocks as it needs the memory. A wrong hit costs one prefill.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from dandelionyoke_core._records import CacheEvent

MAX_BLOCKS = 8192


class PrefixIndex:
    """A bounded set of blocks; the oldest are forgotten first."""

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.sequence = 0

    def holds(self, block: str) -> bool:
        """Tell whether the target is thought to hold a block."""
        return block in self._blocks

    def overlap(self, blocks: Sequence[str]) -> int:
        """Count the leading blocks that the target holds."""
        for position, block in enumerate(blocks):
            if block not in self._blocks:
                return position
        return len(blocks)

    def add(self, blocks: Iterable[str]) -> None:
        """Expect blocks after a dispatch, before any event tells of them."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def learn(
        self, first: int, following: int, events: Iterable[CacheEvent]
    ) -> None:
        """Take events in; a gap may hide removals, so it starts afresh."""
        if first > self.sequence + 1:
            self._blocks.clear()
        for event in events:
            if event.stored:
                self.add((event.block,))
            else:
                self._blocks.pop(event.block, None)
        self.sequence = max(self.sequence, following - 1)

    def clear(self) -> None:
        """Forget all, as after a restart of the target."""
        self._blocks.clear()
        self.sequence = 0
