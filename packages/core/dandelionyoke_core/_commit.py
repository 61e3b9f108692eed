"""Committing a change to the configuration.

A change is committed at most once, and only on the revision that it was
planned on. The compare-and-swap on the head is the commit point.
"""

from collections.abc import Sequence

import attrs

from dandelionyoke_core._changes import Problem, apply_change, validate
from dandelionyoke_core._codec import record_to_json
from dandelionyoke_core._entities import Change, Operation, Snapshot
from dandelionyoke_core._errors import DandelionyokeError
from dandelionyoke_core._names import ChangeId
from dandelionyoke_core._records import (
    StoreConflict,
    StoreFailed,
    StoreWritten,
)
from dandelionyoke_core._store_layout import (
    HEAD_KEY,
    ConfigurationStore,
    Head,
    Loaded,
    StoreLayoutSettings,
    TaskFailed,
    change_key,
    snapshot_key,
)
from dandelionyoke_core._store_task import StoreGenerator, StoreTask

# The head contains the newest change in full, and both must fit into one
# store value.
MAX_CHANGE_BYTES = 786_432
# A snapshot is also sent between peers, in a frame with some overhead.
MAX_SNAPSHOT_BYTES = 983_040


@attrs.frozen
class Proposal:
    """A change that an operator wants to commit.

    `base_revision` is the revision that it was planned on; None means that
    it applies to any revision.
    """

    change_id: ChangeId
    base_revision: int | None
    author: str
    reason: str
    committed_wall_s: float
    operations: tuple[Operation, ...]


@attrs.frozen
class Committed:
    """The change was committed, now or by an earlier try."""

    change: Change


@attrs.frozen
class Conflicted:
    """The configuration has moved past the base revision; nothing changed."""

    present_revision: int
    changes_since: tuple[Change, ...]


@attrs.frozen
class Rejected:
    """The resulting configuration is invalid; nothing changed."""

    problems: tuple[Problem, ...]


CommitOutcome = Committed | Conflicted | Rejected | TaskFailed


