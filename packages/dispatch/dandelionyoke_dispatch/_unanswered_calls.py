"""Calls that ended without an answer, until it is known why.

A target that falls silent may hang, or may have crashed. Which of the two is
known once its start has ended, or has answered again.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget

# A target that crashes is back after some seconds, and its entry expires a few
# seconds after the crash.
KEPT_S = 10.0
MAX_TARGETS = 256
MAX_KEYS = 256


@attrs.define
class _Unanswered:
    """The keys of the calls that a start of a target left unanswered."""

    target: RegisteredTarget
    keys: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def add(self, keys: Iterable[str], ended_s: float) -> None:
        for key in keys:
            self.keys.pop(key, None)
            self.keys[key] = ended_s
        while len(self.keys) > MAX_KEYS:
            self.keys.popitem(last=False)

    def drop_before(self, time_s: float) -> None:
        for key, ended_s in tuple(self.keys.items()):
            if ended_s < time_s:
                self.keys.pop(key)


class UnansweredCalls:
    """The keys of unanswered calls by the start of their target."""

    def __init__(self) -> None:
        self._starts: OrderedDict[str, _Unanswered] = OrderedDict()

    def __bool__(self) -> bool:
        """Whether any call is waiting for an explanation."""
        return bool(self._starts)

    def add(
        self,
        start: str,
        target: RegisteredTarget,
        keys: Iterable[str],
        now_s: float,
    ) -> None:
        """Add the keys of a call that has ended now."""
        self._starts.setdefault(start, _Unanswered(target)).add(keys, now_s)
        while len(self._starts) > MAX_TARGETS:
            self._starts.popitem(last=False)

    def answered(self, start: str, begun_s: float) -> None:
        """Drop the calls that ended before an answer of the start began.

        It lived on, so that they were not under way if it has crashed since.
        """
        unanswered = self._starts.get(start)
        if unanswered is None:
            return
        unanswered.drop_before(begun_s)
        if not unanswered.keys:
            self._starts.pop(start)

    def take(self, start: str) -> tuple[str, ...]:
        """Remove and return the keys of a start."""
        unanswered = self._starts.pop(start, None)
        return () if unanswered is None else tuple(unanswered.keys)

    def expire(self, now_s: float) -> None:
        """Drop the calls for which no explanation came in time."""
        for start, unanswered in tuple(self._starts.items()):
            unanswered.drop_before(now_s - KEPT_S)
            if not unanswered.keys:
                self._starts.pop(start)

    def targets(
        self, is_meant: Callable[[RegisteredTarget], bool]
    ) -> list[RegisteredTarget]:
        """Return the targets with unanswered calls that are meant."""
        return [
            unanswered.target
            for unanswered in self._starts.values()
            if is_meant(unanswered.target)
        ]
