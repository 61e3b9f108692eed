"""Events of streams, which name the version of the engine that wrote them."""

import re

VERSIONS = ('v1', 'v2')
EVENTS_PER_STREAM = 6
_EVENT = re.compile(rb'id: (\d+)\ndata: [^\n]*-\1-(v\d)\n\n')


def stream_event(attempt_id: str, number: int, version: str) -> bytes:
    """Return an event of the stream that answers an attempt."""
    return f'id: {number}\ndata: {attempt_id}-{number}-{version}\n\n'.encode()


def event_versions(body: bytes) -> list[str]:
    """Return the version that wrote each whole event of a stream."""
    return [event[2].decode() for event in _EVENT.finditer(body)]


def last_event(body: bytes) -> int:
    """Return the number of the last whole event, or 0."""
    numbers = [int(event[1]) for event in _EVENT.finditer(body)]
    return numbers[-1] if numbers else 0
