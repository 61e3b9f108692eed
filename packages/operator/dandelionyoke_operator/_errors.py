"""What the operator's program raises, each kind with its exit status."""

from typing import ClassVar

from dandelionyoke_core import (
    ConfigurationError,
    DandelionyokeError,
    SettingsError,
)
from dandelionyoke_operator._exit_status import ExitStatus


class OperatorError(DandelionyokeError):
    """Base of what ends a command."""

    status: ClassVar[ExitStatus] = ExitStatus.INTERNAL


class UsageError(OperatorError):
    """An argument, an option or a setting is missing or wrong."""

    status = ExitStatus.USAGE


class InvalidError(OperatorError):
    """What is asked for does not fit the configuration."""

    status = ExitStatus.INVALID


class UnavailableError(OperatorError):
    """The platform gave no answer; nothing was changed."""

    status = ExitStatus.UNAVAILABLE


class UnknownOutcomeError(OperatorError):
    """It is not known whether a change took effect."""

    status = ExitStatus.UNSETTLED


def exit_status_of(error: DandelionyokeError) -> ExitStatus:
    """Tell the exit status that an error ends the program with."""
    if isinstance(error, OperatorError):
        return error.status
    if isinstance(error, ConfigurationError):
        return ExitStatus.INVALID
    if isinstance(error, SettingsError):
        return ExitStatus.USAGE
    return ExitStatus.INTERNAL
