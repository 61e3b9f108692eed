"""An engine's attempts, and the output that its caller hasn't taken yet."""

from collections import deque
from collections.abc import Iterator

from dandelionyoke_standins._attempt import Attempt, Output
from dandelionyoke_standins._engine_report import AttemptRecord, record_attempt
from dandelionyoke_standins._errors import MissingError

MAX_PAST_RECORDS = 200_000


class AttemptStore:
    """Keeps ended attempts for a limited time and then only their records.

    At most `MAX_PAST_RECORDS` records of expired attempts are kept.
    """

    def __init__(self, keep_ended_s: float) -> None:
        self._keep_ended_s = keep_ended_s
        self._attempts: dict[str, Attempt] = {}
        self._ended: deque[Attempt] = deque()
        self._past_records: deque[AttemptRecord] = deque(
            maxlen=MAX_PAST_RECORDS
        )
        self._new_offsets: dict[str, int] = {}

    def add(self, attempt: Attempt) -> None:
        """Add a new attempt."""
        self._attempts[attempt.request.attempt_id] = attempt

    def get(self, attempt_id: str) -> Attempt | None:
        """Return an attempt, or None if it is unknown or has expired."""
        return self._attempts.get(attempt_id)

    def get_existing(self, attempt_id: str) -> Attempt:
        """Return an attempt.

        Raises:
            MissingError: The attempt is unknown or has expired.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            raise MissingError(ran=True, cause='unknown_attempt')
        return attempt

    def record_progress(self, attempt: Attempt, offset: int) -> None:
        """Mark the output from an offset on, or the end, as new."""
        is_ended = attempt.end is not None
        if is_ended:
            self._ended.append(attempt)
        if is_ended or len(attempt.output) > offset:
            self._new_offsets.setdefault(attempt.request.attempt_id, offset)

    def take_new_outputs(self) -> list[Output]:
        """Return all output marked as new since the previous call."""
        new_offsets = self._new_offsets
        self._new_offsets = {}
        return [
            self._attempts[attempt_id].output_from(offset)
            for attempt_id, offset in new_offsets.items()
        ]

    def expire(self, now_s: float) -> None:
        """Replace attempts past their retention time by their records."""
        expired_before_s = now_s - self._keep_ended_s
        while self._ended and (self._ended[0].ended_s or 0) < expired_before_s:
            attempt = self._ended.popleft()
            attempt_id = attempt.request.attempt_id
            self._past_records.append(record_attempt(attempt))
            self._attempts.pop(attempt_id)
            self._new_offsets.pop(attempt_id, None)

    def records(self) -> Iterator[AttemptRecord]:
        """Yield the record of every attempt, oldest first."""
        yield from self._past_records
        yield from map(record_attempt, self._attempts.values())
