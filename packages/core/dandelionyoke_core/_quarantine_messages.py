"""Records that entries share about requests that may crash engines."""

import enum

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import AttemptId, TargetId


@enum.unique
class Suspicion(enum.Enum):
    """State of a request that was in progress on an engine that crashed.

    `CONVICTED` means that the request is taken for the cause of the crashes
    and is quarantined.
    """

    SUSPECT = 'suspect'
    CONVICTED = 'convicted'
    CLEARED = 'cleared'


@attrs.frozen
class SuspicionShared(SharedRecord):
    """Suspicion state of a request, as determined by an entry."""

    fingerprint: str
    suspicion: Suspicion


@attrs.frozen
class TrialShared(SharedRecord):
    """Trial of a suspect on an engine.

    `over` is False when the trial starts and True when it has ended.
    """

    attempt_id: AttemptId
    fingerprint: str
    target_id: TargetId
    over: bool = False
