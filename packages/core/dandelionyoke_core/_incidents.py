"""Engines that broke, and whether that looks like one request's doing."""

from collections import deque

import attrs

from dandelionyoke_core._names import TargetId
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._runs import Run


@attrs.frozen
class Incident:
    """An engine broke; the suspects that were on it at that moment."""

    target_id: TargetId
    started_s: float
    suspects: frozenset[str]


class Incidents:
    """The last incidents that this entry saw."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._incidents: deque[Incident] = deque(maxlen=settings.max_incidents)

    def find(self, run: Run, now_s: float) -> Incident | None:
        """Find the incident that a broken run belongs to.

        The runs of one crash break one after the other. One that started
        after an incident broke in another one.
        """
        since_s = max(run.started_s, now_s - self._settings.lost_window_s)
        for known in self._incidents:
            if known.target_id == run.target_id and known.started_s >= since_s:
                return known
        return None

    def add(self, incident: Incident) -> None:
        """Take up a new incident."""
        self._incidents.append(incident)

    def is_outage(self, now_s: float) -> bool:
        """Whether more engines broke at once than one request breaks."""
        since_s = now_s - self._settings.outage_window_s
        engines = {
            incident.target_id
            for incident in self._incidents
            if incident.started_s >= since_s
        }
        return len(engines) >= self._settings.outage_engines
