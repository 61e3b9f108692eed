"""Writes reports as plain text."""

import functools
from collections.abc import Iterator
from typing import TextIO

from dandelionyoke_core import DandelionyokeError
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._reports import (
    CheckReport,
    CommitReport,
    ConflictReport,
    ExplainReport,
    HistoryReport,
    KeyReport,
    PlanReport,
    Report,
    ShowReport,
    StatusReport,
)
from dandelionyoke_operator.output._audit_trail import change_lines
from dandelionyoke_operator.output._difference import (
    count_differences,
    difference_lines,
)
from dandelionyoke_operator.output._rollout import (
    rollout_lines,
    status_lines,
)

MILLISECONDS = 1000
INPUT_INDENT = ' ' * 13


class _TextWriter:
    """Writer of plain text."""

    def write(self, report: Report, stream: TextIO) -> None:
        """Write the report of a command."""
        for line in report_lines(report):
            stream.write(f'{line}\n')

    def write_error(self, error: DandelionyokeError, stream: TextIO) -> None:
        """Write the problem and the remedy, or each mistake."""
        if isinstance(error, ConfigurationMistakes):
            stream.write(f'error: {error}\n')
            return
        stream.write(f'error: {error.problem}.\n')
        stream.write(f'remedy: {error.remedy}.\n')


@functools.singledispatch
def report_lines(report: Report) -> Iterator[str]:
    """Yield the lines of a report."""
    raise TypeError(f'{type(report).__name__} has no text format')


@report_lines.register
def _check(report: CheckReport) -> Iterator[str]:
    yield (
        f'The configuration is right: organisations {report.organisations}, '
        f'keys {report.keys}, services {report.services}, '
        f'models {report.models}.'
    )


@report_lines.register
def _show(report: ShowReport) -> Iterator[str]:
    yield report.text.rstrip('\n')


@report_lines.register
def _plan(report: PlanReport) -> Iterator[str]:
    if not report.differences:
        yield f'No difference from revision {report.base_revision}.'
        return
    yield f'Against revision {report.base_revision}:'
    yield from difference_lines(report.differences)
    yield count_differences(report.differences)
    if report.file_revision not in {None, report.base_revision}:
        yield (
            f'The file was written against revision {report.file_revision}; '
            '`apply` will refuse it.'
        )


@report_lines.register
def _commit(report: CommitReport) -> Iterator[str]:
    if report.rollout is None:
        yield f'No difference from revision {report.revision}.'
        return
    yield f'Revision {report.revision}:'
    yield from difference_lines(report.differences)
    yield from rollout_lines(report.rollout)


@report_lines.register
def _key(report: KeyReport) -> Iterator[str]:
    yield f'key: {report.key}'
    yield f'hash: {report.key_hash}'
    yield 'The key is shown only this once; the store keeps its hash.'
    yield from _commit(report.commit)


@report_lines.register
def _conflict(report: ConflictReport) -> Iterator[str]:
    yield (
        f'Nothing was changed: revision {report.present_revision} is in '
        f'force, and this was written against {report.base_revision}.'
    )
    yield 'What changed since:'
    for change in report.changes_since:
        yield from change_lines(change)
    yield 'Print the configuration with `show`, edit that and apply it.'


@report_lines.register
def _history(report: HistoryReport) -> Iterator[str]:
    if not report.changes:
        yield 'No change matches.'
    for change in report.changes:
        yield from change_lines(change)


@report_lines.register
def _status(report: StatusReport) -> Iterator[str]:
    yield from status_lines(report.rollout)


@report_lines.register
def _explain(report: ExplainReport) -> Iterator[str]:
    if not report.lines:
        yield (
            f'Nothing about {report.request_id} in these logs. Take those of '
            'all entries in the domain, from before the request on.'
        )
        return
    start_s = report.lines[0].at_s
    for line in report.lines:
        elapsed_ms = (line.at_s - start_s) * MILLISECONDS
        columns = [f'{elapsed_ms:8.1f} ms', line.instance_id, line.decision]
        columns.extend(filter(None, (line.outcome, line.cause)))
        yield '  '.join(columns)
        inputs = ', '.join(
            f'{decision_input.name} {decision_input.text}'
            for decision_input in line.inputs
        )
        if inputs:
            yield f'{INPUT_INDENT}{inputs}'
        if line.left_out:
            yield f'{INPUT_INDENT}({line.left_out} lines left out before)'


text_writer = _TextWriter()
