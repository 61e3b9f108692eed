"""A record on disk that outlives the stand-in it is about.

A check of what a killed process has seen can't ask that process.
"""

import pathlib
from typing import Any

from dandelionyoke_standins._json import encode


class RecordFile:
    """Appends one JSON object a line; several processes may share it."""

    def __init__(self, path: str, engine_id: str, incarnation: str) -> None:
        self._path = pathlib.Path(path) if path else None
        self._engine_id = engine_id
        self._incarnation = incarnation

    def write(self, kind: str, record: Any) -> None:
        """Append a record, if there is a file."""
        if self._path is None:
            return
        line = {
            'engine_id': self._engine_id,
            'incarnation': self._incarnation,
            'kind': kind,
            'record': record,
        }
        with self._path.open('ab', buffering=0) as log:
            log.write(encode(line) + b'\n')
