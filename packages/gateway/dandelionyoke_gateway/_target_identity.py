"""Checks that a target is the process that the registry lists.

A target may start again under its id as another version, and the registry
lists that later. It takes longer to start than the time from its report to
the call.
"""

from dandelionyoke_dispatch import Cause, RegisteredTarget
from dandelionyoke_gateway._stream_call_state import (
    RetryableError,
    StreamCallState,
)


def check_identity(state: StreamCallState, target: RegisteredTarget) -> None:
    """Check the target of a stream that is bound to a version.

    Raises:
        RetryableError: it did not say who it is, or has started anew.
    """
    if state.context.version is None or target.started_ms is None:
        return
    deps, target_id = state.deps, target.target_id
    report = deps.engines.read_report(target)
    if report and report.started_ms in {None, target.started_ms}:
        return
    deps.log.decide(
        'target.replaced',
        target_id,
        outcome='started anew' if report else 'no report',
        started_ms=report.started_ms if report else None,
        listed_ms=target.started_ms,
    )
    if report:
        # Until the registry lists its new start.
        deps.knowledge.registry.mark_leaving(target_id, target.started_ms)
    state.tried_ids.add(target_id)
    raise RetryableError(Cause.NO_RETRY)
