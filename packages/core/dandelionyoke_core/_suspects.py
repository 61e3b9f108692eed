"""Table of requests that are suspected of crashing engines."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from dandelionyoke_core._names import TargetId
from dandelionyoke_core._quarantine_messages import Suspicion
from dandelionyoke_core._quarantine_settings import QuarantineSettings


@attrs.define
class Suspect:
    """A request that was in progress on an engine that crashed.

    `shared_crashes` counts further crashes of engines that ran other
    suspects too, which do not prove that this request is the cause.
    `crashed` holds the engines whose crashes were counted by this entry;
    `by_peer` is the verdict of peers, if there is one.
    """

    suspected_s: float
    shared_crashes: int = 0
    quarantined_s: float | None = None
    by_peer: Suspicion | None = None
    crashed: set[TargetId] = attrs.field(factory=set)


class SuspectTable:
    """Bounded table of suspects by fingerprint, oldest first."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, fingerprint: str, now_s: float) -> Suspect | None:
        """Return the unexpired suspect with this fingerprint, or None."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if now_s >= self._expires_s(suspect):
            self._suspects.pop(fingerprint)
            return None
        return suspect

    def suspect(self, fingerprint: str, now_s: float) -> Suspect:
        """Return the suspect, added if it is none yet."""
        existing = self.find(fingerprint, now_s)
        if existing is not None:
            return existing
        suspect = Suspect(now_s)
        self._suspects[fingerprint] = suspect
        # Bounds the table during a flood of crashes. The oldest suspicion is
        # the least likely to matter.
        while len(self._suspects) > self._settings.max_suspects:
            self._suspects.popitem(last=False)
        return suspect

    def quarantine(self, fingerprint: str, now_s: float) -> Suspect:
        """Mark a request as the cause of its crashes and quarantine it."""
        suspect = self.suspect(fingerprint, now_s)
        if suspect.quarantined_s is None:
            suspect.quarantined_s = now_s
        return suspect

    def withdraw_crash(self, fingerprint: str, target_id: TargetId) -> bool:
        """Take back a counted crash; return whether that changes a verdict.

        A request without another crash is no suspect any more, and one that
        was quarantined is only a suspect.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or target_id not in suspect.crashed:
            return False
        suspect.crashed.remove(target_id)
        if suspect.by_peer is Suspicion.CONVICTED:
            return False
        if not suspect.crashed and suspect.by_peer is None:
            return self.clear(fingerprint)
        suspect.shared_crashes = max(0, suspect.shared_crashes - 1)
        was_quarantined = suspect.quarantined_s is not None
        suspect.quarantined_s = None
        return was_quarantined

    def clear(self, fingerprint: str) -> bool:
        """Remove a suspect; return False if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def flagged_since(self, since_s: float) -> Iterator[str]:
        """Yield the requests suspected or quarantined since a time."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            flagged_s = max(suspect.suspected_s, suspect.quarantined_s or 0)
            if flagged_s >= since_s:
                yield fingerprint

    def _expires_s(self, suspect: Suspect) -> float:
        if suspect.quarantined_s is not None:
            return suspect.quarantined_s + self._settings.quarantine_s
        return suspect.suspected_s + self._settings.suspect_lifetime_s