class Committer(StoreTask[CommitOutcome]):
    """The store task that commits one proposal."""

    def __init__(
        self, proposal: Proposal, settings: StoreLayoutSettings | None = None
    ) -> None:
        self._settings = settings or StoreLayoutSettings()
        self._proposal = proposal
        self._store = ConfigurationStore(
            f'config-commit/{proposal.change_id}', self._settings
        )
        base = proposal.base_revision
        self._history_from = None if base is None else base + 1
        self._in_doubt = False
        super().__init__(self._commit())

    def _commit(self) -> StoreGenerator[CommitOutcome]:
        cause = ''
        for _ in range(self._settings.max_tries):
            loaded = yield from self._store.load(self._history_from)
            if isinstance(loaded, TaskFailed):
                return TaskFailed(loaded.cause, self._in_doubt)
            outcome = self._check_head(loaded)
            if outcome is not None:
                return outcome
            answer = yield from self._attempt(loaded)
            if isinstance(answer, StoreConflict):
                cause = 'other changes were committed first on every try'
            elif isinstance(answer, StoreFailed):
                self._in_doubt = self._in_doubt or answer.may_have_been_applied
                cause = answer.cause
            else:
                return answer
        return TaskFailed(cause, self._in_doubt)

    def _check_head(self, loaded: Loaded) -> CommitOutcome | None:
        """Return the outcome that the head determines; None to write.

        A write whose answer was lost may have succeeded, and writing again
        would commit the change twice, under two revisions. So the change id
        is looked up among all changes since the first read.
        """
        for change in loaded.changes:
            if change.change_id == self._proposal.change_id:
                return Committed(change)
        if self._history_from is None:
            self._history_from = loaded.head.revision + 1
        if _has_gap(loaded, self._history_from):
            return TaskFailed(
                'too many changes were committed meanwhile', self._in_doubt
            )
        base = self._proposal.base_revision
        if base is None or base == loaded.head.revision:
            return None
        since = [change for change in loaded.changes if change.revision > base]
        return Conflicted(loaded.head.revision, tuple(since))

    def _attempt(
        self, loaded: Loaded
    ) -> StoreGenerator[CommitOutcome | StoreConflict | StoreFailed]:
        change = self._make_change(loaded.head.revision + 1)
        problems = _problems(loaded.snapshot, change)
        if problems:
            return Rejected(problems)
        failed = yield from self._archive(loaded)
        if failed is not None:
            return StoreFailed(failed.cause, may_have_been_applied=False)
        head = self._next_head(loaded.head, change)
        answer = yield from self._store.compare_and_swap(
            HEAD_KEY, record_to_json(head), loaded.head_store_revision
        )
        if not isinstance(answer, StoreWritten):
            return answer
        unused_revision = loaded.head.old_snapshot_revision
        if self._needs_snapshot(loaded.head) and unused_revision:
            yield from self._store.delete(snapshot_key(unused_revision))
        return Committed(change)

    def _make_change(self, revision: int) -> Change:
        return Change(
            change_id=self._proposal.change_id,
            revision=revision,
            author=self._proposal.author,
            reason=self._proposal.reason,
            committed_wall_s=self._proposal.committed_wall_s,
            operations=self._proposal.operations,
        )

    def _archive(self, loaded: Loaded) -> StoreGenerator[TaskFailed | None]:
        """Write what the next head omits under separate, immutable keys."""
        head = loaded.head
        kept_changes = self._kept_changes(head)
        for change in head.changes[: len(head.changes) - len(kept_changes)]:
            failed = yield from self._store.create(
                change_key(change.revision), record_to_json(change)
            )
            if failed is not None:
                return failed
        if not self._needs_snapshot(head):
            return None
        return (
            yield from self._store.create(
                snapshot_key(head.revision), record_to_json(loaded.snapshot)
            )
        )

    def _next_head(self, head: Head, change: Change) -> Head:
        changes = (*self._kept_changes(head), change)
        if not self._needs_snapshot(head):
            return attrs.evolve(head, revision=change.revision, changes=changes)
        return Head(
            revision=change.revision,
            snapshot_revision=head.revision,
            old_snapshot_revision=head.snapshot_revision,
            changes=changes,
        )

    def _needs_snapshot(self, head: Head) -> bool:
        since = head.revision - head.snapshot_revision
        kept_count = len(self._kept_changes(head))
        return (
            since >= self._settings.snapshot_every_changes or since > kept_count
        )

    def _kept_changes(self, head: Head) -> tuple[Change, ...]:
        return _newest_within(
            head.changes,
            self._settings.head_changes - 1,
            self._settings.head_bytes,
        )


def _newest_within(
    changes: Sequence[Change], max_changes: int, max_bytes: int
) -> tuple[Change, ...]:
    kept_changes: list[Change] = []
    size_bytes = 0
    for change in reversed(changes):
        size_bytes += len(record_to_json(change))
        if len(kept_changes) >= max_changes or size_bytes > max_bytes:
            break
        kept_changes.append(change)
    return tuple(reversed(kept_changes))


def _has_gap(loaded: Loaded, history_from: int) -> bool:
    if history_from > loaded.head.revision:
        return False
    return not loaded.changes or loaded.changes[0].revision > history_from


def _problems(snapshot: Snapshot, change: Change) -> tuple[Problem, ...]:
    if len(record_to_json(change)) > MAX_CHANGE_BYTES:
        return (_too_large_problem('the change', MAX_CHANGE_BYTES),)
    try:
        new_snapshot = apply_change(snapshot, change)
    except DandelionyokeError as error:
        return (Problem('change', error.problem, error.remedy),)
    problems = validate(new_snapshot)
    if len(record_to_json(new_snapshot)) > MAX_SNAPSHOT_BYTES:
        return (
            *problems,
            _too_large_problem('the configuration', MAX_SNAPSHOT_BYTES),
        )
    return problems


def _too_large_problem(subject: str, max_bytes: int) -> Problem:
    return Problem(
        subject,
        f'{subject} takes more than {max_bytes} bytes',
        'Split it, or remove what is no longer used',
    )
