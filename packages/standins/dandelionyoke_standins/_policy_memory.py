"""KV memory of the small engine: held blocks, cached ones, and events."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence

from dandelionyoke_core import CacheEvent

MAX_EVENTS = 4096


class KvMemory:
    """Blocks held by work, and a cache of named ones without a holder."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.private = 0
        self.events: deque[tuple[float, CacheEvent]] = deque()
        self.sequence = 0
        self._holders: Counter[str] = Counter()
        self._cached: OrderedDict[str, None] = OrderedDict()

    @property
    def used(self) -> int:
        """Blocks that work holds."""
        return len(self._holders) + self.private

    def overlap(self, names: Sequence[str]) -> int:
        """Count the leading names that are in memory."""
        for position, name in enumerate(names):
            if name not in self._holders and name not in self._cached:
                return position
        return len(names)

    def hold(self, names: Iterable[str], now_s: float) -> None:
        """Keep named blocks; a new one is told of."""
        for name in names:
            if name in self._cached:
                self._cached.pop(name)
            elif name not in self._holders:
                self._tell(name, True, now_s)
            self._holders[name] += 1

    def release(self, names: Iterable[str]) -> None:
        """Leave named blocks to the cache once nobody holds them."""
        for name in reversed(tuple(names)):
            self._holders[name] -= 1
            if not self._holders[name]:
                self._holders.pop(name)
                self._cached[name] = None

    def take(self, count: int, now_s: float) -> bool:
        """Take private blocks, dropping cached ones; none if too few."""
        if self.used + count > self.total:
            return False
        self.private += count
        while self.used + len(self._cached) > self.total:
            name, _ = self._cached.popitem(last=False)
            self._tell(name, False, now_s)
        return True

    def drop_cache(self, now_s: float) -> None:
        """Empty the cache; what work holds stays."""
        for name in tuple(self._cached):
            self._cached.pop(name)
            self._tell(name, False, now_s)

    def _tell(self, block: str, stored: bool, now_s: float) -> None:
        self.sequence += 1
        self.events.append((now_s, CacheEvent(self.sequence, stored, block)))
        if len(self.events) > MAX_EVENTS:
            self.events.popleft()
