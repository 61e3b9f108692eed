"""The promises of the users' pages, checked from outside the programs."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from tests.soak.record import (
    CONFIRM,
    RESUME,
    CallerCall,
    Run,
    SoakRecord,
    UsageReport,
)

# Bounds of the installation that the soak plays.
REVOCATION_S = 5.0
DRAIN_S = 2.0
TURN_S = 3.0
CONTACT_S = 3.0
ROUTE_TIMEOUT_S = 4.0
ANSWER_SLACK_S = 0.8
THAW_SLACK_S = 0.3
EVENTS = 6
NOT_RUN = frozenset((408, 421, 429, 503))
SUCCESS = 200


def find_broken(record: SoakRecord) -> list[str]:
    """List each promise that was broken, with what shows it."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs[run.attempt_id].append(run)
    found: list[str] = []
    for call in record.calls:
        found.extend(_broken_by_call(call, runs[call.attempt_id], record))
    found.extend(_broken_runs(record, runs))
    found.extend(_broken_usage(record))
    found.extend(f'RECOVER {node}' for node in record.unrecovered)
    found.extend(f'EXIT {text}' for text in record.exits)
    return found


def _broken_by_call(
    call: CallerCall, runs: list[Run], record: SoakRecord
) -> Iterator[str]:
    tried = len(runs)
    if call.path == CONFIRM and tried > 1:
        yield f'TWICE {call.attempt_id}: {tried} runs'
    if call.path not in {CONFIRM, RESUME} and call.is_stream and tried > 1:
        yield f'TWICE {call.attempt_id}: {tried} runs of a stream'
    if call.status in NOT_RUN and tried and call.path != '/look/':
        yield f'REFUSED {call.attempt_id}: {call.status} although it ran'
    if call.status == SUCCESS and call.is_whole:
        yield from _broken_answer(call)
    if call.status in {400, 401, 403, 404}:
        yield from _broken_denial(call, record)
    yield from _broken_patience(call, record)


def _broken_answer(call: CallerCall) -> Iterator[str]:
    if not call.is_signed or call.attempt_told != call.attempt_id:
        yield f'MIXED {call.attempt_id}: answer to {call.attempt_told!r}'
    if call.is_stream:
        wanted = b''.join(
            event_of(call.attempt_id, number) for number in range(1, EVENTS + 1)
        )
        if call.body != wanted:
            yield f'ORDER {call.attempt_id}: {call.body!r}'
    elif call.body != body_of(call.attempt_id):
        yield f'MIXED {call.attempt_id}: {call.body!r}'


def _broken_denial(call: CallerCall, record: SoakRecord) -> Iterator[str]:
    taken_s, given_s = record.withdrawn.get(call.organisation, (0.0, 0.0))
    may_be_withdrawn = taken_s and (
        call.ended_s >= taken_s - 0.1 and call.sent_s < given_s + REVOCATION_S
    )
    if not may_be_withdrawn:
        yield f'DENIED {call.attempt_id}: {call.status} at {call.node}'


def _broken_patience(call: CallerCall, record: SoakRecord) -> Iterator[str]:
    """No call waits much longer than its route allows.

    One whose node stood still, or whose connection was harmed, cannot be
    answered in time.
    """
    took_s = call.ended_s - call.sent_s
    is_harmed = any(
        span.touches(call.sent_s - CONTACT_S, call.ended_s, call.node)
        and span.kind in {'pause', 'callers', 'kill'}
        for span in record.spans
    )
    if took_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S and not is_harmed:
        yield f'CONFIG {call.attempt_id}: took {took_s:.2f} s at {call.node}'


def _broken_runs(
    record: SoakRecord, runs: dict[str, list[Run]]
) -> Iterator[str]:
    known = {call.attempt_id: call for call in record.calls}
    for run in record.runs:
        call = known.get(run.attempt_id)
        if call is None:
            yield f'UNASKED {run.attempt_id} at {run.target_id}'
            continue
        if run.had_key or run.organisation != call.organisation:
            yield f'UNASKED {run.attempt_id}: ran for {run.organisation!r}'
        taken_s, given_s = record.withdrawn.get(run.organisation, (0.0, 0.0))
        if taken_s and taken_s + REVOCATION_S < call.sent_s < given_s:
            yield f'CONFIG {run.attempt_id}: ran after its key was withdrawn'
        yield from _broken_drain(run, record)


def _broken_drain(run: Run, record: SoakRecord) -> Iterator[str]:
    said_s = record.leaving.get(run.target_id)
    if said_s is None or run.at_s < said_s + DRAIN_S:
        return
    is_calm = not any(
        span.touches(said_s - CONTACT_S, run.at_s) for span in record.spans
    )
    if is_calm:
        late_s = run.at_s - said_s
        yield f'DRAIN {run.attempt_id}: {late_s:.2f} s after it left'


def _broken_usage(record: SoakRecord) -> Iterator[str]:
    by_window: dict[int, set[tuple[tuple[str, int], ...]]] = defaultdict(set)
    for report in record.usage:
        by_window[report.window_id].add(report.counts)
    for window_id, figures in by_window.items():
        if len(figures) > 1:
            yield f'ONE window {window_id} reported as {figures}'
    reported: Counter[str] = Counter()
    for figures in by_window.values():
        reported.update(dict(min(figures)))
    ran = Counter(
        organisation
        for _, organisation in {
            (run.attempt_id, run.organisation) for run in record.runs
        }
    )
    for organisation, number in reported.items():
        if number > ran[organisation]:
            yield f'USAGE {organisation}: {number} reported, {ran[organisation]} ran'
    yield from _broken_turns(record.usage, record)


def _broken_turns(
    reports: list[UsageReport], record: SoakRecord
) -> Iterator[str]:
    highest = 0
    holders: dict[int, str] = {}
    turns: list[UsageReport] = []
    for report in reports:
        if _is_excused(report, record):
            continue
        if report.fence < highest:
            yield f'ONE {report.holder}: fence {report.fence} after {highest}'
        highest = max(highest, report.fence)
        if holders.setdefault(report.fence, report.holder) != report.holder:
            yield f'ONE fence {report.fence} of two holders'
        if not turns or turns[-1].holder != report.holder:
            turns.append(report)
        if len(turns) > 2 and turns[-3].holder == report.holder:
            if report.at_s - turns[-2].at_s < TURN_S:
                yield f'ONE {report.holder} took turns'


def _is_excused(report: UsageReport, record: SoakRecord) -> bool:
    return any(
        span.kind == 'pause'
        and span.where == report.holder
        and span.until_s <= report.at_s < span.until_s + THAW_SLACK_S
        for span in record.spans
    )


def body_of(attempt_id: str) -> bytes:
    """Tell the answer of a plain service to an attempt."""
    return f'{attempt_id}:done'.encode()


def event_of(attempt_id: str, number: int) -> bytes:
    """Tell an event of the stream that answers an attempt."""
    return f'id: {number}\ndata: {attempt_id}-{number}\n\n'.encode()
