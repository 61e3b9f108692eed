"""Which prefix blocks a target is thought to hold.

A hint, never a promise: cache events come late and with gaps, and an engine
drops blocks as it needs the memory. A wrong hit costs one prefill.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from dandelionyoke_core._records import CacheEvent

MAX_BLOCKS = 100_000


class PrefixMemory:
    """The blocks of all targets; the oldest are forgotten first.

    One bound for all of them: a bound for each target would let the memory
    of a node grow with the fleet.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[tuple[int, str], None] = OrderedDict()
        self._owners = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def new_owner(self) -> int:
        """Give a number under which blocks are kept."""
        self._owners += 1
        return self._owners

    def holds(self, owner: int, block: str) -> bool:
        """Tell whether a block is kept under an owner."""
        return (owner, block) in self._blocks

    def add(self, owner: int, block: str) -> None:
        """Keep a block, or keep it for longer."""
        self._blocks[owner, block] = None
        self._blocks.move_to_end((owner, block))
        if len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def drop(self, owner: int, block: str) -> None:
        """Forget a block."""
        self._blocks.pop((owner, block), None)


class PrefixIndex:
    """The blocks of one target."""

    def __init__(self, memory: PrefixMemory) -> None:
        self.sequence = 0
        self._memory = memory
        self._owner = memory.new_owner()

    def holds(self, block: str) -> bool:
        """Tell whether the target is thought to hold a block."""
        return self._memory.holds(self._owner, block)

    def overlap(self, blocks: Sequence[str]) -> int:
        """Count the leading blocks that the target holds."""
        for position, block in enumerate(blocks):
            if not self.holds(block):
                return position
        return len(blocks)

    def add(self, blocks: Iterable[str]) -> None:
        """Expect blocks after a dispatch, before any event tells of them.

        The first block is kept for longest: without it the rest is useless.
        """
        for block in reversed(tuple(blocks)):
            self._memory.add(self._owner, block)

    def learn(
        self, first: int, following: int, events: Iterable[CacheEvent]
    ) -> None:
        """Take events in; a gap may hide removals, so it starts afresh."""
        if first > self.sequence + 1:
            self._forget()
        for event in events:
            if event.stored:
                self._memory.add(self._owner, event.block)
            else:
                self._memory.drop(self._owner, event.block)
        self.sequence = max(self.sequence, following - 1)

    def clear(self) -> None:
        """Forget all, as after a restart of the target."""
        self._forget()
        self.sequence = 0

    def _forget(self) -> None:
        # What is kept under the old number ages out of the memory.
        self._owner = self._memory.new_owner()
