"""What entries tell each other of requests that may crash engines."""

import enum

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import AttemptId, TargetId


@enum.unique
class Suspicion(enum.Enum):
    """What is thought of a request that an engine crashed with."""

    SUSPECT = 'suspect'
    CONVICTED = 'convicted'
    CLEARED = 'cleared'


@attrs.frozen
class SuspicionShared(SharedRecord):
    """What an entry found out about a request."""

    fingerprint: str
    suspicion: Suspicion


@attrs.frozen
class TrialShared(SharedRecord):
    """A suspect is in progress on an engine; or its trial is over."""

    attempt_id: AttemptId
    fingerprint: str
    target_id: TargetId
    over: bool = False
