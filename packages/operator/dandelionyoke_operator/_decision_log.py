"""Reads the decisions about one request from the logs of nodes."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from dandelionyoke_core import parse_json

# Fields of each log line that are not inputs of the decision.
_STANDARD_FIELDS = frozenset(
    (
        'cause',
        'instance_id',
        'left_out',
        'message_type',
        'outcome',
        'subject',
        'task_level',
        'task_uuid',
        'timestamp',
    )
)


@attrs.frozen
class Input:
    """Input of a decision, as a field name and its text."""

    name: str
    text: str


@attrs.frozen
class DecisionLine:
    """Decision about a request, as logged by a node.

    `left_out` is the number of lines that the node dropped immediately
    before this one.
    """

    at_s: float
    instance_id: str
    decision: str
    outcome: str
    cause: str
    inputs: tuple[Input, ...]
    left_out: int


def find_decisions(logs: Iterable[str], request_id: str) -> list[DecisionLine]:
    """Return the decisions about a request, sorted by time.

    The lines may come from several nodes. Lines that are not JSON are
    skipped: a log may begin in the middle of a line, and other programs may
    write to the same stream.
    """
    decisions = [
        _parse_decision(fields)
        for fields in _json_objects(logs)
        if fields.get('subject') == request_id
    ]
    return sorted(decisions, key=lambda line: line.at_s)


def _json_objects(logs: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in logs:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = parse_json(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield fields


def _parse_decision(fields: dict[str, Any]) -> DecisionLine:
    inputs = tuple(
        Input(name, str(fields[name]))
        for name in sorted(fields)
        if name not in _STANDARD_FIELDS and fields[name] not in {None, ''}
    )
    return DecisionLine(
        at_s=float(fields.get('timestamp', 0)),
        instance_id=str(fields.get('instance_id', '')),
        decision=str(fields.get('message_type', '')),
        outcome=str(fields.get('outcome', '')),
        cause=str(fields.get('cause', '')),
        inputs=inputs,
        left_out=int(fields.get('left_out', 0)),
    )
