"""Recent engine crashes, and whether they indicate an outage."""

from collections import deque

import attrs

from dandelionyoke_core._names import TargetId
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._runs import Run


@attrs.frozen
class Incident:
    """Crash of an engine, with the suspects in progress on it at that time."""

    target_id: TargetId
    started_s: float
    suspects: frozenset[str]


class Incidents:
    """Bounded list of the most recent incidents at this entry."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._incidents: deque[Incident] = deque(maxlen=settings.max_incidents)

    def find(self, run: Run, now_s: float) -> Incident | None:
        """Return the incident that a failed run belongs to, or None.

        The runs of one crash fail one after the other. A run that started
        after an incident belongs to a later one.
        """
        since_s = max(run.started_s, now_s - self._settings.lost_window_s)
        for incident in self._incidents:
            if (
                incident.target_id == run.target_id
                and incident.started_s >= since_s
            ):
                return incident
        return None

    def add(self, incident: Incident) -> None:
        """Add a new incident."""
        self._incidents.append(incident)

    def is_outage(self, now_s: float) -> bool:
        """Return whether too many engines crashed at once for one request.

        True when at least `outage_engines` crashed in the last
        `outage_window_s`.
        """
        since_s = now_s - self._settings.outage_window_s
        engines = {
            incident.target_id
            for incident in self._incidents
            if incident.started_s >= since_s
        }
        return len(engines) >= self._settings.outage_engines
