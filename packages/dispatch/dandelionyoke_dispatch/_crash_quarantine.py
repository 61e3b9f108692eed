"""Keys of calls that are refused, and when one of their calls is tried."""

from collections import OrderedDict
from collections.abc import Callable

import attrs


@attrs.frozen
class QuarantineSettings:
    """How long a key is refused, and how its calls are tried again.

    It is doubled with each trial that crashes an engine. A trial that has not
    ended after `trial_s` is repeated.
    """

    duration_s: float = 60.0
    max_duration_s: float = 3600.0
    trial_s: float = 30.0
    trial_poll_s: float = 5.0
    max_keys: int = 256


@attrs.frozen
class CrashVerdict:
    """Whether a call may be sent: for how long it is refused, None if not.

    A trial is sent once, to learn whether it still crashes targets. `key` is
    the one that it is refused or tried for.
    """

    refused_s: float | None = None
    is_trial: bool = False
    key: str = ''


@attrs.define
class _Quarantine:
    since_s: float
    duration_s: float
    trial_s: float | None = None

    @property
    def until_s(self) -> float:
        return self.since_s + self.duration_s

    @property
    def forgotten_s(self) -> float:
        """When it ends without a trial, as no call with the key came."""
        return self.until_s + self.duration_s


class CrashQuarantine:
    """The keys that are refused."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._entries: OrderedDict[str, _Quarantine] = OrderedDict()

    def add(self, key: str, now_s: float) -> None:
        """Refuse a key, for longer each time."""
        known = self._entries.pop(key, None)
        duration_s = self._settings.duration_s
        if known is not None:
            duration_s = min(
                2 * known.duration_s, self._settings.max_duration_s
            )
        self._entries[key] = _Quarantine(now_s, duration_s)
        while len(self._entries) > self._settings.max_keys:
            self._entries.popitem(last=False)

    def is_refused(self, key: str, now_s: float) -> bool:
        """Whether calls with a key are refused, but for a trial."""
        entry = self._entries.get(key)
        return entry is not None and now_s < entry.forgotten_s

    def crashed(self, key: str, crashed_s: float) -> bool:
        """Refuse a key longer if its trial crashed an engine."""
        entry = self._entries.get(key)
        if entry is None or not entry.until_s < crashed_s < entry.forgotten_s:
            return False
        self.add(key, crashed_s)
        return True

    def answered(self, key: str, begun_s: float) -> bool:
        """End the quarantine of a key whose trial got its answer."""
        entry = self._entries.get(key)
        if entry is None or begun_s < entry.since_s:
            return False
        self._entries.pop(key)
        return True

    def lift(self, key: str) -> None:
        """End the quarantine of a key whose crashes were none."""
        self._entries.pop(key, None)

    def admit(
        self, key: str, now_s: float, may_try: Callable[[str], bool]
    ) -> CrashVerdict:
        """Decide whether a call with a key may be sent.

        `may_try` tells whether this node tries calls with a key.
        """
        entry = self._entries.get(key)
        if entry is None or now_s >= entry.forgotten_s:
            return CrashVerdict()
        if now_s < entry.until_s:
            return CrashVerdict(entry.until_s - now_s, key=key)
        trial_s = entry.trial_s
        is_trying = (
            trial_s is not None and now_s < trial_s + self._settings.trial_s
        )
        if is_trying or not may_try(key):
            return CrashVerdict(self._settings.trial_poll_s, key=key)
        entry.trial_s = now_s
        return CrashVerdict(is_trial=True, key=key)
