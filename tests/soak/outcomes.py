"""What callers got, by part of the soak, and what LOST excused."""

from collections import Counter
from collections.abc import Iterator

from tests.soak.losses import find_excuse, is_disturbed
from tests.soak.record import CallerCall, Part, SoakRecord

SERVED = 'served whole'
GIVEN_UP = 'broken off by the caller'
STATUS_OK = 200


def describe_outcomes(record: SoakRecord) -> Iterator[str]:
    """Describe what the requests of each part got, in two lines each."""
    reached = {arrival.attempt_id for arrival in record.arrivals}
    for part in record.parts:
        calls = [call for call in record.calls if part.has(call.sent_s)]
        refused = sum(map(part.has, record.refused_connections_s))
        outcomes = Counter(find_outcome(call, reached) for call in calls)
        yield (
            f'{part.name}: {len(calls)} requests in '
            f'{part.end_s - part.start_s:.1f} s: {_describe(outcomes)}; '
            f'{refused} connections refused'
        )
        yield _describe_losses(part, calls, record, reached)


def find_outcome(call: CallerCall, reached: set[str]) -> str:
    """Name what the caller of a request got."""
    if call.is_given_up:
        return GIVEN_UP
    if call.status is None:
        if not call.is_sent:
            return 'not sent whole'
        place = 'at' if call.attempt_id in reached else 'before'
        return f'closed without an answer {place} a target'
    if not call.is_complete:
        return f'{call.status} cut'
    return SERVED if call.status == STATUS_OK else str(call.status)


def _describe_losses(
    part: Part, calls: list[CallerCall], record: SoakRecord, reached: set[str]
) -> str:
    undisturbed = sum(not is_disturbed(call, record) for call in calls)
    cases = [call for call in calls if not call.is_complete]
    excuses = Counter(
        find_excuse(call, record, reached) or 'without an excuse'
        for call in cases
    )
    return (
        f'{part.name}, LOST: {undisturbed} of {len(calls)} requests in '
        f'undisturbed time; {len(cases)} without a whole answer: '
        f'{_describe(excuses) or "none"}'
    )


def _describe(counts: Counter[str]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counts.most_common())
