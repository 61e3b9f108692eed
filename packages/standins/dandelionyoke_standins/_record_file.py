"""A record file that remains after the stand-in has ended.

It lets a test check what a killed process received.
"""

import pathlib
from typing import Any

from dandelionyoke_standins._json import encode


class RecordFile:
    """Appends one JSON object per line; several processes may share a file."""

    def __init__(self, path: str, engine_id: str, incarnation: str) -> None:
        self._path = pathlib.Path(path) if path else None
        self._engine_id = engine_id
        self._incarnation = incarnation

    def write(self, kind: str, record: Any) -> None:
        """Append a record, if a file is configured."""
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
