"""Plans, applies and undoes changes of the whole configuration."""

from dandelionyoke_core import Snapshot, difference
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
    """Tell what a file would change."""
    file = invocation.configuration()
    repository = invocation.repository(invocation.platform())
    present = repository.load().snapshot
    wanted = desired_snapshot(file, present)
    _reject_withdrawn_keys(invocation, repository, wanted, present)
    operations = difference(present, wanted)
    return PlanReport(
        base_revision=present.revision,
        differences=describe(operations, present),
        file_revision=file.base_revision,
    )


def apply(invocation: Invocation) -> CommitReport | ConflictReport:
    """Make a file the configuration in force.

    A file is written against the revision that it was read at. When another
    change came since, the file does not hold it and would quietly undo it;
    the committer then refuses, and the operator gets to see that change.
    """
    file = invocation.configuration()
    platform = invocation.platform()
    repository = invocation.repository(platform)
    present = repository.load().snapshot
    base = _base_revision(invocation, file, present)
    wanted = desired_snapshot(file, present)
    if base == present.revision:
        _reject_withdrawn_keys(invocation, repository, wanted, present)
    intent = ChangeRequest(
        author=invocation.author,
        reason=invocation.reason,
        operations=difference(present, wanted),
        base_revision=base,
    )
    return commit(invocation, platform, intent, present)


def undo(invocation: Invocation) -> CommitReport | ConflictReport:
    """Undo one change by a new one."""
    revision = invocation.revision()
    platform = invocation.platform()
    loaded = invocation.repository(platform).load(invocation.limit)
    intent = ChangeRequest(
        author=invocation.author,
        reason=invocation.reason_or_default(f'undo revision {revision}'),
        operations=inverse_operations(loaded, revision),
        base_revision=loaded.snapshot.revision,
    )
    return commit(invocation, platform, intent, loaded.snapshot)


def _base_revision(
    invocation: Invocation, file: Configuration, present: Snapshot
) -> int:
    for base in (invocation.base_revision, file.base_revision):
        if base is not None:
            return base
    return present.revision


def _reject_withdrawn_keys(
    invocation: Invocation,
    repository: Repository,
    wanted: Snapshot,
    present: Snapshot,
) -> None:
    """Read the audit trail only where a file brings a key."""
    brought = wanted.keys.keys() - present.keys
    if brought:
        loaded = repository.load(invocation.limit)
        reject_withdrawn_keys(brought, loaded.changes)
