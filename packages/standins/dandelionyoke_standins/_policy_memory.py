"""KV memory of the simulated engine: held and cached blocks, cache events."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence

from dandelionyoke_core import CacheEvent

MAX_EVENTS = 4096


class KvMemory:
    """Blocks held by attempts, and a cache of shared blocks without a holder.

    Private blocks belong to one attempt and are only counted.
    """

    def __init__(self, total_blocks: int) -> None:
        self.total_blocks = total_blocks
        self.private_blocks = 0
        self.events: deque[tuple[float, CacheEvent]] = deque()
        self.sequence = 0
        self._holder_counts: Counter[str] = Counter()
        self._cached: OrderedDict[str, None] = OrderedDict()

    @property
    def used_blocks(self) -> int:
        """Blocks that attempts hold; cached ones are not included."""
        return len(self._holder_counts) + self.private_blocks

    def match_prefix(self, names: Sequence[str]) -> int:
        """Return how many leading blocks are in memory."""
        for position, name in enumerate(names):
            if name not in self._holder_counts and name not in self._cached:
                return position
        return len(names)

    def acquire(self, names: Iterable[str], now_s: float) -> None:
        """Hold shared blocks; each new one is recorded as a cache event."""
        for name in names:
            if name in self._cached:
                self._cached.pop(name)
            elif name not in self._holder_counts:
                self._record_event(name, True, now_s)
            self._holder_counts[name] += 1

    def release(self, names: Iterable[str]) -> None:
        """Release shared blocks; those without a holder stay cached."""
        for name in reversed(tuple(names)):
            self._holder_counts[name] -= 1
            if not self._holder_counts[name]:
                self._holder_counts.pop(name)
                self._cached[name] = None

    def allocate_private(self, count: int, now_s: float) -> bool:
        """Allocate private blocks and evict cached ones to make room.

        Returns False and allocates none when too few blocks are free.
        """
        if self.used_blocks + count > self.total_blocks:
            return False
        self.private_blocks += count
        while self.used_blocks + len(self._cached) > self.total_blocks:
            name, _ = self._cached.popitem(last=False)
            self._record_event(name, False, now_s)
        return True

    def clear_cache(self, now_s: float) -> None:
        """Evict all cached blocks; held ones stay."""
        for name in tuple(self._cached):
            self._cached.pop(name)
            self._record_event(name, False, now_s)

    def _record_event(self, block: str, stored: bool, now_s: float) -> None:
        self.sequence += 1
        self.events.append((now_s, CacheEvent(self.sequence, stored, block)))
        if len(self.events) > MAX_EVENTS:
            self.events.popleft()
