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
from dandelionyoke_gateway._ports import Store


class StoreFollower:
    """Lists a prefix, then hears of its changes.

    After a failure a change may have been lost, or the history that a watch
    would go on from is gone, so that all is listed again.
    """

    def __init__(
        self, store: Store, prefix: str, watch_s: float, back_off: BackOff
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._watch_s = watch_s
        self._back_off = back_off
        self._revision: int | None = None
        # Whether the last listing held all keys and not only changes.
        self.was_whole = False

    def ask(self) -> StoreResult:
        """Wait for a listing; the caller pauses after anything else."""
        answer = self._store.perform(self._question())
        if not isinstance(answer, StoreListing):
            self._revision = None
            return answer
        self._back_off.reset()
        self.was_whole = self._revision is None
        self._revision = answer.revision
        return answer

    def pause(self) -> None:
        """Wait before the next question after a failure."""
        sleep(self._back_off.next_s())

    def _question(self) -> StoreList | StoreWatch:
        operation = OperationId(f'follow {self._prefix}')
        if self._revision is None:
            return StoreList(operation, self._prefix)
        return StoreWatch(
            operation, self._prefix, self._revision, self._watch_s
        )
