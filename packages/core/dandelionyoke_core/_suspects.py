"""Which requests are suspected of crashing engines, and how strongly."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from dandelionyoke_core._quarantine_settings import QuarantineSettings


@attrs.define
class Suspect:
    """A request that was in progress on an engine that crashed.

    `joint` counts further crashes that it shared with other suspects, so
    that nothing is proved by them.
    """

    suspected_s: float
    shared_crashes: int = 0
    quarantined_s: float | None = None


class Suspects:
    """A bounded table of suspects by fingerprint, oldest first."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, fingerprint: str, now_s: float) -> Suspect | None:
        """Look a suspect up, if its time is not over."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if now_s >= self._until_s(suspect):
            self._suspects.pop(fingerprint)
            return None
        return suspect

    def suspect(self, fingerprint: str, now_s: float) -> None:
        """Hold a request for a suspect from now on."""
        if self.find(fingerprint, now_s) is not None:
            return
        self._suspects[fingerprint] = Suspect(now_s)
        # A flood of crashes must not grow this without bound; the oldest
        # suspicion is the one least likely to matter.
        while len(self._suspects) > self._settings.max_suspects:
            self._suspects.popitem(last=False)

    def quarantine(self, fingerprint: str, now_s: float) -> None:
        """Hold a request for the cause of its crashes."""
        self.suspect(fingerprint, now_s)
        suspect = self._suspects[fingerprint]
        if suspect.quarantined_s is None:
            suspect.quarantined_s = now_s

    def clear(self, fingerprint: str) -> bool:
        """Drop a suspicion; False if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def flagged_since(self, since_s: float) -> Iterator[str]:
        """Go through the requests that were blamed since a time."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            blamed_s = max(suspect.suspected_s, suspect.quarantined_s or 0)
            if blamed_s >= since_s:
                yield fingerprint

    def _until_s(self, suspect: Suspect) -> float:
        if suspect.quarantined_s is not None:
            return suspect.quarantined_s + self._settings.quarantine_s
        return suspect.suspected_s + self._settings.suspect_lifetime_s
