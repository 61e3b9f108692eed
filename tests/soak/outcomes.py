"""What callers got, by part of the soak, and what LOST excused."""

from collections import Counter
from collections.abc import Iterator

from tests.soak.losses import find_excuse, find_paced_excuse, is_disturbed
from tests.soak.record import PACED, CallerCall, Part, SoakRecord

SERVED = 'served whole'
GIVEN_UP = 'broken off by the caller'
UNEXCUSED = 'without an excuse'
STATUS_OK = 200


def describe_outcomes(record: SoakRecord) -> Iterator[str]:
    """Describe what the requests of each part got, and what excuses them."""
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
        yield from _describe_losses(part, calls, record, reached)


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
) -> Iterator[str]:
    is_paced = part.name == PACED
    find = find_paced_excuse if is_paced else find_excuse
    seen = sum(is_paced or not is_disturbed(call, record) for call in calls)
    cases = [call for call in calls if not call.is_complete]
    excuses = {call.attempt_id: find(call, record, reached) for call in cases}
    counts = Counter(excuse or UNEXCUSED for excuse in excuses.values())
    yield (
        f'{part.name}, LOST: {seen} of {len(calls)} requests looked '
        f'at; {len(cases)} without a whole answer: '
        f'{_describe(counts) or "none"}'
    )
    for call in cases:
        if not excuses[call.attempt_id]:
            yield (
                f'{part.name}, {UNEXCUSED}: {call.attempt_id} {call.path} '
                f'status {call.status} sent at '
                f'{call.sent_s - record.start_s:+.2f} s, cut after '
                f'{call.ended_s - call.sent_s:.2f} s'
            )


def _describe(counts: Counter[str]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counts.most_common())
