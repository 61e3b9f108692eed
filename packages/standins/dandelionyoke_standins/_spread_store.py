"""In-memory store of the platform in virtual time, with write faults."""

from collections import Counter, deque
from collections.abc import Callable

from dandelionyoke_core import (
    Action,
    StoreConflict,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreListing,
    StorePut,
    StoreResponded,
    StoreResult,
    StoreWatch,
    StoreWritten,
)

AnswerCallback = Callable[[StoreResponded], None]


class VirtualStore:
    """Key-value store with revisions, compare-and-swap and watches."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, StoreItem] = {}
        self.is_unavailable = False
        self.calls: Counter[str] = Counter()
        # Faults of the next writes, in order: 'lost' (takes effect without an
        # answer), 'dropped' (neither), 'late' (no answer, takes effect after
        # the next call), or '' for no fault.
        self.write_faults: deque[str] = deque()
        self._delayed_writes: list[StorePut | StoreDelete] = []
        self._watches: list[tuple[StoreWatch, AnswerCallback]] = []

    def perform(self, action: Action) -> StoreResult:
        """Perform a call other than a watch and return its result."""
        self.calls[type(action).__name__] += 1
        if self.is_unavailable:
            return StoreFailed('unavailable', may_have_been_applied=False)
        if isinstance(action, StoreGet):
            found = self._current_item(action.key)
            self._apply_delayed_writes()
            return found
        if isinstance(action, StorePut | StoreDelete):
            return self._write_with_fault(action)
        return StoreFailed('unsupported', may_have_been_applied=False)

    def watch(self, action: StoreWatch, answer: AnswerCallback) -> None:
        """Register a watch; answer it at once if its keys have changed."""
        self.calls[type(action).__name__] += 1
        if self.is_unavailable:
            failed = StoreFailed('unavailable', may_have_been_applied=False)
            answer(StoreResponded(action.operation_id, failed))
            return
        self._watches.append((action, answer))
        self._answer_watches()

    def end_watch(self, action: StoreWatch) -> None:
        """Answer a watch with an empty listing at the end of its wait."""
        for watch in tuple(self._watches):
            if watch[0] is action:
                self._watches.remove(watch)
                watch[1](
                    StoreResponded(action.operation_id, self._empty_result())
                )

    def _empty_result(self) -> StoreResult:
        if self.is_unavailable:
            return StoreFailed('unavailable', may_have_been_applied=False)
        return StoreListing(self.revision, ())

    def _current_item(self, key: str) -> StoreItem:
        return self.items.get(key, StoreItem(key, 0, None))

    def _write_with_fault(self, action: StorePut | StoreDelete) -> StoreResult:
        fault = self.write_faults.popleft() if self.write_faults else ''
        if fault == 'late':
            self._delayed_writes.append(action)
        if fault in {'late', 'dropped'}:
            return StoreFailed('no answer', may_have_been_applied=True)
        result = self._write(action)
        self._apply_delayed_writes()
        if fault == 'lost':
            return StoreFailed('no answer', may_have_been_applied=True)
        return result

    def _apply_delayed_writes(self) -> None:
        late = self._delayed_writes
        self._delayed_writes = []
        for action in late:
            self._write(action)

    def _write(self, action: StorePut | StoreDelete) -> StoreResult:
        key = action.key
        current = self._current_item(key)
        found = 0 if current.value is None else current.revision
        if found != action.expected_revision:
            return StoreConflict(current)
        new_value = action.value if isinstance(action, StorePut) else None
        self.revision += 1
        self.items[key] = StoreItem(key, self.revision, new_value)
        self._answer_watches()
        return StoreWritten(key, self.revision)

    def _answer_watches(self) -> None:
        for action, answer in tuple(self._watches):
            changed = tuple(
                item
                for key, item in self.items.items()
                if key.startswith(action.prefix)
                and item.revision > action.after_revision
            )
            if changed:
                self._watches.remove((action, answer))
                listing = StoreListing(self.revision, changed)
                answer(StoreResponded(action.operation_id, listing))
