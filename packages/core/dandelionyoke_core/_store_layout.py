"""The layout of the configuration in the store, and reading it.

`config/head` holds the revision, the newest changes and the revision of the
snapshot to start from. All other keys are immutable:
`config/snapshot/<revision>`, and `config/change/<revision>` for the changes
that the head no longer holds.
"""

import itertools

import attrs

from dandelionyoke_core._actions import StoreDelete, StoreGet, StorePut
from dandelionyoke_core._changes import apply_change
from dandelionyoke_core._codec import record_from_json
from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._errors import DandelionyokeError
from dandelionyoke_core._names import OperationId
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreWritten,
)
from dandelionyoke_core._store_task import StoreGenerator, StoreTask

HEAD_KEY = 'config/head'
SNAPSHOT_PREFIX = 'config/snapshot/'
CHANGE_PREFIX = 'config/change/'


@attrs.frozen
class StoreLayoutSettings:
    """Size limits of the head, the snapshot interval and retry limits."""

    head_changes: int = 32
    head_bytes: int = 65_536
    snapshot_every_changes: int = 16
    max_tries: int = 6
    max_changes_since: int = 256


@attrs.frozen
class Head:
    """The content of `config/head`; its changes end at its revision.

    The snapshot before the current one is kept for readers that are still
    reading it.
    """

    revision: int = 0
    snapshot_revision: int = 0
    old_snapshot_revision: int = 0
    changes: tuple[Change, ...] = ()


@attrs.frozen
class TaskFailed:
    """The task ended without an outcome, for example by a store failure.

    If the change may have happened, it is safe to submit the same proposal
    with the same change id again, which determines the outcome.
    """

    cause: str
    may_have_been_applied: bool = False


@attrs.frozen
class Loaded:
    """A configuration as read from the store."""

    snapshot: Snapshot
    changes: tuple[Change, ...]
    head: Head
    head_store_revision: int


LoadOutcome = Loaded | TaskFailed


