"""The lines of nodes' logs that are about one request."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

# What a log line says of itself, apart from the decision's inputs.
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
    """One fact that a decision rested on."""

    name: str
    text: str


@attrs.frozen
class DecisionLine:
    """A decision about a request, as a node wrote it.

    `left_out` is how many lines the node left out right before this one.
    """

    at_s: float
    instance_id: str
    decision: str
    outcome: str
    cause: str
    inputs: tuple[Input, ...]
    left_out: int


def find_decisions(logs: Iterable[str], request_id: str) -> list[DecisionLine]:
    """Find a request's lines in the logs of any nodes, in order of time.

    Lines that are not JSON are passed over: a log may begin in the middle of
    a line, and other programs may write to the same stream.
    """
    found = [
        _decision(fields)
        for fields in _json_objects(logs)
        if fields.get('subject') == request_id
    ]
    return sorted(found, key=lambda line: line.at_s)


def _json_objects(logs: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in logs:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield fields


def _decision(fields: dict[str, Any]) -> DecisionLine:
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
