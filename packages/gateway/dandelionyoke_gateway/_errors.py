"""How an exchange with a target or the store fails."""


class ExchangeError(Exception):
    """No whole answer came.

    `sent` is False only if no byte of the request left, so that it surely
    did not run.
    """

    def __init__(self, cause: str, *, sent: bool) -> None:
        super().__init__(cause)
        self.cause = cause
        self.sent = sent


class ExchangeTimeoutError(ExchangeError):
    """The time for the exchange was over before the answer was whole."""


class CallerError(Exception):
    """A caller's bytes are no proper request; `status` says how it is told."""

    def __init__(self, cause: str, status: int) -> None:
        super().__init__(cause)
        self.cause = cause
        self.status = status


class CallerLeftError(Exception):
    """The caller's connection ended."""
