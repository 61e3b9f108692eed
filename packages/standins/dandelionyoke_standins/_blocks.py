"""An engine's KV memory: blocks held by work, and a cache of prefixes."""

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import Literal

import attrs

MAX_EVENTS = 4096


@attrs.frozen
class CacheEvent:
    """A prefix block has come into the cache or left it."""

    sequence: int
    kind: Literal['stored', 'removed']
    block: str


@attrs.frozen
class CacheEvents:
    """The events after a sequence number, as far as they are kept.

    `first` over the asked number plus one is a gap: some were lost.
    """

    first: int
    next: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class CacheEventSettings:
    """How late cache events are, and how often the log loses some."""

    lag_s: float = 0.5
    gap_share: float = 0.005


class CacheEventLog:
    """Cache events that come late and with gaps."""

    def __init__(
        self, settings: CacheEventSettings, chance: random.Random
    ) -> None:
        self._settings = settings
        self._chance = chance
        self._events: deque[tuple[float, CacheEvent]] = deque()
        self._next = 1

    def append(
        self, kind: Literal['stored', 'removed'], block: str, now_s: float
    ) -> None:
        """Log an event; now and then the log loses all earlier ones."""
        is_losing = self._chance.random() < self._settings.gap_share
        if is_losing:
            self._events.clear()
        if len(self._events) >= MAX_EVENTS:
            self._events.popleft()
        event = CacheEvent(self._next, kind, block)
        self._events.append((now_s, event))
        self._next += 1

    def after(self, sequence: int, now_s: float) -> CacheEvents:
        """Give what a reader that knows this sequence may see by now."""
        until_s = now_s - self._settings.lag_s
        visible = [event for at_s, event in self._events if at_s <= until_s]
        hidden = len(self._events) - len(visible)
        following = self._next - hidden
        fresh = tuple(event for event in visible if event.sequence > sequence)
        first = fresh[0].sequence if fresh else following
        return CacheEvents(first, following, fresh)


class BlockPool:
    """Blocks of KV memory.

    A named block holds a prefix and is shared by the work that has it; with
    no holder it stays cached until memory is needed, the least recently
    used first. A private block belongs to one piece of work.
    """

    def __init__(self, total_blocks: int, log: CacheEventLog) -> None:
        self.total_blocks = total_blocks
        self._log = log
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._holders: Counter[str] = Counter()
        self._private_blocks = 0

    @property
    def used_blocks(self) -> int:
        """Blocks that work holds, which can't be evicted."""
        return len(self._holders) + self._private_blocks

    @property
    def free_blocks(self) -> int:
        """Blocks that work may take, cached ones that it evicts included."""
        return self.total_blocks - self.used_blocks

    def cached_prefix(self, names: Sequence[str]) -> tuple[str, ...]:
        """Give the leading names that are in memory."""
        for position, name in enumerate(names):
            if name not in self._cached and name not in self._holders:
                return tuple(names[:position])
        return tuple(names)

    def hold(self, names: Iterable[str]) -> None:
        """Keep named blocks from being evicted."""
        for name in names:
            self._cached.pop(name, None)
            self._holders[name] += 1

    def release(self, names: Iterable[str]) -> None:
        """Let named blocks go into the cache once nobody holds them."""
        for name in reversed(tuple(names)):
            self._holders[name] -= 1
            if not self._holders[name]:
                self._holders.pop(name)
                self._cached[name] = None

    def take(self, count: int, now_s: float) -> bool:
        """Take private blocks, evicting cached ones; none if too few."""
        if count > self.free_blocks:
            return False
        self._private_blocks += count
        self._evict(now_s)
        return True

    def give(self, count: int) -> None:
        """Give private blocks back."""
        self._private_blocks -= count

    def name_blocks(self, names: Iterable[str], now_s: float) -> None:
        """Turn private blocks into named ones that their owner holds."""
        for name in names:
            self._private_blocks -= 1
            is_new = name not in self._holders and name not in self._cached
            self.hold((name,))
            if is_new:
                self._log.append('stored', name, now_s)

    def add_cached(self, names: Iterable[str], now_s: float) -> None:
        """Put blocks from another engine into the cache."""
        for name in names:
            if name not in self._holders and name not in self._cached:
                self._cached[name] = None
                self._log.append('stored', name, now_s)
        self._evict(now_s)

    def clear(self, now_s: float) -> None:
        """Empty the cache; nothing may be held."""
        while self._cached:
            self._evict_one(now_s)

    def _evict(self, now_s: float) -> None:
        while self.used_blocks + len(self._cached) > self.total_blocks:
            self._evict_one(now_s)

    def _evict_one(self, now_s: float) -> None:
        name, _ = self._cached.popitem(last=False)
        self._log.append('removed', name, now_s)
