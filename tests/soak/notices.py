"""Checks of what targets say of themselves, and of the retries they get."""

import bisect
from collections import defaultdict
from collections.abc import Iterator

from tests.soak.record import (
    SERVICES,
    Arrival,
    CallerCall,
    RestAsked,
    SoakRecord,
)

# A call sent so long after its node has passed on an answer that says so does
# not reach a target that leaves.
MAX_DRAIN_S = 2.0
# From so long after its refusal to the end of the rest that it asked for, a
# target gets at most so many requests from a node.
REST_NOTICE_S = 0.5
REST_REQUESTS = 2
# In any window a service gets at most so many requests beyond the first of
# each call: a share of its calls, and some more. Calls of the window, of the
# one before, or of the one half a window before count.
RETRY_WINDOW_S = 10.0
RETRY_SHARE = 0.2
RETRY_EXTRA = 50
# Faults at a node, or on its paths, after which another one may send its
# calls, or after which it knows nothing of before.
DISTURBANCES = frozenset(
    ('kill', 'pause', 'term', 'reach', 'target', 'held', 'peers', 'callers')
)
EFFECT_S = 3.0


def check_notices(record: SoakRecord) -> Iterator[str]:
    """Check that nodes heed what targets say of themselves."""
    calls = {call.attempt_id: call for call in record.calls}
    by_target: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        by_target[arrival.target_id].append(arrival)
    yield from _check_leaving(record, calls, by_target)
    for rest in record.rests:
        yield from _check_rest(record, calls, by_target, rest)


def _check_leaving(
    record: SoakRecord,
    calls: dict[str, CallerCall],
    by_target: dict[str, list[Arrival]],
) -> Iterator[str]:
    for leaving in record.leavings:
        told_s: dict[str, float] = {}
        for run in record.runs:
            call = calls.get(run.attempt_id)
            is_told = call is not None and call.is_leaving_told
            if run.target_id == leaving.target_id and is_told:
                if leaving.start_s <= call.ended_s <= leaving.end_s:
                    earliest_s = told_s.get(call.node, call.ended_s)
                    told_s[call.node] = min(earliest_s, call.ended_s)
        for arrival in by_target[leaving.target_id]:
            call = calls.get(arrival.attempt_id)
            if call is None or call.node not in told_s:
                continue
            since_s = told_s[call.node]
            is_late = call.sent_s > since_s + MAX_DRAIN_S
            is_leaving = arrival.at_s <= leaving.end_s
            if is_late and is_leaving:
                if not _is_disturbed(record, since_s, arrival.at_s):
                    yield (
                        f'DRAIN {arrival.attempt_id}: reached '
                        f'{leaving.target_id} from {call.node}, which knew '
                        f'for {call.sent_s - since_s:.2f} s that it leaves'
                    )


def _check_rest(
    record: SoakRecord,
    calls: dict[str, CallerCall],
    by_target: dict[str, list[Arrival]],
    rest: RestAsked,
) -> Iterator[str]:
    asked = calls.get(rest.attempt_id)
    if asked is None:
        return
    end_s = rest.at_s + rest.rest_s
    count = sum(
        rest.at_s + REST_NOTICE_S <= arrival.at_s <= end_s
        and arrival.attempt_id in calls
        and calls[arrival.attempt_id].node == asked.node
        for arrival in by_target[rest.target_id]
    )
    if count > REST_REQUESTS and not _is_disturbed(record, rest.at_s, end_s):
        yield (
            f'BUDGET {rest.target_id}: {count} requests from {asked.node} '
            f'within {rest.rest_s} s of rest'
        )


def _is_disturbed(record: SoakRecord, start_s: float, end_s: float) -> bool:
    return any(
        span.kind in DISTURBANCES and span.overlaps(start_s - EFFECT_S, end_s)
        for span in record.spans
    )


def check_retries(record: SoakRecord) -> Iterator[str]:
    """Check what each service gets beyond the first request of each call."""
    repeats_s: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    prefilled: set[str] = set()
    for arrival in sorted(record.arrivals, key=lambda item: item.at_s):
        attempt_id = arrival.attempt_id
        if not attempt_id:
            # A report, an order or the release of a KV cache.
            continue
        if arrival.is_free and attempt_id not in prefilled:
            prefilled.add(attempt_id)
        elif attempt_id in seen:
            repeats_s[arrival.service].append(arrival.at_s)
        else:
            seen.add(attempt_id)
    for service, times_s in repeats_s.items():
        yield from _check_service(record, service, times_s)


def _check_service(
    record: SoakRecord, service: str, times_s: list[float]
) -> Iterator[str]:
    sent_s = sorted(
        call.sent_s for call in record.calls if service in SERVICES[call.path]
    )
    for start_s in times_s:
        calls = max(
            _count(sent_s, start_s - back_s)
            for back_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        )
        allowed = RETRY_SHARE * calls + RETRY_EXTRA
        if _count(times_s, start_s) > allowed:
            yield (
                f'BUDGET {service}: {_count(times_s, start_s)} repeats in '
                f'{RETRY_WINDOW_S:g} s for {calls} calls'
            )
            return


def _count(times_s: list[float], start_s: float) -> int:
    end_s = start_s + RETRY_WINDOW_S
    return bisect.bisect(times_s, end_s) - bisect.bisect_left(times_s, start_s)
