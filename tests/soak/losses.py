"""Checks of whole requests whose connection ends without an answer."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.record import CallerCall, PlannedWork, SoakRecord

# Disturbances up to so long before a request excuse, at any node: its call
# may have been handed to another one. A target's silence excuses nothing.
CONTACT_S = 3.0
DISTURBANCES = frozenset(
    ('kill', 'pause', 'reach', 'target', 'peers', 'callers', 'store')
)
# A connection that ends sooner after the request may have crossed it, unless
# the request reached a target.
LOSS_SLACK_S = 0.2
APPLY_S = 2.0
GRACE_S = 8.0
# A node is watched for so long after its SIGTERM, or a configuration.
AFTER_S = 1.0
# The shortest time that a route gives a call, and the share from which on a
# call may be lost beside a configuration.
TIME_LIMIT_S = 3.6
USED_SHARE = 0.7
# Beside a configuration, a node loses calls this much more often.
LOSS_RATIO = 3
# Calls on kept connections that may end without a word.
KEPT_LOSSES = 3


def check_losses(record: SoakRecord) -> Iterator[str]:
    """Check that whole requests get a whole answer or a refusal."""
    reached = {arrival.attempt_id for arrival in record.arrivals}
    calls = [
        call
        for call in record.calls
        if 0 < call.ended_s < record.end_s and not is_disturbed(call, record)
    ]
    lost = [
        call
        for call in calls
        if not call.is_complete and not find_excuse(call, record, reached)
    ]
    yield from _check_signals(record, lost)
    yield from _check_configurations(record, calls, lost)
    yield from _check_kept_connections(record, lost, reached)


def is_disturbed(call: CallerCall, record: SoakRecord) -> bool:
    """Return whether a node or path was disturbed beside a call."""
    return any(
        span.kind in DISTURBANCES
        and span.overlaps(call.sent_s - CONTACT_S, call.ended_s)
        for span in record.spans
    )


def find_excuse(call: CallerCall, record: SoakRecord, reached: set[str]) -> str:
    """Name what excuses a call without a whole answer; empty if nothing."""
    took_s = call.ended_s - call.sent_s
    excuses = {
        'ended with the soak': not 0 < call.ended_s < record.end_s,
        'broken off by its caller': call.is_given_up,
        'not sent whole': not call.is_sent,
        'closed at once, reached no target': (
            call.attempt_id not in reached and took_s <= LOSS_SLACK_S
        ),
        'broken off by its target': call.attempt_id in record.broken_off,
        'at its time limit': took_s >= min(TIME_LIMIT_S, call.time_s),
        'a node or path was disturbed': is_disturbed(call, record),
    }
    return next((name for name, applies in excuses.items() if applies), '')


def find_paced_excuse(
    call: CallerCall, record: SoakRecord, reached: set[str]
) -> str:
    """Name what excuses a call under a paced load; empty if nothing.

    No disturbance excuses: silences of targets and standstills of nodes are
    shorter than a call's time, and a node that ends answers what it accepted.
    """
    took_s = call.ended_s - call.sent_s
    excuses = {
        'broken off by its caller': call.is_given_up,
        'not sent whole': not call.is_sent,
        'at its time limit': took_s >= min(TIME_LIMIT_S, call.time_s),
        'closed at once by a node that ends, reached no target': (
            call.attempt_id not in reached
            and call.status is None
            and took_s <= LOSS_SLACK_S
            and _is_leaving(call, record)
        ),
    }
    return next((name for name, applies in excuses.items() if applies), '')


def _check_signals(record: SoakRecord, lost: list[CallerCall]) -> Iterator[str]:
    for call in lost:
        for work in record.planned:
            if work.node == call.node and _is_beside_signal(call, work):
                yield _describe(call, work)
                break


def _is_beside_signal(call: CallerCall, work: PlannedWork) -> bool:
    since_s = call.ended_s - work.at_s
    if work.kind == 'reload':
        return since_s >= 0 and call.sent_s - work.at_s <= APPLY_S
    # No call sent in the first 3 s still has time in the last sixth of the
    # grace, in which it might be cut.
    return 0 <= since_s <= GRACE_S + AFTER_S


def _check_configurations(
    record: SoakRecord, calls: list[CallerCall], lost: list[CallerCall]
) -> Iterator[str]:
    works = [work for work in record.planned if work.kind == 'configuration']
    beside: dict[str, list[PlannedWork]] = defaultdict(list)
    for call in calls:
        for work in works:
            if 0 <= call.ended_s - work.at_s <= APPLY_S + AFTER_S:
                beside[call.attempt_id].append(work)
    for node in sorted({call.node for call in lost}):
        at_node = [call for call in calls if call.node == node]
        lost_at_node = [call for call in lost if call.node == node]
        inside = sum(call.attempt_id in beside for call in at_node)
        lost_inside = [
            call for call in lost_at_node if call.attempt_id in beside
        ]
        outside = len(at_node) - inside
        lost_outside = len(lost_at_node) - len(lost_inside)
        # Shares are compared; without calls at other times there is no share.
        if len(lost_inside) * outside <= LOSS_RATIO * lost_outside * inside:
            if outside:
                continue
        for call in lost_inside:
            if call.ended_s - call.sent_s < USED_SHARE * TIME_LIMIT_S:
                yield _describe(call, beside[call.attempt_id][-1])


def _check_kept_connections(
    record: SoakRecord, lost: list[CallerCall], reached: set[str]
) -> Iterator[str]:
    unanswered = [
        call
        for call in lost
        if call.status is None
        and call.is_on_kept_connection
        and call.attempt_id in reached
        and not _is_leaving(call, record)
    ]
    if len(unanswered) > KEPT_LOSSES:
        names = [call.attempt_id for call in unanswered]
        yield f'LOST {len(names)} calls on kept connections: {names}'


def _is_leaving(call: CallerCall, record: SoakRecord) -> bool:
    """Return whether a node was ended or started again beside a call."""
    lasts_s = GRACE_S + AFTER_S + CONTACT_S
    return any(
        work.kind == 'term'
        and work.node == call.node
        and 0 <= call.ended_s - work.at_s <= lasts_s
        for work in record.planned
    )


def _describe(call: CallerCall, work: PlannedWork) -> str:
    return (
        f'LOST {call.attempt_id}: {call.path} status {call.status} at '
        f'{call.node}, cut {call.ended_s - call.sent_s:.2f} s after it was '
        f'sent, {call.ended_s - work.at_s:.2f} s after {work.kind}'
    )
