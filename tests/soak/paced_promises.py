"""Checks of the part of a soak in which all requests can be served."""

from collections import Counter
from collections.abc import Iterator

from tests.soak.losses import find_paced_excuse
from tests.soak.outcomes import GIVEN_UP, SERVED, find_outcome
from tests.soak.record import PACED, CallerCall, SoakRecord

SERVED_SHARE = 0.95
# A share of fewer requests shows nothing.
MIN_CALLS = 100


def check_paced(record: SoakRecord) -> Iterator[str]:
    """Check that nearly all is served, and that nothing is lost."""
    reached = {arrival.attempt_id for arrival in record.arrivals}
    for part in record.parts:
        if part.name != PACED:
            continue
        calls = [call for call in record.calls if part.has(call.sent_s)]
        for call in calls:
            is_cut = not call.is_complete
            if is_cut and not find_paced_excuse(call, record, reached):
                yield _describe(call, record)
        yield from _check_share(calls, reached)


def _check_share(calls: list[CallerCall], reached: set[str]) -> Iterator[str]:
    outcomes = Counter(find_outcome(call, reached) for call in calls)
    served = outcomes[SERVED] + outcomes[GIVEN_UP]
    if served < SERVED_SHARE * len(calls) or len(calls) < MIN_CALLS:
        yield (
            f'SERVED {served} of {len(calls)} under a paced load: '
            f'{dict(outcomes.most_common())}'
        )


def _describe(call: CallerCall, record: SoakRecord) -> str:
    beside = ', '.join(
        f'{span.kind} {span.node} {span.start_s - call.sent_s:+.2f} to '
        f'{span.end_s - call.sent_s:+.2f} s'
        for span in record.spans
        if span.overlaps(call.sent_s, call.ended_s)
    )
    return (
        f'LOST {call.attempt_id}: {call.path} status {call.status} at '
        f'{call.node}, cut {call.ended_s - call.sent_s:.2f} s after it was '
        f'sent at {call.sent_s - record.start_s:+.2f} s under a paced load; '
        f'beside it: {beside or "nothing"}'
    )
