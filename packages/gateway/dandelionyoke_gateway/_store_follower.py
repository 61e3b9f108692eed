"""Follows the keys below a prefix of the store, over failures."""

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

# The store forgets its history after a time, or at once; a watch that goes on
# from older changes would fail where a listing does not.
MAX_WATCH_GAP_S = 10.0


class StoreFollower:
    """Lists a prefix, then hears of its changes.

    After a failure a change may have been lost, or the history that a watch
    would go on from is gone, so that all is listed again.
    """

    def __init__(self, store: Store, prefix: str, back_off: BackOff) -> None:
        self._store = store
        self._prefix = prefix
        self._back_off = back_off
        self._revision: int | None = None
        self._answered_s = 0.0
        # Whether the last listing held all keys and not only changes.
        self.was_whole = False

    def ask(self, watch_s: float) -> StoreResult:
        """Wait for a listing; the caller pauses after anything else.

        A change is waited for up to `watch_s`, unless all is listed.
        """
        if clock_s() - self._answered_s > MAX_WATCH_GAP_S:
            self.restart()
        answer = self._store.perform(self._question(watch_s))
        if not isinstance(answer, StoreListing):
            self._revision = None
            return answer
        self._back_off.reset()
        self.was_whole = self._revision is None
        self._revision = answer.revision
        self._answered_s = clock_s()
        return answer

    def restart(self) -> None:
        """List all the next time."""
        self._revision = None

    def pause(self) -> None:
        """Wait before the next question after a failure."""
        sleep(self._back_off.next_s())

    def _question(self, watch_s: float) -> StoreList | StoreWatch:
        operation = OperationId(f'follow {self._prefix}')
        if self._revision is None:
            return StoreList(operation, self._prefix)
        return StoreWatch(operation, self._prefix, self._revision, watch_s)
