"""Calls that crash each engine which runs them.

Such a call comes again, at any node, and would take one engine after the
other away from all callers. The nodes tell each other which call was under
way when a target died; after three targets it is refused everywhere.
"""

import hashlib
from collections import OrderedDict

import attrs

DIGEST_BYTES = 12


@attrs.frozen
class CrashSettings:
    """When a call is refused, and for how long.

    A target may die for other reasons while an innocent call is under way;
    three different ones within `memory_s` do not by chance. `most_kept`
    bounds the memory.
    """

    targets: int = 3
    memory_s: float = 60.0
    retry_after_s: float = 30.0
    most_kept: int = 4096


@attrs.frozen
class CrashNote:
    """A call that was under way when a target died, and how long ago."""

    call: str
    target_id: str
    age_s: float


def fingerprint(organisation: str | None, path: str, body: bytes) -> str:
    """Name a call by its caller, path and body; nothing of it can be read."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in ((organisation or '').encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


class CrashGuard:
    """Which calls were under way at which targets when those died."""

    def __init__(self, settings: CrashSettings) -> None:
        self._settings = settings
        self._seen: OrderedDict[str, dict[str, float]] = OrderedDict()

    def crashed(self, name: str, target_id: str, now_s: float) -> None:
        """Note that a target died while it ran a call."""
        targets = self._seen.setdefault(name, {})
        targets.setdefault(target_id, now_s)
        self._seen.move_to_end(name)
        while len(self._seen) > self._settings.most_kept:
            self._seen.popitem(last=False)

    def notes(self, now_s: float) -> tuple[CrashNote, ...]:
        """List what is remembered, for the other nodes."""
        return tuple(
            CrashNote(name, target_id, now_s - seen_s)
            for name, targets in self._seen.items()
            for target_id, seen_s in targets.items()
            if now_s - seen_s < self._settings.memory_s
        )

    def refuses(self, name: str, now_s: float) -> bool:
        """Whether a call has crashed too many targets to be sent again."""
        targets = self._seen.get(name)
        if targets is None:
            return False
        since_s = now_s - self._settings.memory_s
        recent = sum(seen_s >= since_s for seen_s in targets.values())
        return recent >= self._settings.targets

    @property
    def retry_after_s(self) -> float:
        """When a refused call may be tried again."""
        return self._settings.retry_after_s
