"""How a configuration lies in the store, and how it is read and changed.

`config/head` holds the revision, the last changes and the revision of the
snapshot to start from. A change is committed by compare-and-swap on it.
Everything else is immutable: `config/snapshot/<revision>`, and
`config/change/<revision>` for the changes that left the head.
"""

import itertools
from collections.abc import Sequence

import attrs

from dandelionyoke_core._actions import StoreGet, StorePut
from dandelionyoke_core._changes import Problem, apply_change, validate
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._entities import Change, Operation, Snapshot
from dandelionyoke_core._errors import DandelionyokeError
from dandelionyoke_core._names import ChangeId, OperationId
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreWritten,
)
from dandelionyoke_core._store_dialogue import Steps, StoreDialogue

HEAD_KEY = 'config/head'
SNAPSHOT_PREFIX = 'config/snapshot/'
CHANGE_PREFIX = 'config/change/'
MAX_VALUE_BYTES = 1_048_576
# The head holds the whole of the newest change, whatever its size, and has
# to fit into a value with it.
MAX_CHANGE_BYTES = 786_432


@attrs.frozen
class StoreLayoutSettings:
    """How much the head holds, and when a snapshot is cut."""

    head_changes: int = 32
    head_bytes: int = 65_536
    snapshot_every_changes: int = 16
    max_tries: int = 6
    max_changes_since: int = 256


@attrs.frozen
class Head:
    """The content of `config/head`; its changes end at its revision."""

    revision: int = 0
    snapshot_revision: int = 0
    changes: tuple[Change, ...] = ()


@attrs.frozen
class Proposal:
    """A change that an operator wants.

    `base_revision` is the revision that it was planned on; None means that
    it is right on top of any.
    """

    change_id: ChangeId
    base_revision: int | None
    author: str
    reason: str
    committed_wall_s: float
    operations: tuple[Operation, ...]


@attrs.frozen
class Committed:
    """The change is in the configuration."""

    change: Change


@attrs.frozen
class Conflicted:
    """Another operator was first; nothing was changed."""

    present_revision: int
    changes_since: tuple[Change, ...]


@attrs.frozen
class Rejected:
    """The configuration that the change makes is wrong; nothing changed."""

    problems: tuple[Problem, ...]


@attrs.frozen
class Unsettled:
    """The store did not answer.

    Where the change may have happened, the same proposal, with the same
    change id, finds out and is safe.
    """

    cause: str
    may_have_happened: bool = False


CommitOutcome = Committed | Conflicted | Rejected | Unsettled


@attrs.frozen
class Loaded:
    """A configuration as read from the store."""

    snapshot: Snapshot
    changes: tuple[Change, ...]
    head: Head
    head_store_revision: int


LoadOutcome = Loaded | Unsettled


