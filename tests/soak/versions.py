"""Checks of streams whose engines have several versions."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.events import event_versions
from tests.soak.record import RESUME, CallerCall, SoakRecord

# So many streams may have events of two versions.
MIXED_STREAMS = 2
# Of at least so many streams that are taken up while so many engines of their
# version serve, this share of the share of new streams that begin goes on.
TAKEN_UP_STREAMS = 12
SERVING_ENGINES = 2
GOES_ON_SHARE = 0.5
STATUS_DENIED = 401


def check_versions(record: SoakRecord) -> Iterator[str]:
    """Check that streams go on, and at the version that began them only."""
    streams: dict[str, list[CallerCall]] = defaultdict(list)
    for call in record.calls:
        if call.is_stream:
            streams[call.resumes or call.attempt_id].append(call)
    mixed = [
        attempt_id for attempt_id, calls in streams.items() if _is_mixed(calls)
    ]
    if len(mixed) > MIXED_STREAMS:
        in_one_answer = sum(
            any(_is_mixed([call]) for call in streams[attempt_id])
            for attempt_id in mixed
        )
        yield (
            f'ORDER {len(mixed)} streams with events of two versions, '
            f'{in_one_answer} in one answer: {mixed[:5]}'
        )
    yield from _check_share(streams)


def _is_mixed(calls: list[CallerCall]) -> bool:
    return (
        len({name for call in calls for name in event_versions(call.body)}) > 1
    )


def _check_share(streams: dict[str, list[CallerCall]]) -> Iterator[str]:
    taken_up = [
        tries
        for calls in streams.values()
        if (tries := [call for call in calls if _is_taken_up(call)])
    ]
    new = [
        call
        for calls in streams.values()
        for call in calls
        if call.path == RESUME
        and not call.resumes
        # Others had no node that answers, or no key.
        and call.status not in {None, STATUS_DENIED}
    ]
    if len(taken_up) < TAKEN_UP_STREAMS or not new:
        return
    gone_on = sum(
        any(event_versions(call.body) for call in tries) for tries in taken_up
    )
    begun = sum(bool(event_versions(call.body)) for call in new)
    if gone_on / len(taken_up) < GOES_ON_SHARE * begun / len(new):
        yield (
            f'LOST {gone_on} of {len(taken_up)} streams that were taken up '
            f'went on, {begun} of {len(new)} new ones began'
        )


def _is_taken_up(call: CallerCall) -> bool:
    return bool(call.resumes) and call.serving >= SERVING_ENGINES
