"""What a stand-in refuses, and the HTTP status that tells it."""

from typing import Any


class StandinError(Exception):
    """A call that a stand-in answers with an error status."""

    status = 500

    def __init__(self, **answer: Any) -> None:
        super().__init__(str(answer))
        self.answer = answer


class BadCallError(StandinError):
    """The call lacks a field or holds one of the wrong kind; correct it."""

    status = 400


class MissingError(StandinError):
    """What the call names does not exist (any more)."""

    status = 404


class ConflictError(StandinError):
    """The key has another revision; read it and decide again."""

    status = 409


class TooLargeError(StandinError):
    """The value is over the size limit; split it over several keys."""

    status = 413


class RateLimitError(StandinError):
    """Too many calls in this second; call again in the next."""

    status = 429


class NotRunError(StandinError):
    """The target did not run the call; send it elsewhere or later."""

    status = 503


class OutageError(StandinError):
    """The platform is unavailable; call again later."""

    status = 503


class LostAnswerError(StandinError):
    """The call took effect, and its connection ends without an answer."""
