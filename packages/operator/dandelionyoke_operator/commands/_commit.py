"""Commits a change and follows it until it is in force."""

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
    intent: ChangeRequest,
    before: Snapshot,
) -> CommitReport | ConflictReport:
    """Commit a change that was planned on a snapshot."""
    if not intent.operations:
        return CommitReport(before.revision, (), None)
    repository = invocation.repository(platform)
    outcome = repository.commit(intent)
    if isinstance(outcome, Conflicted):
        earlier = _load_history(repository, invocation.limit)
        return _conflict(outcome, intent.base_revision or 0, earlier)
    revision = outcome.change.revision
    # Said before the wait: whoever breaks it off has to know that the
    # change is made, or they make it again.
    invocation.environment.stderr.write(
        f'Committed as revision {revision}; waiting for the entries.\n'
    )
    return CommitReport(
        revision=revision,
        differences=describe(intent.operations, before),
        rollout=await_rollout(
            platform, revision, invocation.settings, invocation.environment
        ),
        change_id=outcome.change.change_id,
    )


def _load_history(repository: Repository, limit: int) -> tuple[Change, ...]:
    """Read what tells what the conflicting changes replaced, if it can be."""
    with contextlib.suppress(UnavailableError):
        return repository.load(limit).changes
    return ()


def _conflict(
    conflict: Conflicted, base_revision: int, earlier: tuple[Change, ...]
) -> ConflictReport:
    trail = replay_changes(merge_changes(earlier, conflict.changes_since))
    return ConflictReport(
        base_revision=base_revision,
        present_revision=conflict.present_revision,
        changes_since=tuple(
            record
            for record in trail
            if base_revision < record.revision <= conflict.present_revision
        ),
    )
