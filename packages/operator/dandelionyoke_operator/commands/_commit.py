"""Commits a change and follows it until it is in force."""

from dandelionyoke_core import Conflicted, Loaded
from dandelionyoke_operator._difference import describe
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._reports import CommitReport, ConflictReport
from dandelionyoke_operator._repository import Intent
from dandelionyoke_operator._rollout import await_rollout
from dandelionyoke_operator._trail import merge_changes, read_trail


def commit(
    invocation: Invocation, platform: Platform, intent: Intent, loaded: Loaded
) -> CommitReport | ConflictReport:
    """Commit a change that was planned on a configuration as loaded."""
    if not intent.operations:
        return CommitReport(loaded.snapshot.revision, (), None)
    outcome = invocation.repository(platform).commit(intent)
    if isinstance(outcome, Conflicted):
        return _conflict(outcome, intent.base_revision or 0, loaded)
    revision = outcome.change.revision
    # Said before the wait: whoever breaks it off has to know that the
    # change is made, or they make it again.
    invocation.environment.stderr.write(
        f'Committed as revision {revision}; waiting for the entries.\n'
    )
    return CommitReport(
        revision=revision,
        differences=describe(intent.operations, loaded.snapshot),
        rollout=await_rollout(
            platform, revision, invocation.settings, invocation.environment
        ),
        change_id=outcome.change.change_id,
    )


def _conflict(
    conflict: Conflicted, base_revision: int, loaded: Loaded
) -> ConflictReport:
    trail = read_trail(merge_changes(loaded.changes, conflict.changes_since))
    return ConflictReport(
        base_revision=base_revision,
        present_revision=conflict.present_revision,
        changes_since=tuple(
            record for record in trail if record.revision > base_revision
        ),
    )
