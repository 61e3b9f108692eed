"""How a change gets into the configuration: once, and on what it was planned.

The compare-and-swap on the head is the commit point.
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
from dandelionyoke_core._store_dialogue import Steps, StoreDialogue
from dandelionyoke_core._store_layout import (
    HEAD_KEY,
    Head,
    Loaded,
    StoreLayoutSettings,
    StoreSteps,
    Unsettled,
    change_key,
    snapshot_key,
)

# The head holds the whole of the newest change, whatever its size, and has
# to fit into a value with it.
MAX_CHANGE_BYTES = 786_432
# A snapshot also travels between peers, in a frame with a little around it.
MAX_SNAPSHOT_BYTES = 983_040


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


CommitOutcome = Committed | Conflicted | Rejected | Unsettled


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
        if not isinstance(answer, StoreWritten):
            return answer
        unused = loaded.head.old_snapshot_revision
        if self._cuts_snapshot(loaded.head) and unused:
            yield from self._store.drop(snapshot_key(unused))
        return Committed(change)

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
        changes = (*self._kept(head), change)
        if not self._cuts_snapshot(head):
            return attrs.evolve(head, revision=change.revision, changes=changes)
        return Head(
            revision=change.revision,
            snapshot_revision=head.revision,
            old_snapshot_revision=head.snapshot_revision,
            changes=changes,
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
    if len(record_to_json(changed)) > MAX_SNAPSHOT_BYTES:
        return (*problems, _too_large('the configuration', MAX_SNAPSHOT_BYTES))
    return problems


def _too_large(what: str, most_bytes: int) -> Problem:
    return Problem(
        what,
        f'{what} takes more than {most_bytes} bytes',
        'Split it, or remove what is no longer used',
    )
