"""Keys of calls that are refused, and when one of their calls is tried."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

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

    def lift(self, key: str) -> None:
        """End the quarantine of a key."""
        self._entries.pop(key, None)

    def admit(
        self,
        keys: Iterable[str],
        now_s: float,
        may_try: Callable[[str], bool],
    ) -> CrashVerdict:
        """Decide whether a call with some keys may be sent.

        `may_try` tells whether this node tries calls with a key. A trial is
        only one if no other key of the call is refused.
        """
        refused = [key for key in keys if self.is_refused(key, now_s)]
        if not refused:
            return CrashVerdict()
        for key in refused:
            refused_s = self._refused_s(key, now_s)
            if refused_s is not None:
                return CrashVerdict(refused_s, key=key)
        # Calls that share their last key are tried by the same node.
        if not may_try(refused[-1]):
            return CrashVerdict(self._settings.trial_poll_s, key=refused[-1])
        for key in refused:
            self._entries[key].trial_s = now_s
        return CrashVerdict(is_trial=True, key=refused[-1])

    def _refused_s(self, key: str, now_s: float) -> float | None:
        """Return for how long a key is refused; None if it may be tried."""
        entry = self._entries[key]
        if now_s < entry.until_s:
            return entry.until_s - now_s
        if entry.trial_s is None:
            return None
        if now_s < entry.trial_s + self._settings.trial_s:
            return self._settings.trial_poll_s
        return None
