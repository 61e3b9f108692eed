"""Refusal of calls that crash the engines running them.

Such a call is retried, through any node, and would take one engine after the
other out of service. The nodes tell each other which call was in flight when a
target crashed. After three targets, all nodes refuse the call.
"""

import hashlib
from collections import OrderedDict

import attrs

DIGEST_BYTES = 12


@attrs.frozen
class CrashSettings:
    """When a call is refused, and for how long.

    A target may crash for another reason while a harmless call is in flight.
    Three different targets within `crash_lifetime_s` are not a coincidence.
    `max_fingerprints` bounds the memory use.
    """

    targets: int = 3
    crash_lifetime_s: float = 60.0
    retry_after_s: float = 30.0
    max_fingerprints: int = 4096


@attrs.frozen
class CrashNote:
    """A call that was in flight when a target crashed, and how long ago."""

    call: str
    target_id: str
    age_s: float


def fingerprint(organisation: str | None, path: str, body: bytes) -> str:
    """Return a one-way hash of the organisation, path and body of a call."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in ((organisation or '').encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


class CrashGuard:
    """The calls that were in flight at targets when those crashed."""

    def __init__(self, settings: CrashSettings) -> None:
        self._settings = settings
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_crash(self, call: str, target_id: str, now_s: float) -> None:
        """Record that a target crashed while it ran a call."""
        targets = self._crashes.setdefault(call, {})
        targets.setdefault(target_id, now_s)
        self._crashes.move_to_end(call)
        while len(self._crashes) > self._settings.max_fingerprints:
            self._crashes.popitem(last=False)

    def notes(self, now_s: float) -> tuple[CrashNote, ...]:
        """Return the crashes that have not expired, for the other nodes."""
        return tuple(
            CrashNote(call, target_id, now_s - crashed_s)
            for call, targets in self._crashes.items()
            for target_id, crashed_s in targets.items()
            if now_s - crashed_s < self._settings.crash_lifetime_s
        )

    def refuses(self, call: str, now_s: float) -> bool:
        """Whether a call has crashed too many targets to be sent again."""
        targets = self._crashes.get(call)
        if targets is None:
            return False
        oldest_s = now_s - self._settings.crash_lifetime_s
        recent = sum(crashed_s >= oldest_s for crashed_s in targets.values())
        return recent >= self._settings.targets

    @property
    def retry_after_s(self) -> float:
        """The time after which a refused call may be retried."""
        return self._settings.retry_after_s
