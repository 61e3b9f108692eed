"""Errors of the stand-ins and their HTTP statuses."""

from typing import Any


class StandinError(Exception):
    """A call that a stand-in answers with an error status and a JSON body."""

    status = 500

    def __init__(self, **answer: Any) -> None:
        super().__init__(str(answer))
        self.answer = answer


class BadCallError(StandinError):
    """A field of the call is missing or has the wrong type."""

    status = 400


class MissingError(StandinError):
    """The named resource does not exist or has expired."""

    status = 404


class ConflictError(StandinError):
    """The key is at another revision; read it again before a retry."""

    status = 409


class GoneError(StandinError):
    """The store does not have the revision; list the keys again."""

    status = 410


class TooLargeError(StandinError):
    """The value exceeds the size limit; split it over several keys."""

    status = 413


class RateLimitError(StandinError):
    """The rate limit of this second is used up; retry in the next."""

    status = 429


class NotRunError(StandinError):
    """The target did not run the call; retry later or on another target."""

    status = 503


class OutageError(StandinError):
    """The platform is unavailable; retry later."""

    status = 503


class LostAnswerError(StandinError):
    """The call took effect, but the connection closes without an answer."""
