"""Shutdown of an instance: which calls are still served, and until when."""

import attrs


@attrs.frozen
class ShutdownSettings:
    """Times after the shutdown request.

    The balancer checks once a second and reacts to two failures in a row, so
    new calls still arrive, and are served, until `notice_s`. Later calls are
    refused at once and retried elsewhere; otherwise they would be cut off at
    the end of the grace period. All calls are answered `answer_margin_s` before
    the process is killed at `grace_s`.
    """

    grace_s: float = 8.0
    notice_s: float = 3.0
    answer_margin_s: float = 1.2


class Shutdown:
    """Whether this instance is shutting down, and how calls are handled."""

    def __init__(self, settings: ShutdownSettings) -> None:
        self._settings = settings
        self._requested_s: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether a shutdown was requested."""
        return self._requested_s is not None

    def begin(self, requested_s: float) -> None:
        """Start the shutdown; further requests have no effect.

        The grace period runs from `requested_s`, the earliest time at which
        the shutdown can have been requested.
        """
        if self._requested_s is None:
            self._requested_s = requested_s

    def refuses(self, now_s: float) -> bool:
        """Whether a new call has to be refused."""
        requested_s = self._requested_s
        return (
            requested_s is not None
            and now_s > requested_s + self._settings.notice_s
        )

    def refuses_send(
        self, now_s: float, own_deadline_s: float, expected_s: float | None
    ) -> bool:
        """Whether a call must not be sent to a target any more.

        It is expected to take `expected_s` there, or nothing is known if that
        is None. The call itself must end by `own_deadline_s`.
        """
        deadline_s = self.response_deadline_s()
        if deadline_s is None or own_deadline_s <= deadline_s:
            return False
        if expected_s is None:
            return self.refuses(now_s) or now_s >= deadline_s
        return now_s + expected_s >= deadline_s

    def response_deadline_s(self) -> float | None:
        """Return the deadline of all calls; None without a shutdown."""
        if self._requested_s is None:
            return None
        settings = self._settings
        return self._requested_s + settings.grace_s - settings.answer_margin_s
