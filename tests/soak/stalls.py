"""Standstills of the soak itself, which callers and targets see as silence."""

import re
from collections.abc import Callable

import eventlet

from dandelionyoke_gateway import clock_s
from dandelionyoke_links import stalled_s
from tests.soak.record import SoakRecord, SoakStall

WATCH_INTERVAL_S = 0.05
MIN_LATE_S = 0.1
SHOWN_STALLS = 10
_ATTEMPT_ID = re.compile(r'[\w-]+(?:\.\d+)+')


def watch_for_stalls(record: SoakRecord, is_ended: Callable[[], bool]) -> None:
    """Record each time at which this process stood still or was late."""
    began_s = clock_s()
    while not is_ended():
        eventlet.sleep(WATCH_INTERVAL_S)
        now_s = clock_s()
        if now_s - began_s - WATCH_INTERVAL_S > MIN_LATE_S:
            record.stalls.append(SoakStall(began_s, now_s, stalled_s(began_s)))
        began_s = now_s


def describe_stalls(record: SoakRecord) -> str:
    """Describe how often and how long the soak itself was late."""
    if not record.stalls:
        return 'the soak itself was never late'
    late_s = sum(stall.end_s - stall.start_s for stall in record.stalls)
    longest = sorted(record.stalls, key=_length_s)[-SHOWN_STALLS:]
    return (
        f'the soak itself was late {len(record.stalls)} times, {late_s:.2f} s '
        f'in all; the longest: {_describe(longest, record)}'
    )


def name_stalls(violation: str, record: SoakRecord) -> str:
    """Add to a violation the soak's standstills beside the calls it names."""
    names = set(_ATTEMPT_ID.findall(violation))
    calls = [call for call in record.calls if call.attempt_id in names]
    beside = [
        stall
        for stall in record.stalls
        if any(
            call.sent_s < stall.end_s
            and stall.start_s < (call.ended_s or record.end_s)
            for call in calls
        )
    ]
    if not beside:
        return violation
    return f'{violation}; the soak itself was late: {_describe(beside, record)}'


def _length_s(stall: SoakStall) -> float:
    return stall.end_s - stall.start_s


def _describe(stalls: list[SoakStall], record: SoakRecord) -> str:
    return ', '.join(
        f'{_length_s(stall):.2f} s from {stall.start_s - record.start_s:+.2f} '
        f's (stood still {stall.stalled_s:.2f} s)'
        for stall in sorted(stalls, key=lambda stall: stall.start_s)
    )
