"""The unfinished claims of one node and their pending store operations."""

import enum
from collections.abc import Iterator
from random import Random

import attrs

from dandelionyoke_core._actions import Action, StoreGet, StorePut
from dandelionyoke_core._claims import ClaimRecord, IdempotencySettings
from dandelionyoke_core._codec import record_to_json
from dandelionyoke_core._names import OperationId, RequestId
from dandelionyoke_core._timers import Timers

MAX_RETRY_DOUBLINGS = 16


@enum.unique
class ClaimStep(enum.Enum):
    """The current step of the owner of a claim."""

    CREATING = 'creating'
    READING = 'reading'
    HELD = 'held'
    CLOSING = 'closing'


@attrs.define
class Claim:
    """A claim of this node, until its end is in the store.

    `record` is written next, by compare-and-swap on `expected_revision`.
    `may_exist` is whether the store may hold this claim. `is_refused` is
    whether the caller was told that the call was not sent; such a claim must
    be released if it turns out to exist.
    """

    request_id: RequestId
    key: str
    record: ClaimRecord
    claim_deadline_s: float
    repeat_deadline_s: float
    expected_revision: int = 0
    step: ClaimStep = ClaimStep.CREATING
    operation_id: OperationId | None = None
    sent_s: float = 0.0
    retry_at_s: float | None = None
    failures: int = 0
    may_exist: bool = False
    is_refused: bool = False

    @property
    def is_caller_waiting(self) -> bool:
        """Whether the caller still waits for the claim to be granted."""
        return not self.is_refused and self.step in {
            ClaimStep.CREATING,
            ClaimStep.READING,
        }


class ClaimTable:
    """The claims by request; each has at most one pending store operation."""

    def __init__(
        self, settings: IdempotencySettings, incarnation: str, random: Random
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._random = random
        self._name_count = 0
        self._claims: dict[RequestId, Claim] = {}
        self._operations: dict[OperationId, RequestId] = {}
        self._timers: Timers[RequestId] = Timers()

    def __len__(self) -> int:
        return len(self._claims)

    def next_name(self) -> str:
        """Return a name that is unique over all incarnations of instances."""
        self._name_count += 1
        return f'{self._incarnation}.{self._name_count}'

    def add(self, claim: Claim) -> None:
        """Add a new claim."""
        self._claims[claim.request_id] = claim

    def find(self, request_id: RequestId) -> Claim | None:
        """Look up the claim of a request."""
        return self._claims.get(request_id)

    def remove(self, claim: Claim) -> None:
        """Remove a claim that has ended in the store or was never made."""
        self._claims.pop(claim.request_id, None)

    def write(self, claim: Claim, now_s: float) -> Action:
        """Write the record of the claim if its revision is as expected."""
        return StorePut(
            self._begin_operation(claim, now_s),
            claim.key,
            record_to_json(claim.record),
            claim.expected_revision,
        )

    def read(self, claim: Claim, now_s: float) -> Action:
        """Read the record under the key of the claim."""
        return StoreGet(self._begin_operation(claim, now_s), claim.key)

    def match_answer(self, operation_id: OperationId) -> Claim | None:
        """Return the claim that an answer is for; None for a late answer."""
        request_id = self._operations.pop(operation_id, None)
        if request_id is None:
            return None
        claim = self._claims[request_id]
        claim.operation_id = None
        return claim

    def abandon_operation(self, claim: Claim) -> None:
        """Ignore the answer to the pending operation if it still arrives."""
        if claim.operation_id is not None:
            self._operations.pop(claim.operation_id, None)
            claim.operation_id = None

    def retry_later(self, claim: Claim, now_s: float) -> None:
        """Schedule a retry with exponential backoff."""
        claim.failures += 1
        doublings = min(claim.failures, MAX_RETRY_DOUBLINGS)
        pause_s = min(
            self._settings.retry_min_s * 2**doublings,
            self._settings.retry_max_s,
        )
        # Jitter keeps the entries from retrying all at the same moment.
        claim.retry_at_s = now_s + pause_s * self._random.uniform(0.5, 1)
        self.schedule(claim)

    def schedule(self, claim: Claim) -> None:
        """Set the timer of the claim to the earliest of its due times."""
        due_s = self._due_s(claim.request_id)
        if due_s is not None:
            self._timers.schedule(claim.request_id, due_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next claim is due, or None."""
        return self._timers.next_s()

    def due(self, now_s: float) -> Iterator[Claim]:
        """Yield the claims that are due."""
        for request_id in tuple(self._timers.pop_due(now_s, self._due_s)):
            claim = self._claims.get(request_id)
            if claim is not None:
                yield claim

    def _begin_operation(self, claim: Claim, now_s: float) -> OperationId:
        operation_id = OperationId(f'once.{self.next_name()}')
        self._operations[operation_id] = claim.request_id
        claim.operation_id = operation_id
        claim.sent_s = now_s
        claim.retry_at_s = None
        self.schedule(claim)
        return operation_id

    def _due_s(self, request_id: RequestId) -> float | None:
        claim = self._claims.get(request_id)
        if claim is None:
            return None
        times = [claim.retry_at_s]
        if claim.operation_id is not None:
            times.append(claim.sent_s + self._settings.store_call_timeout_s)
        if claim.is_caller_waiting:
            times.append(claim.claim_deadline_s)
        return min((due for due in times if due is not None), default=None)
