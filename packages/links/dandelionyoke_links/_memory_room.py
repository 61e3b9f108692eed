"""Bounds on the memory that the requests of a process hold together."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

# What a client sends in so many bytes counts as progress.
PROGRESS_BYTES = 65536


class MemoryShortError(Exception):
    """There is no memory for more bytes, and nothing that gives way to them."""


@attrs.define(eq=False)
class _Pool:
    """A part of a room; the revocable holdings, by their last progress."""

    limit_bytes: float
    held_bytes: int = 0
    revocable: 'OrderedDict[Holding, None]' = attrs.field(factory=OrderedDict)


@attrs.define(eq=False)
class Holding:
    """The memory that one request holds, in a pool of its room.

    `give_way` ends the request while it is revocable.
    """

    give_way: Callable[[], None]
    pool: _Pool = attrs.field(repr=False)
    held_bytes: int = 0
    # What was added since the last progress.
    unmarked_bytes: int = 0
    is_closed: bool = False


class MemoryRoom:
    """The memory of all requests; no more than a limit is held at a time.

    Holdings of up to `small_bytes` have a pool of their own, so that larger
    ones cannot keep small requests out. While a pool is short, the revocable
    holding that has made no progress for longest gives way.
    """

    def __init__(
        self,
        limit_bytes: float,
        small_limit_bytes: float = 0,
        small_bytes: int = 0,
    ) -> None:
        self._small_bytes = small_bytes
        self._small = _Pool(small_limit_bytes)
        self._large = _Pool(limit_bytes)

    @property
    def held_bytes(self) -> int:
        """The memory that is held now."""
        return self._small.held_bytes + self._large.held_bytes

    def open(self, give_way: Callable[[], None]) -> Holding:
        """Return a holding without memory, which is not revocable yet.

        `give_way` is called after its memory was given back; it must not
        block.
        """
        return Holding(give_way, self._small)

    def set_revocable(self, holding: Holding, *, is_revocable: bool) -> None:
        """Set whether a holding gives way to others."""
        holding.pool.revocable.pop(holding, None)
        if is_revocable and not holding.is_closed:
            holding.pool.revocable[holding] = None

    def grow(self, holding: Holding, count_bytes: int) -> None:
        """Add bytes to a holding; others may have to give way.

        Raises:
            MemoryShortError: there is no memory left. The holding was closed
                if it was the one to give way.
        """
        if holding.is_closed:
            raise MemoryShortError
        if holding.held_bytes + count_bytes > self._small_bytes:
            self._move_to_large(holding)
        pool = holding.pool
        # A request that is larger than the pool is served if it is alone.
        while (
            pool.held_bytes + count_bytes > pool.limit_bytes
            and pool.held_bytes > holding.held_bytes
        ):
            self._revoke_oldest(pool, holding)
        pool.held_bytes += count_bytes
        holding.held_bytes += count_bytes
        holding.unmarked_bytes += count_bytes
        if holding.unmarked_bytes >= PROGRESS_BYTES:
            holding.unmarked_bytes = 0
            if holding in pool.revocable:
                pool.revocable.move_to_end(holding)

    def close(self, holding: Holding) -> None:
        """Give back the memory of a holding."""
        if holding.is_closed:
            return
        holding.is_closed = True
        holding.pool.revocable.pop(holding, None)
        holding.pool.held_bytes -= holding.held_bytes

    def _move_to_large(self, holding: Holding) -> None:
        old = holding.pool
        if old is self._large:
            return
        holding.pool = self._large
        old.held_bytes -= holding.held_bytes
        self._large.held_bytes += holding.held_bytes
        if holding in old.revocable:
            old.revocable.pop(holding)
            self._large.revocable[holding] = None

    def _revoke_oldest(self, pool: _Pool, growing: Holding) -> None:
        oldest = next(iter(pool.revocable), None)
        if oldest is None:
            raise MemoryShortError
        self.close(oldest)
        oldest.give_way()
        if oldest is growing:
            raise MemoryShortError
