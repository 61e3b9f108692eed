"""What every kind of output can do."""

from typing import Protocol, TextIO

from dandelionyoke_core import DandelionyokeError
from dandelionyoke_operator._reports import Report


class Writer(Protocol):
    """Writes one kind of output."""

    def write(self, report: Report, stream: TextIO) -> None:
        """Write what a command reports."""

    def write_error(self, error: DandelionyokeError, stream: TextIO) -> None:
        """Write why a command came to nothing."""
