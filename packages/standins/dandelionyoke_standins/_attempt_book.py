"""An engine's memory of its attempts, and of their output not yet given."""

from collections import deque
from collections.abc import Iterator

from dandelionyoke_standins._attempt import Attempt, Output
from dandelionyoke_standins._engine_report import AttemptRecord, record_attempt
from dandelionyoke_standins._errors import MissingError

MAX_PAST_RECORDS = 200_000


class AttemptBook:
    """Keeps ended attempts for some time, and a record of each for good."""

    def __init__(self, keep_ended_s: float) -> None:
        self._keep_ended_s = keep_ended_s
        self._attempts: dict[str, Attempt] = {}
        self._ended: deque[Attempt] = deque()
        self._past: deque[AttemptRecord] = deque(maxlen=MAX_PAST_RECORDS)
        self._fresh: dict[str, int] = {}

    def add(self, attempt: Attempt) -> None:
        """Keep a new attempt."""
        self._attempts[attempt.request.attempt_id] = attempt

    def get(self, attempt_id: str) -> Attempt | None:
        """Give an attempt, unless it is unknown or forgotten."""
        return self._attempts.get(attempt_id)

    def known(self, attempt_id: str) -> Attempt:
        """Give an attempt; an unknown one is an error."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            raise MissingError(ran=True, cause='unknown_attempt')
        return attempt

    def note(self, attempt: Attempt, offset: int) -> None:
        """Note what an attempt has put out from an offset on, or its end."""
        is_ended = attempt.end is not None
        if is_ended:
            self._ended.append(attempt)
        if is_ended or len(attempt.output) > offset:
            self._fresh.setdefault(attempt.request.attempt_id, offset)

    def take_fresh(self) -> list[Output]:
        """Give all output that was noted since the last time."""
        fresh = self._fresh
        self._fresh = {}
        return [
            self._attempts[attempt_id].output_from(offset)
            for attempt_id, offset in fresh.items()
        ]

    def forget(self, now_s: float) -> None:
        """Forget the attempts that ended long ago, but for their record."""
        until_s = now_s - self._keep_ended_s
        while self._ended and (self._ended[0].ended_s or 0) < until_s:
            attempt = self._ended.popleft()
            attempt_id = attempt.request.attempt_id
            self._past.append(record_attempt(attempt))
            self._attempts.pop(attempt_id)
            self._fresh.pop(attempt_id, None)

    def records(self) -> Iterator[AttemptRecord]:
        """Give the record of every attempt, the oldest first."""
        yield from self._past
        yield from map(record_attempt, self._attempts.values())