class StoreSteps:
    """The store calls of reading and changing a configuration."""

    def __init__(self, prefix: str, settings: StoreLayoutSettings) -> None:
        self._prefix = prefix
        self._settings = settings
        self._numbers = itertools.count(1)

    def load(self, history_from: int | None = None) -> Steps[LoadOutcome]:
        """Read all of a configuration.

        The snapshot can be gone by the time that it is read, because newer
        ones have followed; then the head is read again.
        """
        cause = ''
        for _ in range(self._settings.max_tries):
            head_item = yield from self.get(HEAD_KEY)
            if isinstance(head_item, Unsettled):
                return head_item
            try:
                loaded = yield from self.load_from(head_item, history_from)
            except DandelionyokeError as wrong:
                return Unsettled(str(wrong))
            if isinstance(loaded, Loaded):
                return loaded
            cause = loaded.cause
        return Unsettled(cause)

    def load_from(
        self, head_item: StoreItem, history_from: int | None = None
    ) -> Steps[LoadOutcome]:
        """Read what a head rests on."""
        head = read_head(head_item)
        base = yield from self._get_snapshot(head.snapshot_revision)
        if isinstance(base, Unsettled):
            return base
        first = head.snapshot_revision + 1
        if history_from is not None:
            oldest = head.revision - self._settings.max_changes_since
            first = max(1, oldest, min(first, history_from))
        changes = yield from self.get_changes(head, first)
        if isinstance(changes, Unsettled):
            return changes
        snapshot = base
        for change in changes:
            if change.revision > snapshot.revision:
                snapshot = apply_change(snapshot, change)
        return Loaded(snapshot, changes, head, head_item.revision)

    def get_changes(
        self, head: Head, first: int
    ) -> Steps[tuple[Change, ...] | Unsettled]:
        """Read the changes from a revision up to the head's."""
        kept_from = head.revision - len(head.changes) + 1
        found: list[Change] = []
        for revision in range(first, kept_from):
            text = yield from self._get_text(change_key(revision))
            if isinstance(text, Unsettled):
                return text
            found.append(record_from_json(text, Change))
        found.extend(
            change for change in head.changes if change.revision >= first
        )
        return tuple(found)

    def get(self, key: str) -> Steps[StoreItem | Unsettled]:
        """Read a key, with a bounded number of tries."""
        found: StoreItem | Unsettled = Unsettled('')
        for _ in range(self._settings.max_tries):
            found = yield from self.get_once(key)
            if isinstance(found, StoreItem):
                return found
        return found

    def get_once(self, key: str) -> Steps[StoreItem | Unsettled]:
        """Read a key, with one try."""
        answer = yield StoreGet(self.next_id(), key)
        if isinstance(answer, StoreItem):
            return answer
        return Unsettled(_cause_of(answer))

    def create(self, key: str, text: str) -> Steps[Unsettled | None]:
        """Write an immutable key; it is fine if it is there already."""
        cause = ''
        for _ in range(self._settings.max_tries):
            answer = yield StorePut(self.next_id(), key, text, 0)
            if isinstance(answer, StoreWritten | StoreConflict):
                return None
            cause = _cause_of(answer)
        return Unsettled(cause)

    def swap(
        self, key: str, text: str, expected_revision: int
    ) -> Steps[StoreWritten | StoreConflict | StoreFailed]:
        """Write a key by compare-and-swap, once."""
        answer = yield StorePut(self.next_id(), key, text, expected_revision)
        if isinstance(answer, StoreWritten | StoreConflict):
            return answer
        if isinstance(answer, StoreFailed):
            return answer
        return StoreFailed(_cause_of(answer), may_have_happened=True)

    def _get_snapshot(self, revision: int) -> Steps[Snapshot | Unsettled]:
        if revision == 0:
            return Snapshot()
        text = yield from self._get_text(snapshot_key(revision))
        if isinstance(text, Unsettled):
            return text
        return record_from_json(text, Snapshot)

    def _get_text(self, key: str) -> Steps[str | Unsettled]:
        found = yield from self.get(key)
        if isinstance(found, Unsettled):
            return found
        if found.value is None:
            return Unsettled(f'{key} is gone')
        return found.value

    def next_id(self) -> OperationId:
        """Name the next call."""
        return OperationId(f'{self._prefix}/{next(self._numbers)}')


