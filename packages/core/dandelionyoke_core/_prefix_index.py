"""Index of the prefix blocks that targets probably have in their KV cache.

The index is only a hint. Cache events are delayed and have gaps, and engines
evict blocks when they need memory. A false hit costs one prefill.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from dandelionyoke_core._records import CacheEvent

MAX_BLOCKS = 100_000


class PrefixBlockTable:
    """The blocks of all targets, with least recently used eviction.

    The maximum size applies to all targets together. With a maximum per
    target the memory of a node would grow with the fleet.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[tuple[int, str], None] = OrderedDict()
        self._owners = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def new_owner(self) -> int:
        """Return a new owner id for blocks."""
        self._owners += 1
        return self._owners

    def holds(self, owner: int, block: str) -> bool:
        """Return whether an owner has a block."""
        return (owner, block) in self._blocks

    def add(self, owner: int, block: str) -> None:
        """Add a block, or mark it as recently used."""
        self._blocks[owner, block] = None
        self._blocks.move_to_end((owner, block))
        if len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def drop(self, owner: int, block: str) -> None:
        """Remove a block."""
        self._blocks.pop((owner, block), None)


class PrefixIndex:
    """The prefix blocks of one target."""

    def __init__(self, table: PrefixBlockTable) -> None:
        self.sequence = 0
        self._table = table
        self._owner = table.new_owner()

    def holds(self, block: str) -> bool:
        """Return whether the target probably has a block."""
        return self._table.holds(self._owner, block)

    def overlap(self, blocks: Sequence[str]) -> int:
        """Count the leading blocks that the target probably has."""
        for position, block in enumerate(blocks):
            if not self.holds(block):
                return position
        return len(blocks)

    def add(self, blocks: Iterable[str]) -> None:
        """Add the blocks of a dispatched call before cache events report them.

        The first block is added last and so evicted last, since the rest is
        useless without it.
        """
        for block in reversed(tuple(blocks)):
            self._table.add(self._owner, block)

    def learn(
        self,
        first_sequence: int,
        next_sequence: int,
        events: Iterable[CacheEvent],
    ) -> None:
        """Apply cache events; a gap clears the index, as it may hide evictions.

        `first_sequence` is the number of the first event and `next_sequence`
        the number after the last one.
        """
        if first_sequence > self.sequence + 1:
            self._reset_blocks()
        for event in events:
            if event.stored:
                self._table.add(self._owner, event.block)
            else:
                self._table.drop(self._owner, event.block)
        self.sequence = max(self.sequence, next_sequence - 1)

    def clear(self) -> None:
        """Clear the index, for example after a restart of the target."""
        self._reset_blocks()
        self.sequence = 0

    def _reset_blocks(self) -> None:
        # The blocks of the old owner id are evicted over time.
        self._owner = self._table.new_owner()
