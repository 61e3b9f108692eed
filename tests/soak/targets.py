"""Targets that answer by attempt, record each run, and misbehave."""

import json
from collections.abc import Iterator
from random import Random

from dandelionyoke_gateway import clock_s
from tests.platform.path import Piece, ScriptedTarget, Seen, answer, chunk
from tests.platform.store_standin import StoreStandin
from tests.soak.promises import EVENTS, body_of, event_of
from tests.soak.record import Run, SoakRecord

PLAIN_S = 0.03
PREFILL_S = 0.05
EVENT_S = 0.02
SLOTS = 8


class SoakTarget:
    """One target and its entry in the registry.

    `trouble` is what it does to a share of the calls that it gets: `refuse`
    says that a call was not run, `lose` resets after it ran, `extra` adds
    bytes behind a whole answer, `break` ends a stream within an event.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        phase: str | None,
        record: SoakRecord,
        store: StoreStandin,
        random: Random,
    ) -> None:
        self.target_id = target_id
        self._service = service
        self._phase = phase
        self._record = record
        self._store = store
        self._random = random
        self.trouble = ''
        self._state = 'ready'
        self._handles: set[str] = set()
        self.server = ScriptedTarget(self._serve)
        self.address = self.server.address

    def register(self, address: str) -> None:
        """Enter it in the registry, reached at a relay's address."""
        self.address = address
        self.beat()

    def beat(self) -> None:
        """Write the entry again."""
        entry = {
            'service': self._service,
            'address': self.address,
            'zone': 'a',
            'slots': SLOTS,
            'state': self._state,
        }
        if self._phase is not None:
            entry['phase'] = self._phase
        self._store.put(f'servers/{self.target_id}', json.dumps(entry))

    def leave(self) -> None:
        """Say in the registry that it takes no more work."""
        self._state = 'draining'
        self.beat()
        self._record.leaving[self.target_id] = clock_s()

    def come_back(self) -> None:
        """Take work again, as a new start would."""
        self._state = 'ready'
        self._record.leaving.pop(self.target_id, None)
        self.beat()

    def _serve(self, seen: Seen) -> Iterator[Piece]:
        attempt_id = seen.headers.get('attempt-id', '')
        path = seen.line.split(' ')[1]
        if path.startswith('/-/'):
            yield answer('200 OK', b'{}', '')
            return
        if self._does('refuse') or (
            seen.headers.get('target-instance') != self.target_id
        ):
            yield answer('503 Busy', b'', 'Not-Executed: 1\r\n')
            return
        if seen.headers.get('serving-phase') == 'prefill':
            yield from self._prefill(attempt_id)
            return
        last = int(seen.headers.get('last-event-id', '0'))
        self._record.runs.append(
            Run(
                attempt_id,
                self.target_id,
                seen.headers.get('tenant', ''),
                'x-api-key' in seen.headers,
                clock_s(),
                last + 1,
            )
        )
        if self._phase is None:
            yield from self._plain(attempt_id)
        else:
            yield from self._stream(attempt_id, last)

    def _prefill(self, attempt_id: str) -> Iterator[Piece]:
        yield PREFILL_S
        handle = json.dumps(
            {'kv_handle': f'h{attempt_id}', 'tokens': 9, 'version': 1}
        )
        yield answer('200 OK', handle.encode(), _signed(attempt_id))

    def _plain(self, attempt_id: str) -> Iterator[Piece]:
        yield PLAIN_S
        if self._does('lose'):
            yield None
            return
        whole = answer('200 OK', body_of(attempt_id), _signed(attempt_id))
        yield whole + (b'HTTP/1.1 200 OK\r\n' if self._does('extra') else b'')

    def _stream(self, attempt_id: str, last: int) -> Iterator[Piece]:
        yield EVENT_S
        yield (
            f'HTTP/1.1 200 OK\r\n{_signed(attempt_id)}'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        for number in range(last + 1, EVENTS + 1):
            event = event_of(attempt_id, number)
            if self._does('break'):
                yield chunk(event[: len(event) // 2])
                yield None
                return
            yield chunk(event)
            yield EVENT_S
        yield chunk(b'')

    def _does(self, trouble: str) -> bool:
        return self.trouble == trouble and self._random.random() < 0.3


def _signed(attempt_id: str) -> str:
    return f'Response-Signature: s-{attempt_id}\r\nAttempt-Id: {attempt_id}\r\n'
