"""Errors of the operator's program and their exit statuses."""

from typing import ClassVar

from dandelionyoke_core import (
    ConfigurationError,
    DandelionyokeError,
    SettingsError,
)
from dandelionyoke_operator._exit_status import ExitStatus


class OperatorError(DandelionyokeError):
    """Base of the errors that end a command."""

    status: ClassVar[ExitStatus] = ExitStatus.INTERNAL


class UsageError(OperatorError):
    """An argument, option or setting is missing or invalid."""

    status = ExitStatus.USAGE


class InvalidError(OperatorError):
    """The request does not match the configuration."""

    status = ExitStatus.INVALID


class UnavailableError(OperatorError):
    """The platform did not answer; nothing was changed."""

    status = ExitStatus.UNAVAILABLE


class UnknownOutcomeError(OperatorError):
    """The outcome of a change is unknown."""

    status = ExitStatus.UNSETTLED


def exit_status_of(error: DandelionyokeError) -> ExitStatus:
    """Return the exit status for an error."""
    if isinstance(error, OperatorError):
        return error.status
    if isinstance(error, ConfigurationError):
        return ExitStatus.INVALID
    if isinstance(error, SettingsError):
        return ExitStatus.USAGE
    return ExitStatus.INTERNAL
