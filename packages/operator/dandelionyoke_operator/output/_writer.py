"""Interface of the output formats."""

from typing import Protocol, TextIO

from dandelionyoke_core import DandelionyokeError
from dandelionyoke_operator._reports import Report


class Writer(Protocol):
    """Writer of reports and errors in one format."""

    def write(self, report: Report, stream: TextIO) -> None:
        """Write the report of a command."""

    def write_error(self, error: DandelionyokeError, stream: TextIO) -> None:
        """Write the error that ended a command."""
