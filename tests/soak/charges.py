"""Checks that nodes charge each repeat of a call before they send it."""

import json
import pathlib
from collections import Counter
from collections.abc import Iterator

from tests.soak.record import SoakRecord


def read_charges(folder: str, record: SoakRecord) -> None:
    """Read from the logs of the nodes what they charged, and lines left out."""
    for log in pathlib.Path(folder).glob('log-*'):
        for text in log.read_text(errors='replace').splitlines():
            _read_line(text, record)


def _read_line(text: str, record: SoakRecord) -> None:
    try:
        line = json.loads(text)
    except ValueError:
        # The last line of a node that was killed, or no line of the log.
        return
    if not isinstance(line, dict):
        return
    record.left_out_lines += line.get('left_out', 0)
    is_charge = line.get('message_type') == 'retry.charged'
    if is_charge and line['outcome'] == 'allowed':
        record.charges[line['subject']] += line['sends']


def check_charges(record: SoakRecord) -> Iterator[str]:
    """Check that no attempt has more repeats than were charged for it."""
    missing = {
        attempt_id: count - record.charges[attempt_id]
        for attempt_id, count in count_repeats(record).items()
        if count > record.charges[attempt_id]
    }
    if sum(missing.values()) <= record.left_out_lines:
        return
    for attempt_id, count in missing.items():
        yield f'UNCHARGED {attempt_id}: {count} repeats'


def count_repeats(record: SoakRecord) -> Counter[str]:
    """Count the requests of each attempt beyond its first one.

    The first prefill that a target accepts does not count.
    """
    arrivals: Counter[str] = Counter()
    prefilled: set[str] = set()
    for arrival in record.arrivals:
        attempt_id = arrival.attempt_id
        if not attempt_id:
            # A report, an order or the release of a KV cache.
            continue
        if arrival.is_free and attempt_id not in prefilled:
            prefilled.add(attempt_id)
        else:
            arrivals[attempt_id] += 1
    return Counter(
        {
            attempt_id: count - 1
            for attempt_id, count in arrivals.items()
            if count > 1
        }
    )
