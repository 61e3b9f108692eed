"""Plans, applies and undoes changes of the whole configuration."""

from dandelionyoke_core import difference
from dandelionyoke_operator._difference import describe
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._past import inverse
from dandelionyoke_operator._reports import (
    CommitReport,
    ConflictReport,
    PlanReport,
)
from dandelionyoke_operator._repository import Intent
from dandelionyoke_operator._wanted import refuse_withdrawn, wanted_snapshot
from dandelionyoke_operator.commands._commit import commit


def plan(invocation: Invocation) -> PlanReport:
    """Tell what a file would change."""
    file = invocation.configuration()
    repository = invocation.repository(invocation.platform())
    loaded = repository.load(invocation.limit)
    wanted = wanted_snapshot(file, loaded.snapshot)
    refuse_withdrawn(wanted, loaded)
    operations = difference(loaded.snapshot, wanted)
    return PlanReport(
        loaded.snapshot.revision, describe(operations, loaded.snapshot)
    )


def apply(invocation: Invocation) -> CommitReport | ConflictReport:
    """Make a file the configuration in force.

    A file is written against the revision that it was read at. When another
    change came since, the file does not hold it and would quietly undo it;
    the committer then refuses, and the operator gets to see that change.
    """
    file = invocation.configuration()
    platform = invocation.platform()
    loaded = invocation.repository(platform).load(invocation.limit)
    present = loaded.snapshot
    base = invocation.base_revision
    if base is None:
        base = file.base_revision
    if base is None:
        base = present.revision
    wanted = wanted_snapshot(file, present)
    if base == present.revision:
        refuse_withdrawn(wanted, loaded)
    intent = Intent(
        author=invocation.author,
        reason=invocation.reason,
        operations=difference(present, wanted),
        base_revision=base,
    )
    return commit(invocation, platform, intent, loaded)


def undo(invocation: Invocation) -> CommitReport | ConflictReport:
    """Undo one change by a new one."""
    revision = invocation.revision(invocation.argument('revision'), 'REVISION')
    platform = invocation.platform()
    loaded = invocation.repository(platform).load(invocation.limit)
    intent = Intent(
        author=invocation.author,
        reason=invocation.reason_or(f'undo revision {revision}'),
        operations=inverse(loaded, revision),
        base_revision=loaded.snapshot.revision,
    )
    return commit(invocation, platform, intent, loaded)
