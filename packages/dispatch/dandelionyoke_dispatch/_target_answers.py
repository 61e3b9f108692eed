"""Spans of time in which targets were alive, by answers that they gave.

Only what is certain to come from one start of a target may be recorded: an id
does not tell two starts apart.
"""

from collections import OrderedDict, deque

import attrs

# A target answers on several connections, of which one may be older than a
# crash that is reported late.
MAX_SPANS = 4
NEVER_S = float('-inf')


@attrs.frozen
class AliveSpan:
    """One start of a target was alive from `since_s` to `until_s`."""

    since_s: float
    until_s: float

    def includes(self, time_s: float) -> bool:
        """Whether it was alive at a time."""
        return self.since_s < time_s < self.until_s


class TargetAnswers:
    """The last spans by target, of the targets that had one last.

    This node's own are kept apart from those in reports, which all nodes know.
    """

    def __init__(self, max_targets: int) -> None:
        self._own = _Spans(max_targets)
        self._told = _Spans(max_targets)

    def take(self, target: str, span: AliveSpan, *, told: bool) -> None:
        """Record a span."""
        (self._told if told else self._own).take(target, span)

    def was_alive(
        self, target: str, time_s: float, *, told_only: bool = False
    ) -> bool:
        """Whether a target was alive at a time."""
        if self._told.find(target, time_s) is not None:
            return True
        return not told_only and self.own_span(target, time_s) is not None

    def own_span(self, target: str, time_s: float) -> AliveSpan | None:
        """Return what this node knows of a target at a time, if it lived."""
        return self._own.find(target, time_s)


class _Spans:
    def __init__(self, max_targets: int) -> None:
        self._max_targets = max_targets
        self._spans: OrderedDict[str, deque[AliveSpan]] = OrderedDict()

    def take(self, target: str, span: AliveSpan) -> None:
        known = self._spans.pop(target, deque())
        since_s = span.since_s
        spans = deque(
            (kept for kept in known if kept.since_s != since_s),
            maxlen=MAX_SPANS,
        )
        spans.append(span)
        self._spans[target] = spans
        while len(self._spans) > self._max_targets:
            self._spans.popitem(last=False)

    def find(self, target: str, time_s: float) -> AliveSpan | None:
        for span in self._spans.get(target, ()):
            if span.includes(time_s):
                return span
        return None