class ConfigurationLoader(StoreDialogue[LoadOutcome]):
    """Reads a configuration, and its changes from a revision on."""

    def __init__(
        self,
        history_from: int | None = None,
        settings: StoreLayoutSettings | None = None,
        prefix: str = 'config-load',
    ) -> None:
        steps = StoreSteps(prefix, settings or StoreLayoutSettings())
        super().__init__(steps.load(history_from))

    @property
    def snapshot(self) -> Snapshot:
        """The configuration as read; the empty one before."""
        if isinstance(self.outcome, Loaded):
            return self.outcome.snapshot
        return Snapshot()

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes as read, oldest first."""
        if isinstance(self.outcome, Loaded):
            return self.outcome.changes
        return ()


class Committer(StoreDialogue[CommitOutcome]):
    """Brings one proposal to its outcome."""

    def __init__(
        self, proposal: Proposal, settings: StoreLayoutSettings | None = None
    ) -> None:
        self._settings = settings or StoreLayoutSettings()
        self._proposal = proposal
        self._store = StoreSteps(
            f'config-commit/{proposal.change_id}', self._settings
        )
        base = proposal.base_revision
        self._history_from = None if base is None else base + 1
        self._in_doubt = False
        super().__init__(self._commit())

    def _commit(self) -> Steps[CommitOutcome]:
        cause = ''
        for _ in range(self._settings.max_tries):
            loaded = yield from self._store.load(self._history_from)
            if isinstance(loaded, Unsettled):
                return Unsettled(loaded.cause, self._in_doubt)
            settled = self._settle(loaded)
            if settled is not None:
                return settled
            answer = yield from self._try(loaded)
            if isinstance(answer, StoreConflict):
                cause = 'other operators were first each time'
            elif isinstance(answer, StoreFailed):
                self._in_doubt = self._in_doubt or answer.may_have_happened
                cause = answer.cause
            else:
                return answer
        return Unsettled(cause, self._in_doubt)

    def _settle(self, loaded: Loaded) -> CommitOutcome | None:
        """Say what the present head makes of the proposal.

        A write whose answer was lost may have taken effect, so that writing
        again would make the change twice, under two revisions. The change
        id among all changes since the first read tells.
        """
        for change in loaded.changes:
            if change.change_id == self._proposal.change_id:
                return Committed(change)
        if self._history_from is None:
            self._history_from = loaded.head.revision + 1
        if _misses(loaded, self._history_from):
            return Unsettled('too many changes came between', self._in_doubt)
        base = self._proposal.base_revision
        if base is None or base == loaded.head.revision:
            return None
        since = [change for change in loaded.changes if change.revision > base]
        return Conflicted(loaded.head.revision, tuple(since))

    def _try(
        self, loaded: Loaded
    ) -> Steps[CommitOutcome | StoreConflict | StoreFailed]:
        change = self._change(loaded.head.revision + 1)
        problems = _problems(loaded.snapshot, change)
        if problems:
            return Rejected(problems)
        failed = yield from self._archive(loaded)
        if failed is not None:
            return StoreFailed(failed.cause, may_have_happened=False)
        head = self._next_head(loaded.head, change)
        answer = yield from self._store.swap(
            HEAD_KEY, record_to_json(head), loaded.head_store_revision
        )
        if isinstance(answer, StoreWritten):
            return Committed(change)
        return answer

    def _change(self, revision: int) -> Change:
        return Change(
            change_id=self._proposal.change_id,
            revision=revision,
            author=self._proposal.author,
            reason=self._proposal.reason,
            committed_wall_s=self._proposal.committed_wall_s,
            operations=self._proposal.operations,
        )

    def _archive(self, loaded: Loaded) -> Steps[Unsettled | None]:
        """Write under their own keys what the next head will not hold."""
        head = loaded.head
        kept = self._kept(head)
        for change in head.changes[: len(head.changes) - len(kept)]:
            failed = yield from self._store.create(
                change_key(change.revision), record_to_json(change)
            )
            if failed is not None:
                return failed
        if not self._cuts_snapshot(head):
            return None
        return (
            yield from self._store.create(
                snapshot_key(head.revision), record_to_json(loaded.snapshot)
            )
        )

    def _next_head(self, head: Head, change: Change) -> Head:
        cuts = self._cuts_snapshot(head)
        return Head(
            revision=change.revision,
            snapshot_revision=head.revision if cuts else head.snapshot_revision,
            changes=(*self._kept(head), change),
        )

    def _cuts_snapshot(self, head: Head) -> bool:
        since = head.revision - head.snapshot_revision
        kept = len(self._kept(head))
        return since >= self._settings.snapshot_every_changes or since > kept

    def _kept(self, head: Head) -> tuple[Change, ...]:
        return _newest(
            head.changes,
            self._settings.head_changes - 1,
            self._settings.head_bytes,
        )


def change_key(revision: int) -> str:
    """Name the key of a change."""
    return f'{CHANGE_PREFIX}{revision}'


def snapshot_key(revision: int) -> str:
    """Name the key of a snapshot."""
    return f'{SNAPSHOT_PREFIX}{revision}'


def read_head(item: StoreItem) -> Head:
    """Read the head; a store without one holds the empty configuration."""
    if item.value is None:
        return Head()
    return record_from_json(item.value, Head)


def _newest(
    changes: Sequence[Change], most_changes: int, most_bytes: int
) -> tuple[Change, ...]:
    kept: list[Change] = []
    size_bytes = 0
    for change in reversed(changes):
        size_bytes += len(record_to_json(change))
        if len(kept) >= most_changes or size_bytes > most_bytes:
            break
        kept.append(change)
    return tuple(reversed(kept))


def _misses(loaded: Loaded, history_from: int) -> bool:
    if history_from > loaded.head.revision:
        return False
    return not loaded.changes or loaded.changes[0].revision > history_from


def _problems(snapshot: Snapshot, change: Change) -> tuple[Problem, ...]:
    if len(record_to_json(change)) > MAX_CHANGE_BYTES:
        return (_too_large('the change', MAX_CHANGE_BYTES),)
    try:
        changed = apply_change(snapshot, change)
    except DandelionyokeError as wrong:
        return (Problem('change', wrong.problem, wrong.remedy),)
    problems = validate(changed)
    if len(record_to_json(changed)) > MAX_VALUE_BYTES:
        return (*problems, _too_large('the configuration', MAX_VALUE_BYTES))
    return problems


def _too_large(what: str, most_bytes: int) -> Problem:
    return Problem(
        what,
        f'{what} takes more than {most_bytes} bytes',
        'Split it, or remove what is no longer used',
    )


def _cause_of(answer: object) -> str:
    if isinstance(answer, StoreFailed):
        return answer.cause
    return f'the store answered with {type(answer).__name__}'
