"""Watches the keys under a prefix of the store and recovers from failures."""

from eventlet import sleep

from dandelionyoke_core import (
    BackOff,
    OperationId,
    StoreList,
    StoreListing,
    StoreResult,
    StoreWatch,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import Store

# The store may compact its history at any time. After a longer gap all keys
# are listed again, as a watch from an old revision would fail.
MAX_WATCH_GAP_S = 10.0


class PrefixWatcher:
    """Lists the keys under a prefix, then watches for changes.

    After a failure all keys are listed again, because a change may have been
    lost, or the store may have compacted the revision to watch from.
    """

    def __init__(self, store: Store, prefix: str, back_off: BackOff) -> None:
        self._store = store
        self._prefix = prefix
        self._back_off = back_off
        self._revision: int | None = None
        self._last_listing_s = 0.0
        # Whether the last result lists all keys, not only the changed ones.
        self.was_full_listing = False

    def poll(self, watch_s: float) -> StoreResult:
        """Return the next listing, or the result of a failed operation.

        The caller must back off after a failure. Waits up to `watch_s` for a
        change, unless all keys are listed.
        """
        if clock_s() - self._last_listing_s > MAX_WATCH_GAP_S:
            self.restart()
        result = self._store.perform(self._next_operation(watch_s))
        if not isinstance(result, StoreListing):
            self._revision = None
            return result
        self._back_off.reset()
        self.was_full_listing = self._revision is None
        self._revision = result.revision
        self._last_listing_s = clock_s()
        return result

    def restart(self) -> None:
        """List all keys with the next operation."""
        self._revision = None

    def back_off(self) -> None:
        """Wait for the backoff delay after a failure."""
        sleep(self._back_off.next_s())

    def _next_operation(self, watch_s: float) -> StoreList | StoreWatch:
        operation = OperationId(f'follow {self._prefix}')
        if self._revision is None:
            return StoreList(operation, self._prefix)
        return StoreWatch(operation, self._prefix, self._revision, watch_s)