class ConfigurationStore:
    """The store calls that read and change a configuration."""

    def __init__(self, prefix: str, settings: StoreLayoutSettings) -> None:
        self._prefix = prefix
        self._settings = settings
        self._operation_numbers = itertools.count(1)

    def load(
        self, history_from: int | None = None
    ) -> StoreGenerator[LoadOutcome]:
        """Read a whole configuration.

        A newer snapshot may have replaced the one that the head names before
        it is read; then the head is read again.
        """
        cause = ''
        for _ in range(self._settings.max_tries):
            head_item = yield from self.read(HEAD_KEY)
            if isinstance(head_item, TaskFailed):
                return head_item
            try:
                loaded = yield from self.load_from_head(head_item, history_from)
            except DandelionyokeError as error:
                return TaskFailed(str(error))
            if isinstance(loaded, Loaded):
                return loaded
            cause = loaded.cause
        return TaskFailed(cause)

    def load_from_head(
        self, head_item: StoreItem, history_from: int | None = None
    ) -> StoreGenerator[LoadOutcome]:
        """Read the snapshot and the changes that a head refers to."""
        head = decode_head(head_item)
        base = yield from self._read_snapshot(head.snapshot_revision)
        if isinstance(base, TaskFailed):
            return base
        first = head.snapshot_revision + 1
        if history_from is not None:
            oldest = head.revision - self._settings.max_changes_since
            first = max(1, oldest, min(first, history_from))
        changes = yield from self.read_changes(head, first)
        if isinstance(changes, TaskFailed):
            return changes
        snapshot = base
        for change in changes:
            if change.revision > snapshot.revision:
                snapshot = apply_change(snapshot, change)
        return Loaded(snapshot, changes, head, head_item.revision)

    def read_changes(
        self, head: Head, first: int
    ) -> StoreGenerator[tuple[Change, ...] | TaskFailed]:
        """Read the changes from revision `first` up to that of the head."""
        first_kept = head.revision - len(head.changes) + 1
        found: list[Change] = []
        for revision in range(first, first_kept):
            text = yield from self._read_text(change_key(revision))
            if isinstance(text, TaskFailed):
                return text
            found.append(record_from_json(text, Change))
        found.extend(
            change for change in head.changes if change.revision >= first
        )
        return tuple(found)

    def read(self, key: str) -> StoreGenerator[StoreItem | TaskFailed]:
        """Read a key, with up to `max_tries` tries."""
        found: StoreItem | TaskFailed = TaskFailed('')
        for _ in range(self._settings.max_tries):
            found = yield from self.read_once(key)
            if isinstance(found, StoreItem):
                return found
        return found

    def read_once(self, key: str) -> StoreGenerator[StoreItem | TaskFailed]:
        """Read a key, with one try."""
        answer = yield StoreGet(self.next_operation_id(), key)
        if isinstance(answer, StoreItem):
            return answer
        return TaskFailed(_failure_cause(answer))

    def create(self, key: str, text: str) -> StoreGenerator[TaskFailed | None]:
        """Write an immutable key; succeed if it exists already."""
        cause = ''
        for _ in range(self._settings.max_tries):
            answer = yield StorePut(self.next_operation_id(), key, text, 0)
            if isinstance(answer, StoreWritten | StoreConflict):
                return None
            cause = _failure_cause(answer)
        return TaskFailed(cause)

    def compare_and_swap(
        self, key: str, text: str, expected_revision: int
    ) -> StoreGenerator[StoreWritten | StoreConflict | StoreFailed]:
        """Write a key by compare-and-swap, once."""
        answer = yield StorePut(
            self.next_operation_id(), key, text, expected_revision
        )
        if isinstance(answer, StoreWritten | StoreConflict):
            return answer
        if isinstance(answer, StoreFailed):
            return answer
        return StoreFailed(_failure_cause(answer), may_have_been_applied=True)

    def delete(self, key: str) -> StoreGenerator[None]:
        """Delete a key that is no longer referenced, with one try."""
        found = yield from self.read_once(key)
        if isinstance(found, StoreItem) and found.value is not None:
            yield StoreDelete(self.next_operation_id(), key, found.revision)

    def _read_snapshot(
        self, revision: int
    ) -> StoreGenerator[Snapshot | TaskFailed]:
        if revision == 0:
            return Snapshot()
        text = yield from self._read_text(snapshot_key(revision))
        if isinstance(text, TaskFailed):
            return text
        return record_from_json(text, Snapshot)

    def _read_text(self, key: str) -> StoreGenerator[str | TaskFailed]:
        found = yield from self.read(key)
        if isinstance(found, TaskFailed):
            return found
        if found.value is None:
            return TaskFailed(f'{key} does not exist')
        return found.value

    def next_operation_id(self) -> OperationId:
        """Return the operation id of the next call."""
        return OperationId(f'{self._prefix}/{next(self._operation_numbers)}')


class ConfigurationLoader(StoreTask[LoadOutcome]):
    """The store task that reads a configuration and its recent changes."""

    def __init__(
        self,
        history_from: int | None = None,
        settings: StoreLayoutSettings | None = None,
        prefix: str = 'config-load',
    ) -> None:
        store = ConfigurationStore(prefix, settings or StoreLayoutSettings())
        super().__init__(store.load(history_from))

    @property
    def snapshot(self) -> Snapshot:
        """The configuration; empty until it has been read."""
        if isinstance(self.outcome, Loaded):
            return self.outcome.snapshot
        return Snapshot()

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes, oldest first; empty until they have been read."""
        if isinstance(self.outcome, Loaded):
            return self.outcome.changes
        return ()


def change_key(revision: int) -> str:
    """Return the store key of a change."""
    return f'{CHANGE_PREFIX}{revision}'


def snapshot_key(revision: int) -> str:
    """Return the store key of a snapshot."""
    return f'{SNAPSHOT_PREFIX}{revision}'


def decode_head(item: StoreItem) -> Head:
    """Decode the head; a missing head means the empty configuration."""
    if item.value is None:
        return Head()
    return record_from_json(item.value, Head)


def _failure_cause(answer: object) -> str:
    if isinstance(answer, StoreFailed):
        return answer.cause
    return f'unexpected answer of the store: {type(answer).__name__}'
