"""Splits a stream of server-sent events into complete events.

A target may fail in the middle of an event. If the first half were forwarded
and followed by the stream of another target, the caller would join both into
an event that no target sent.
"""

import attrs

from dandelionyoke_gateway._errors import ExchangeError

MAX_EVENT_BYTES = 1048576
EVENT_SEPARATORS = (b'\n\n', b'\r\n\r\n')


@attrs.frozen
class StreamEvent:
    """The bytes of one event, with its separator, and its id if it has one."""

    content: bytes
    event_id: str | None


class EventSplitter:
    """Buffers received bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._buffer

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are complete now.

        Raises:
            ExchangeError: the event that follows exceeds MAX_EVENT_BYTES.
        """
        self._buffer += content
        events = []
        while (end := _first_event_end(self._buffer)) is not None:
            event = self._buffer[:end]
            self._buffer = self._buffer[end:]
            events.append(StreamEvent(event, _event_id(event)))
        if not events and len(self._buffer) > MAX_EVENT_BYTES:
            raise ExchangeError('an event is too large', sent=True)
        return events


def _first_event_end(content: bytes) -> int | None:
    ends = [
        content.index(separator) + len(separator)
        for separator in EVENT_SEPARATORS
        if separator in content
    ]
    return min(ends, default=None)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, event_id = line.partition(b':')
        if name == b'id':
            return event_id.strip().decode('latin-1')
    return None
