"""Writes reports as one JSON object with stable field names."""

import json
from typing import Any, TextIO

from dandelionyoke_core import DandelionyokeError, record_to_json
from dandelionyoke_operator._errors import exit_status_of
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._reports import Report

INDENT = 2


class _JsonWriter:
    """Writer of JSON."""

    def write(self, report: Report, stream: TextIO) -> None:
        """Write the fields of a report and the exit status."""
        fields = json.loads(record_to_json(report))
        fields['exit_status'] = int(report.exit_status)
        _write_object(fields, stream)

    def write_error(self, error: DandelionyokeError, stream: TextIO) -> None:
        """Write the problem, the remedy, each mistake and the exit status."""
        mistakes: tuple[Any, ...] = ()
        if isinstance(error, ConfigurationMistakes):
            mistakes = error.mistakes
        _write_object(
            {
                'problem': error.problem,
                'remedy': error.remedy,
                'mistakes': json.loads(record_to_json(mistakes)),
                'exit_status': int(exit_status_of(error)),
            },
            stream,
        )


def _write_object(fields: dict[str, Any], stream: TextIO) -> None:
    stream.write(json.dumps(fields, indent=INDENT, sort_keys=True))
    stream.write('\n')


json_writer = _JsonWriter()
