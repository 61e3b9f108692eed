"""How an instance leaves: whom it still serves, and until when."""

import attrs


@attrs.frozen
class DepartureSettings:
    """The times of leaving, from the request to leave.

    The balancer asks once a second and believes two misses in a row, so
    until `notice_s` callers still come and are served. Later ones are told
    at once to go elsewhere: those that come later still would be cut by the
    end. All calls get an answer `answer_margin_s` before the process is
    killed at `grace_s`.
    """

    grace_s: float = 8.0
    notice_s: float = 3.0
    answer_margin_s: float = 1.2


class Departure:
    """Whether this instance is leaving, and what follows for calls."""

    def __init__(self, settings: DepartureSettings) -> None:
        self._settings = settings
        self._asked_s: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the instance was asked to leave."""
        return self._asked_s is not None

    def begin(self, now_s: float) -> None:
        """Take the request to leave; a second one changes nothing."""
        if self._asked_s is None:
            self._asked_s = now_s

    def refuses(self, now_s: float) -> bool:
        """Whether a new call has to go elsewhere."""
        asked_s = self._asked_s
        return asked_s is not None and now_s > asked_s + self._settings.notice_s

    def answer_by_s(self) -> float | None:
        """Tell until when every call must have its answer."""
        if self._asked_s is None:
            return None
        settings = self._settings
        return self._asked_s + settings.grace_s - settings.answer_margin_s
