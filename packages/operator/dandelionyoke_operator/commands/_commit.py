"""Commits a change and waits until it is in force."""

import contextlib

from dandelionyoke_core import Change, Conflicted, Snapshot
from dandelionyoke_operator._audit_trail import merge_changes, replay_changes
from dandelionyoke_operator._difference import describe
from dandelionyoke_operator._errors import UnavailableError
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._reports import CommitReport, ConflictReport
from dandelionyoke_operator._repository import ChangeRequest, Repository
from dandelionyoke_operator._rollout import await_rollout


def commit(
    invocation: Invocation,
    platform: Platform,
    change_request: ChangeRequest,
    before: Snapshot,
) -> CommitReport | ConflictReport:
    """Commit a change that was planned on the snapshot `before`."""
    if not change_request.operations:
        return CommitReport(before.revision, (), None)
    repository = invocation.repository(platform)
    outcome = repository.commit(change_request)
    if isinstance(outcome, Conflicted):
        history = _load_history(repository, invocation.limit)
        return _conflict(outcome, change_request.base_revision or 0, history)
    revision = outcome.change.revision
    # Print this before the wait: an operator who interrupts the wait must
    # know that the change is committed, to avoid making it again.
    invocation.environment.stderr.write(
        f'Committed as revision {revision}; waiting for the entries.\n'
    )
    return CommitReport(
        revision=revision,
        differences=describe(change_request.operations, before),
        rollout=await_rollout(
            platform, revision, invocation.settings, invocation.environment
        ),
        change_id=outcome.change.change_id,
    )


def _load_history(repository: Repository, limit: int) -> tuple[Change, ...]:
    """Read the history before the conflicting changes, if the store answers."""
    with contextlib.suppress(UnavailableError):
        return repository.load(limit).changes
    return ()


def _conflict(
    conflict: Conflicted, base_revision: int, history: tuple[Change, ...]
) -> ConflictReport:
    records = replay_changes(merge_changes(history, conflict.changes_since))
    return ConflictReport(
        base_revision=base_revision,
        present_revision=conflict.present_revision,
        changes_since=tuple(
            record
            for record in records
            if base_revision < record.revision <= conflict.present_revision
        ),
    )
