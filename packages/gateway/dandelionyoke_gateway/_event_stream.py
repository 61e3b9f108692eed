"""Splits a stream of server-sent events into complete events.

A target may fail in the middle of an event. If the first half were forwarded
and followed by the stream of another target, the caller would join both into
an event that no target sent.
"""

import re

import attrs

from dandelionyoke_gateway._errors import ExchangeError

MAX_EVENT_BYTES = 1048576
_SEPARATOR = re.compile(rb'\n\n|\r\n\r\n')
MAX_SEPARATOR_BYTES = 4
# The first line whose field is the id; a line without a colon has no text.
_ID_LINE = re.compile(rb'(?:\A|[\r\n])id(?::([^\r\n]*)|(?=[\r\n])|\Z)')


@attrs.frozen
class StreamEvent:
    """The bytes of one event, with its separator, and its id if it has one."""

    content: bytes
    event_id: str | None


class EventSplitter:
    """Buffers received bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._buffer

    @property
    def held_bytes(self) -> int:
        """The size of the partial event that is buffered."""
        return len(self._buffer)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are complete now.

        Raises:
            ExchangeError: the event that follows exceeds MAX_EVENT_BYTES.
        """
        # What was searched before has no separator, except for a part of one.
        search_from = max(0, len(self._buffer) - MAX_SEPARATOR_BYTES + 1)
        self._buffer += content
        events = []
        start = 0
        for separator in _SEPARATOR.finditer(self._buffer, search_from):
            event = bytes(self._buffer[start : separator.end()])
            events.append(StreamEvent(event, _event_id(event)))
            start = separator.end()
        if start:
            self._buffer = self._buffer[start:]
        if not events and len(self._buffer) > MAX_EVENT_BYTES:
            raise ExchangeError('an event is too large', sent=True)
        return events


def last_id(events: list[StreamEvent]) -> str | None:
    """Return the id of the last event that has one."""
    for event in reversed(events):
        if event.event_id is not None:
            return event.event_id
    return None


def _event_id(event: bytes) -> str | None:
    line = _ID_LINE.search(event)
    if line is None:
        return None
    return (line.group(1) or b'').strip().decode('latin-1')
