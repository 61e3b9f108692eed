"""Reading and watching the configuration's head in the store."""

import random as random_module

import attrs

from dandelionyoke_core._actions import Action, StoreWatch
from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._errors import DandelionyokeError
from dandelionyoke_core._events import StoreResponded
from dandelionyoke_core._records import (
    StoreFailed,
    StoreItem,
    StoreListing,
)
from dandelionyoke_core._store_layout import (
    HEAD_KEY,
    ConfigurationStore,
    Loaded,
    StoreLayoutSettings,
    TaskFailed,
    decode_head,
)
from dandelionyoke_core._store_task import StoreGenerator, StoreTask

# The store's clock may run slightly slower than that of this node.
CLOCK_RATE_MARGIN = 0.98
MAX_RETRY_DOUBLINGS = 16


@attrs.frozen
class ReaderSettings:
    """Intervals and timeouts of reading the head.

    Watchers watch it for `watch_wait_s` at a time; all other instances poll
    it every `poll_interval_s`.
    """

    watch_wait_s: float = 10.0
    poll_interval_s: float = 60.0
    call_timeout_s: float = 10.0
    retry_min_s: float = 0.5
    retry_max_s: float = 4.0
    layout: StoreLayoutSettings = attrs.field(factory=StoreLayoutSettings)


@attrs.frozen
class HeadRead:
    """The result of reading the head; `revision` is None if unchanged."""

    store_revision: int
    revision: int | None = None
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


@attrs.frozen
class ConfirmedRead:
    """A completed read, which was up to date in the store at `confirmed_s`."""

    head_read: HeadRead
    confirmed_s: float


ReadOutcome = HeadRead | TaskFailed


class HeadReader:
    """Keeps at most one read of the head pending."""

    def __init__(
        self,
        settings: ReaderSettings,
        random: random_module.Random,
        prefix: str,
    ) -> None:
        self._settings = settings
        self._random = random
        self._store = ConfigurationStore(prefix, settings.layout)
        self._task: StoreTask[ReadOutcome] | None = None
        self._started_s = 0.0
        self._deadline_s = 0.0
        self._is_watch = False
        self._due_s: float | None = None
        self._store_revision: int | None = None
        self._failures = 0
        self._has_succeeded = False

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._has_succeeded and self._failures == 0

    def next_wakeup_s(self) -> float | None:
        """Return when `advance` has to be called, or None."""
        return self._due_s if self._task is None else self._deadline_s

    def schedule_read(self, due_s: float) -> None:
        """Schedule the next read by `due_s`; a pending read overrides this."""
        self._due_s = due_s if self._due_s is None else min(self._due_s, due_s)

    def advance(
        self, known_revision: int, is_watcher: bool, now_s: float
    ) -> list[Action]:
        """Give up a read that timed out, and begin one that is due."""
        if self._task is not None:
            if now_s < self._deadline_s:
                return []
            self._handle_failure(is_watcher, now_s)
        if self._due_s is None or now_s < self._due_s:
            return []
        return self._begin(known_revision, is_watcher, now_s)

    def handle_answer(
        self, event: StoreResponded, is_watcher: bool, now_s: float
    ) -> tuple[list[Action], ConfirmedRead | None]:
        """Handle the answer to a store call of the pending read.

        Return the next store call, or the read if it is complete.
        """
        task = self._task
        if task is None or task.pending_operation_id != event.operation_id:
            return [], None
        self._deadline_s = now_s + self._settings.call_timeout_s
        actions = task.handle(event, now_s)
        if task.outcome is None:
            return actions, None
        if isinstance(task.outcome, TaskFailed):
            self._handle_failure(is_watcher, now_s)
            return [], None
        return [], self._finish(task.outcome, is_watcher, now_s)

    def _begin(
        self, known_revision: int, is_watcher: bool, now_s: float
    ) -> list[Action]:
        self._is_watch = is_watcher and self._store_revision is not None
        after = self._store_revision if self._is_watch else None
        self._task = StoreTask(self._read(after, known_revision))
        self._started_s = now_s
        self._due_s = None
        self._deadline_s = now_s + self._settings.call_timeout_s
        if self._is_watch:
            self._deadline_s += self._settings.watch_wait_s
        return self._task.begin()

    def _finish(
        self, head_read: HeadRead, is_watcher: bool, now_s: float
    ) -> ConfirmedRead:
        confirmed_s = self._started_s
        if self._is_watch and head_read.revision is None:
            waited_s = self._settings.watch_wait_s * CLOCK_RATE_MARGIN
            confirmed_s = min(now_s, self._started_s + waited_s)
        self._task = None
        self._failures = 0
        self._has_succeeded = True
        self._store_revision = head_read.store_revision
        self._due_s = now_s
        if not is_watcher:
            jitter = self._random.uniform(0.5, 1.5)
            self._due_s += self._settings.poll_interval_s * jitter
        return ConfirmedRead(head_read, confirmed_s)

    def _handle_failure(self, is_watcher: bool, now_s: float) -> None:
        self._task = None
        # A watch that failed may have missed a change.
        self._store_revision = None
        self._failures = min(self._failures + 1, MAX_RETRY_DOUBLINGS)
        max_pause_s = self._settings.retry_max_s
        if not is_watcher and self._has_succeeded:
            max_pause_s = self._settings.poll_interval_s
        pause_s = self._settings.retry_min_s * 2 ** (self._failures - 1)
        jitter = self._random.uniform(0.5, 1)
        self._due_s = now_s + min(max_pause_s, pause_s) * jitter

    def _read(
        self, watch_after: int | None, known_revision: int
    ) -> StoreGenerator[ReadOutcome]:
        head_item = yield from self._read_head(watch_after)
        if not isinstance(head_item, StoreItem):
            return head_item
        try:
            return (yield from self._read_content(head_item, known_revision))
        except DandelionyokeError as error:
            return TaskFailed(str(error))

    def _read_head(
        self, watch_after: int | None
    ) -> StoreGenerator[StoreItem | ReadOutcome]:
        if watch_after is None:
            return (yield from self._store.read_once(HEAD_KEY))
        answer = yield StoreWatch(
            operation_id=self._store.next_operation_id(),
            prefix=HEAD_KEY,
            after_revision=watch_after,
            wait_s=self._settings.watch_wait_s,
        )
        if not isinstance(answer, StoreListing):
            cause = answer.cause if isinstance(answer, StoreFailed) else ''
            return TaskFailed(cause)
        items = [item for item in answer.items if item.key == HEAD_KEY]
        if items:
            return max(items, key=lambda item: item.revision)
        return HeadRead(max(watch_after, answer.revision))

    def _read_content(
        self, item: StoreItem, known_revision: int
    ) -> StoreGenerator[ReadOutcome]:
        head = decode_head(item)
        kept_after = head.revision - len(head.changes)
        if max(known_revision, kept_after) == known_revision:
            return HeadRead(item.revision, head.revision, head.changes)
        loaded = yield from self._store.load_from_head(item)
        if not isinstance(loaded, Loaded):
            return loaded
        return HeadRead(
            store_revision=item.revision,
            revision=head.revision,
            changes=loaded.changes,
            snapshot=loaded.snapshot,
        )
