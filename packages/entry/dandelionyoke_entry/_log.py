"""Writes the core's log records as JSON lines with eliot.

The records of a request form one eliot action, from its admission to its
end, under the request id. The log thereby shows how a request was routed and
why.
"""

from collections import OrderedDict
from typing import TextIO

from eliot import (
    Action,
    FileDestination,
    add_destinations,
    log_message,
    start_task,
)

from dandelionyoke_core import InstanceId, WriteLog

FIRST_REQUEST_EVENT = 'request.admitted'
LAST_REQUEST_EVENTS = frozenset(('request.finished', 'request.refused'))
REQUEST_ACTION = 'request'

# Bounds the memory for requests that never log their end.
MAX_OPEN_ACTIONS = 8192


class JsonLog:
    """Writes records to a stream as JSON lines."""

    def __init__(self, stream: TextIO, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._open_actions: OrderedDict[str, Action] = OrderedDict()
        add_destinations(FileDestination(file=stream))

    def write(self, record: WriteLog) -> None:
        """Write one record."""
        if record.kind == FIRST_REQUEST_EVENT:
            self._start_action(record.subject)
        action = self._open_actions.get(record.subject)
        if action is None:
            self._write_message(record)
            return
        with action.context():
            self._write_message(record)
        if record.kind in LAST_REQUEST_EVENTS:
            self._open_actions.pop(record.subject).finish()

    def _start_action(self, request_id: str) -> None:
        if len(self._open_actions) >= MAX_OPEN_ACTIONS:
            _, oldest = self._open_actions.popitem(last=False)
            oldest.finish()
        self._open_actions[request_id] = start_task(
            action_type=REQUEST_ACTION,
            request_id=request_id,
            instance_id=self._instance_id,
        )

    def _write_message(self, record: WriteLog) -> None:
        log_message(
            message_type=record.kind,
            instance_id=self._instance_id,
            subject=record.subject,
            detail=record.detail,
            cause=record.cause,
        )
