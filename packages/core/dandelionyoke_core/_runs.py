"""What is in progress on which engine, here and as far as peers tell."""

from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

from dandelionyoke_core._names import AttemptId, TargetId
from dandelionyoke_core._quarantine_settings import QuarantineSettings


@attrs.frozen
class Run:
    """A request in progress on an engine.

    `trial` is whether it was a suspect when it started, `announced` whether
    peers were told of it, so that they have to be told of its end.
    """

    attempt_id: AttemptId
    target_id: TargetId
    fingerprint: str
    started_s: float
    trial: bool = False
    announced: bool = False


class Runs:
    """The runs of this entry, those left at silent engines, and peers'."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._here: dict[AttemptId, Run] = {}
        self._lost: deque[tuple[float, Run]] = deque(maxlen=settings.max_lost)
        self._peers: OrderedDict[AttemptId, tuple[float, Run]] = OrderedDict()

    def start(self, run: Run) -> None:
        """Take up a run, or what changed about it."""
        self._here[run.attempt_id] = run

    def end(self, attempt_id: AttemptId) -> Run | None:
        """Forget a run of this entry."""
        return self._here.pop(attempt_id, None)

    def find(self, attempt_id: AttemptId) -> Run | None:
        """Look a run of this entry up."""
        return self._here.get(attempt_id)

    def copies(self, fingerprint: str) -> tuple[Run, ...]:
        """List this entry's runs of one request."""
        return tuple(
            run for run in self._here.values() if run.fingerprint == fingerprint
        )

    def lose(self, run: Run, now_s: float) -> None:
        """Remember a run that was left at a silent engine."""
        self._lost.append((now_s, run))

    def lost(self, now_s: float) -> Iterator[Run]:
        """Go through the runs that were lost not long ago."""
        since_s = now_s - self._settings.lost_window_s
        for lost_s, run in tuple(self._lost):
            if lost_s >= since_s:
                yield run

    def tell_peer(self, run: Run, now_s: float) -> None:
        """Take up a trial of a peer."""
        until_s = now_s + self._settings.trial_lifetime_s
        self._peers[run.attempt_id] = (until_s, run)
        if len(self._peers) > self._settings.max_trials:
            self._peers.popitem(last=False)

    def end_peer(self, attempt_id: AttemptId) -> None:
        """Forget a trial of a peer."""
        self._peers.pop(attempt_id, None)

    def known(self, now_s: float) -> Iterator[Run]:
        """Go through what is in progress, here and as peers told."""
        yield from self._here.values()
        for until_s, run in self._peers.values():
            if now_s < until_s:
                yield run
