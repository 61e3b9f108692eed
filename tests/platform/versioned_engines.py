"""Engines that write the version of their software into each event."""

import re
from collections.abc import Iterator

from tests.platform.node_harness import (
    ReceivedRequest,
    Script,
    ScriptStep,
    answer,
    chunk,
)

EVENTS_PER_STREAM = 6
EVENT_INTERVAL_S = 0.02
_VERSION_OF_EVENT = re.compile(rb'data: (\S+) \d+\n')


def streams_version(version: str, breaks_after: int | None = None) -> Script:
    """Stream the rest of the events, or break off after so many of them."""

    def answer_request(request: ReceivedRequest) -> Iterator[ScriptStep]:
        attempt_id = request.headers.get('attempt-id', '')
        signed = f'Response-Signature: s\r\nAttempt-Id: {attempt_id}\r\n'
        if request.headers.get('serving-phase') == 'prefill':
            handle = b'{"kv_handle":"h1","tokens":900,"version":1}'
            yield answer(body=handle, extra=signed)
            return
        yield (
            f'HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            if breaks_after is not None and number - first >= breaks_after:
                yield None
                return
            yield chunk(f'id: {number}\ndata: {version} {number}\n\n'.encode())
            yield EVENT_INTERVAL_S
        yield chunk(b'')

    return answer_request


def versions_in(content: bytes) -> set[str]:
    """Return the versions whose events a caller has received."""
    return {found.decode() for found in _VERSION_OF_EVENT.findall(content)}


def events_in(content: bytes) -> int:
    """Return the number of whole events that a caller has received."""
    return len(_VERSION_OF_EVENT.findall(content))


def take_up(attempt_id: str, event_count: int) -> str:
    """Return the headers with which a caller takes a stream up again."""
    return f'Last-Event-Id: {event_count}\r\nResumes: {attempt_id}\r\n'
