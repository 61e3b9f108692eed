"""Requests in progress on engines, from this entry and from peers."""

from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

from dandelionyoke_core._names import AttemptId, TargetId
from dandelionyoke_core._quarantine_settings import QuarantineSettings


@attrs.frozen
class Run:
    """A request in progress on an engine.

    `incarnation` is that of the engine as it was known at the start, or ''.
    `trial` tells whether its fingerprint was a suspect when it started.
    `announced` tells whether peers know of the run, in which case they must
    also be told when it ends.
    """

    attempt_id: AttemptId
    target_id: TargetId
    fingerprint: str
    started_s: float
    incarnation: str = ''
    trial: bool = False
    announced: bool = False


class Runs:
    """The runs of this entry, its lost runs, and the trials of peers.

    A run is lost when it was abandoned at a silent engine.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._own_runs: dict[AttemptId, Run] = {}
        self._lost_runs: deque[tuple[float, Run]] = deque(
            maxlen=settings.max_lost
        )
        self._peer_trials: OrderedDict[AttemptId, tuple[float, Run]] = (
            OrderedDict()
        )

    def start(self, run: Run) -> None:
        """Add or update a run of this entry."""
        self._own_runs[run.attempt_id] = run

    def end(self, attempt_id: AttemptId) -> Run | None:
        """Remove and return a run of this entry."""
        return self._own_runs.pop(attempt_id, None)

    def find(self, attempt_id: AttemptId) -> Run | None:
        """Return a run of this entry."""
        return self._own_runs.get(attempt_id)

    def copies(self, fingerprint: str) -> tuple[Run, ...]:
        """Return the runs of this entry with a fingerprint."""
        return tuple(
            run
            for run in self._own_runs.values()
            if run.fingerprint == fingerprint
        )

    def add_lost(self, run: Run, now_s: float) -> None:
        """Record a run that was abandoned at a silent engine."""
        self._lost_runs.append((now_s, run))

    def recent_lost(self, now_s: float) -> Iterator[Run]:
        """Iterate over the runs lost in the last `lost_window_s`."""
        window_start_s = now_s - self._settings.lost_window_s
        for lost_s, run in tuple(self._lost_runs):
            if lost_s >= window_start_s:
                yield run

    def remove_lost(
        self, target_id: TargetId, incarnation: str, until_s: float
    ) -> None:
        """Remove the runs lost at an engine that has answered since."""
        window_start_s = until_s - self._settings.lost_window_s
        while self._lost_runs and self._lost_runs[0][0] < window_start_s:
            self._lost_runs.popleft()
        for entry in tuple(self._lost_runs):
            lost_s, run = entry
            is_alive = run.incarnation == incarnation and lost_s < until_s
            if run.target_id == target_id and is_alive:
                self._lost_runs.remove(entry)

    def add_peer_trial(self, run: Run, now_s: float) -> None:
        """Add a trial of a peer; it expires after `trial_lifetime_s`."""
        expires_s = now_s + self._settings.trial_lifetime_s
        self._peer_trials[run.attempt_id] = (expires_s, run)
        if len(self._peer_trials) > self._settings.max_trials:
            self._peer_trials.popitem(last=False)

    def remove_peer_trial(self, attempt_id: AttemptId) -> None:
        """Remove a trial of a peer."""
        self._peer_trials.pop(attempt_id, None)

    def all_runs(self, now_s: float) -> Iterator[Run]:
        """Iterate over the runs of this entry and the trials of peers."""
        yield from self._own_runs.values()
        for expires_s, run in self._peer_trials.values():
            if now_s < expires_s:
                yield run
