"""The platform's store, in memory and in virtual time."""

from collections import Counter, deque
from collections.abc import Callable

from dandelionyoke_core import (
    Action,
    StoreAnswered,
    StoreConflict,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWatch,
    StoreWritten,
)

Answer = Callable[[StoreAnswered], None]


class VirtualStore:
    """Keys with revisions, compare-and-swap and watches."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, StoreItem] = {}
        self.is_out = False
        self.calls: Counter[str] = Counter()
        # What befalls the next writes: 'lost' (takes effect, no answer),
        # 'dropped' (neither), 'late' (no answer, and takes effect after the
        # next call); empty for none.
        self.write_faults: deque[str] = deque()
        self._late: list[StorePut | StoreDelete] = []
        self._watches: list[tuple[StoreWatch, Answer]] = []

    def call(self, action: Action) -> StoreResult:
        """Perform a call that is answered at once."""
        self.calls[type(action).__name__] += 1
        if self.is_out:
            return StoreFailed('unavailable', may_have_happened=False)
        if isinstance(action, StoreGet):
            found = self._present(action.key)
            self._write_late()
            return found
        if isinstance(action, StorePut | StoreDelete):
            return self._write_with_fault(action)
        return StoreFailed('unsupported', may_have_happened=False)

    def watch(self, action: StoreWatch, answer: Answer) -> None:
        """Hold a watch, or answer it at once where there is news."""
        self.calls[type(action).__name__] += 1
        if self.is_out:
            failed = StoreFailed('unavailable', may_have_happened=False)
            answer(StoreAnswered(action.operation_id, failed))
            return
        self._watches.append((action, answer))
        self._answer_watches()

    def end_watch(self, action: StoreWatch) -> None:
        """Answer a watch that waited for its whole time."""
        for held in tuple(self._watches):
            if held[0] is action:
                self._watches.remove(held)
                held[1](StoreAnswered(action.operation_id, self._nothing()))

    def _nothing(self) -> StoreResult:
        if self.is_out:
            return StoreFailed('unavailable', may_have_happened=False)
        return StoreListing(self.revision, ())

    def _present(self, key: str) -> StoreItem:
        return self.items.get(key, StoreItem(key, 0, None))

    def _write_with_fault(self, action: StorePut | StoreDelete) -> StoreResult:
        fault = self.write_faults.popleft() if self.write_faults else ''
        if fault == 'late':
            self._late.append(action)
        if fault in {'late', 'dropped'}:
            return StoreFailed('no answer', may_have_happened=True)
        result = self._write(action)
        self._write_late()
        if fault == 'lost':
            return StoreFailed('no answer', may_have_happened=True)
        return result

    def _write_late(self) -> None:
        late = self._late
        self._late = []
        for action in late:
            self._write(action)

    def _write(self, action: StorePut | StoreDelete) -> StoreResult:
        key = action.key
        present = self._present(key)
        found = 0 if present.value is None else present.revision
        if found != action.expected_revision:
            return StoreConflict(present)
        text = action.value if isinstance(action, StorePut) else None
        self.revision += 1
        self.items[key] = StoreItem(key, self.revision, text)
        self._answer_watches()
        return StoreWritten(key, self.revision)

    def _answer_watches(self) -> None:
        for action, answer in tuple(self._watches):
            news = tuple(
                item
                for key, item in self.items.items()
                if key.startswith(action.prefix)
                and item.revision > action.after_revision
            )
            if news:
                self._watches.remove((action, answer))
                listing = StoreListing(self.revision, news)
                answer(StoreAnswered(action.operation_id, listing))
