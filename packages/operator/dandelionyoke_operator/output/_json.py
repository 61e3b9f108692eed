"""Reports as JSON: one object, with stable names."""

import json
from typing import Any, TextIO

from dandelionyoke_core import DandelionyokeError, record_to_json
from dandelionyoke_operator._errors import exit_status_of
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._reports import Report

INDENT = 2


class _JsonWriter:
    """Writes JSON."""

    def write(self, report: Report, stream: TextIO) -> None:
        """Write a report's fields and how the program ends."""
        fields = json.loads(record_to_json(report))
        fields['exit_status'] = int(report.exit_status)
        _dump(fields, stream)

    def write_error(self, error: DandelionyokeError, stream: TextIO) -> None:
        """Write the problem, the remedy and each mistake."""
        mistakes: tuple[Any, ...] = ()
        if isinstance(error, ConfigurationMistakes):
            mistakes = error.mistakes
        _dump(
            {
                'problem': error.problem,
                'remedy': error.remedy,
                'mistakes': json.loads(record_to_json(mistakes)),
                'exit_status': int(exit_status_of(error)),
            },
            stream,
        )


def _dump(fields: dict[str, Any], stream: TextIO) -> None:
    stream.write(json.dumps(fields, indent=INDENT, sort_keys=True))
    stream.write('\n')


json_writer = _JsonWriter()
