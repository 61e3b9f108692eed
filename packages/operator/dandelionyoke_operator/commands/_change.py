"""Commands that plan, apply and undo changes of the configuration."""

from dandelionyoke_core import Snapshot, diff_snapshots
from dandelionyoke_operator._configuration import Configuration
from dandelionyoke_operator._desired import (
    desired_snapshot,
    reject_withdrawn_keys,
)
from dandelionyoke_operator._difference import describe
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._reports import (
    CommitReport,
    ConflictReport,
    PlanReport,
)
from dandelionyoke_operator._repository import ChangeRequest, Repository
from dandelionyoke_operator._undo import inverse_operations
from dandelionyoke_operator.commands._commit import commit


def plan(invocation: Invocation) -> PlanReport:
    """Report what a file would change."""
    file = invocation.configuration()
    repository = invocation.repository(invocation.platform())
    current = repository.load().snapshot
    desired = desired_snapshot(file, current)
    _reject_withdrawn_keys(invocation, repository, desired, current)
    operations = diff_snapshots(current, desired)
    return PlanReport(
        base_revision=current.revision,
        differences=describe(operations, current),
        file_revision=file.base_revision,
    )


def apply(invocation: Invocation) -> CommitReport | ConflictReport:
    """Commit a file as the configuration in force.

    A file is based on the revision that it was read at. If another change
    was committed since, the file does not contain it and would silently undo
    it. The committer then reports a conflict with that change.
    """
    file = invocation.configuration()
    platform = invocation.platform()
    repository = invocation.repository(platform)
    current = repository.load().snapshot
    base_revision = _base_revision(invocation, file, current)
    desired = desired_snapshot(file, current)
    if base_revision == current.revision:
        _reject_withdrawn_keys(invocation, repository, desired, current)
    change = ChangeRequest(
        author=invocation.author,
        reason=invocation.reason,
        operations=diff_snapshots(current, desired),
        base_revision=base_revision,
    )
    return commit(invocation, platform, change, current)


def undo(invocation: Invocation) -> CommitReport | ConflictReport:
    """Undo one change by committing its inverse."""
    revision = invocation.revision()
    platform = invocation.platform()
    loaded = invocation.repository(platform).load(invocation.limit)
    change = ChangeRequest(
        author=invocation.author,
        reason=invocation.reason_or_default(f'undo revision {revision}'),
        operations=inverse_operations(loaded, revision),
        base_revision=loaded.snapshot.revision,
    )
    return commit(invocation, platform, change, loaded.snapshot)


def _base_revision(
    invocation: Invocation, file: Configuration, current: Snapshot
) -> int:
    for base_revision in (invocation.base_revision, file.base_revision):
        if base_revision is not None:
            return base_revision
    return current.revision


def _reject_withdrawn_keys(
    invocation: Invocation,
    repository: Repository,
    desired: Snapshot,
    current: Snapshot,
) -> None:
    """Reject withdrawn keys; read the audit trail only if a file adds keys."""
    added_keys = desired.keys.keys() - current.keys
    if added_keys:
        loaded = repository.load(invocation.limit)
        reject_withdrawn_keys(added_keys, loaded.changes)
