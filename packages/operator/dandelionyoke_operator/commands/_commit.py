"""Commits a change and follows it until it is in force."""

from dandelionyoke_core import Conflicted, Snapshot
from dandelionyoke_operator._difference import describe
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._reports import (
    ChangeRecord,
    CommitReport,
    ConflictReport,
)
from dandelionyoke_operator._repository import Intent
from dandelionyoke_operator._rollout import await_rollout


def commit(
    invocation: Invocation,
    platform: Platform,
    intent: Intent,
    before: Snapshot,
) -> CommitReport | ConflictReport:
    """Commit a change that was planned against a snapshot."""
    if not intent.operations:
        return CommitReport(before.revision, (), None)
    outcome = invocation.repository(platform).commit(intent)
    if isinstance(outcome, Conflicted):
        return conflict_report(outcome, intent.base_revision or 0)
    rollout = await_rollout(
        platform,
        outcome.change.revision,
        invocation.settings,
        invocation.environment,
    )
    return CommitReport(
        revision=outcome.change.revision,
        differences=describe(intent.operations, before),
        rollout=rollout,
        change_id=outcome.change.change_id,
    )


def conflict_report(conflict: Conflicted, base_revision: int) -> ConflictReport:
    """Show what came between."""
    return ConflictReport(
        base_revision=base_revision,
        present_revision=conflict.present_revision,
        changes_since=tuple(map(ChangeRecord.of, conflict.changes_since)),
    )
