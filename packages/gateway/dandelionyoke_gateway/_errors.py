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


class AddressError(Exception):
    """The gateway cannot listen on an address of its settings."""

    def __init__(self, address: str, cause: OSError) -> None:
        super().__init__(
            f'Cannot listen on {address}: {cause.strerror}. End the process '
            'that holds the address, or name another one in the settings.'
        )


class InvalidRequestError(Exception):
    """A caller's bytes are no proper request; `status` says how it is told."""

    def __init__(self, cause: str, status: int) -> None:
        super().__init__(cause)
        self.cause = cause
        self.status = status


class CallerDisconnectedError(Exception):
    """The caller's connection ended."""
