"""A stream of events, cut at the ends of whole events.

A target may stop in the middle of an event. Half of one passed on, followed
by the stream of another target, would be joined into an event that nobody
sent.
"""

import attrs

EVENT_SEPARATORS = (b'\n\n', b'\r\n\r\n')


@attrs.frozen
class StreamEvent:
    """The bytes of one event, its separator included, and its id if any."""

    content: bytes
    event_id: str | None


class EventSplitter:
    """Takes bytes as they come and gives whole events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether all that came was whole."""
        return not self._rest

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes; list the events that are whole now."""
        self._rest += content
        found = []
        while (end := _end_of_first(self._rest)) is not None:
            whole = self._rest[:end]
            self._rest = self._rest[end:]
            found.append(StreamEvent(whole, _id_of(whole)))
        return found


def _end_of_first(content: bytes) -> int | None:
    ends = [
        content.index(separator) + len(separator)
        for separator in EVENT_SEPARATORS
        if separator in content
    ]
    return min(ends, default=None)


def _id_of(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            return text.strip().decode('latin-1')
    return None
