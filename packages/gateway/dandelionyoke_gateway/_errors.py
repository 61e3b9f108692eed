"""Errors of exchanges with targets, the store and callers."""


class ExchangeError(Exception):
    """No complete response was received.

    `sent` is False only if no byte of the request was sent, so that the
    request certainly did not run.
    """

    def __init__(self, cause: str, *, sent: bool) -> None:
        super().__init__(cause)
        self.cause = cause
        self.sent = sent


class ExchangeTimeoutError(ExchangeError):
    """The exchange timed out before the response was complete."""


class AddressError(Exception):
    """The gateway cannot listen on an address of its settings."""

    def __init__(self, address: str, cause: OSError) -> None:
        super().__init__(
            f'Cannot listen on {address}: {cause.strerror}. Stop the process '
            'that uses the address, or set another one in the settings.'
        )


class InvalidRequestError(Exception):
    """A caller sent an invalid request; `status` is the response status."""

    def __init__(
        self, cause: str, status: int, retry_after_s: float | None = None
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.status = status
        self.retry_after_s = retry_after_s


class CallerDisconnectedError(Exception):
    """The caller closed its connection, or it broke."""
