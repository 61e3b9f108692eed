"""Killed and frozen processes, and outages, in a real deployment."""

import http.client
import json
import signal
import threading
import time
from collections.abc import Callable
from urllib.parse import urlsplit

import urllib3

from dandelionyoke_core import hash_key
from dandelionyoke_operator._exit_status import ExitStatus
from dandelionyoke_standins import answer_text
from scripts.fleet import Deployment, RunningProcess
from tests.entry.fleet_case import FleetCase
from tests.entry.test_path import streamed_text

AWAIT_TIMEOUT_S = 20.0
LONG_PROMPT = 'crates of the year {name}: answer 150 tokens'
CONFIRM = '/services/crate-ledger/confirm'


class FailureCase(FleetCase):
    """Shared steps of the failure tests."""

    def find_process(self, name: str) -> RunningProcess:
        """Return a process of the deployment by name."""
        return next(each for each in self.fleet.processes if each.name == name)

    def await_true(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true."""
        deadline_s = time.monotonic() + AWAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, condition)
            time.sleep(0.02)

    def start_stream(self, name: str) -> 'Stream':
        """Start a long stream and wait for its first bytes."""
        stream = Stream(self, LONG_PROMPT.format(name=name))
        self.await_true(lambda: stream.received != b'')
        return stream

    def start_streams(self, count: int, tokens: int) -> list['Stream']:
        """Start streams and wait until each has received something."""
        prompts = [
            f'{self.id()} {number}: answer {tokens} tokens'
            for number in range(count)
        ]
        streams = [Stream(self, prompt) for prompt in prompts]
        self.await_true(lambda: all(each.received for each in streams))
        return streams

    def assert_complete(self, *streams: 'Stream') -> None:
        """Check that every caller got the complete answer, each token once."""
        for stream in streams:
            text = streamed_text(stream.join())
            self.assertEqual(answer_text(stream.prompt, 1024), text)

    def engine_running(self, prompt: str) -> RunningProcess:
        """Return the engine that has an attempt in progress, by its record."""
        for each in self.fleet.processes:
            if each.kind == 'engine' and each.process.poll() is None:
                record = self.fleet.get(f'{each.address}/standin/record')
                if any(
                    attempt['end'] is None for attempt in record['attempts']
                ):
                    return each
        raise AssertionError(f'no engine runs {prompt!r}')


class Stream:
    """Caller that reads a stream in a separate thread."""

    def __init__(self, case: FleetCase, prompt: str) -> None:
        self.prompt = prompt
        self.received = b''
        self.error: Exception | None = None
        self._answer = case.http.request(
            'POST',
            f'{case.fleet.entries[0].address}/v1/completions',
            json={'model': 'crate-lm', 'prompt': prompt, 'stream': True},
            headers={'Authorization': f'Bearer {case.keys.routes}'},
            preload_content=False,
        )
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def join(self) -> bytes:
        """Wait for the end of the stream and return all data received."""
        self._thread.join(AWAIT_TIMEOUT_S)
        assert not self._thread.is_alive(), 'the stream did not end'
        return self.received

    def _read(self) -> None:
        try:
            while chunk := self._answer.read1(65_536):
                self.received += chunk
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.error = error


class EngineFailureTest(FailureCase):
    """Engines that crash or hang during a stream."""

    deployment = Deployment(engines={'route-assistant': 4})

    def test_a_stream_survives_a_killed_engine(self) -> None:
        """An engine crashes during a stream. The stream pauses and continues
        on another engine, without repeated tokens."""
        stream = self.start_stream('killed')
        self.engine_running(stream.prompt).process.kill()
        self.assert_complete(stream)

    def test_a_stream_survives_a_frozen_engine(self) -> None:
        """An engine stops without closing its connections, as when a
        machine hangs. The stream stalls and must continue on another
        engine."""
        stream = self.start_stream('frozen')
        engine = self.engine_running(stream.prompt)
        engine.signal(signal.SIGSTOP)
        self.addCleanup(engine.signal, signal.SIGCONT)
        self.assert_complete(stream)


class EntryFailureTest(FailureCase):
    """Failures of entries and the platform during a non-idempotent call."""

    deployment = Deployment(engines={'route-assistant': 1}, entries=3)

    def call_plain_standin(self, path: str, body: object = None) -> object:
        """Send a control request to the plain service's stand-in."""
        address = self.target_address('crate-ledger-0')
        if body is None:
            return self.fleet.get(f'{address}/standin/{path}')
        return self.fleet.post(f'{address}/standin/{path}', body)

    def run_count(self, key: str) -> int:
        """Return how often the plain service ran a call."""
        return self.call_plain_standin('runs')['runs'].get(key, 0)

    def test_a_call_runs_once_if_its_entry_is_killed(self) -> None:
        """An entry is killed after it has forwarded a non-idempotent call and
        before the answer. The caller retries through other entries. The call
        must not run a second time, and its outcome is reported as unknown."""
        self.call_plain_standin('faults', {'silent': True})
        key = 'killed-after-dispatch'
        killed = self.fleet.start_entry('entry-doomed', 'kurasini')
        self.fleet.await_targets()
        index = self.fleet.entries.index(killed)
        caller = threading.Thread(
            target=self.confirm_ignoring_errors, args=(index, key), daemon=True
        )
        caller.start()
        self.await_true(lambda: self.run_count(key) == 1)
        killed.process.kill()
        self.fleet.entries.remove(killed)
        self.call_plain_standin('faults', {'silent': False})
        for entry in (0, 1, 2):
            answer = self.call(CONFIRM, {}, entry=entry, Idempotency_Key=key)
            problem = json.loads(answer.data)
            self.assertIn(answer.status, {409, 504}, problem)
            self.assertEqual('unknown', problem['run'])
        self.assertEqual(1, self.run_count(key))

    def test_an_outage_of_the_store(self) -> None:
        """The platform's store is down for a while. Idempotent calls are still
        answered. A non-idempotent call is refused immediately and reported as
        not run, and runs once when the store is available again."""
        faults = f'{self.fleet.platform_url}/standin/faults'
        key = 'platform-out'
        self.fleet.post(faults, {'outage': True})
        refused = self.call(CONFIRM, {}, Idempotency_Key=key)
        asked = self.call(
            '/v1/completions',
            {'model': 'crate-lm', 'prompt': 'x: answer 3 tokens'},
        )
        self.fleet.post(faults, {'outage': False})
        self.assertEqual(503, refused.status, refused.data)
        self.assertEqual('no', json.loads(refused.data)['run'])
        self.assertIn('Retry-After', refused.headers)
        self.assertEqual(200, asked.status, asked.data)
        self.await_true(
            lambda: self.call(CONFIRM, {}, Idempotency_Key=key).status == 200
        )
        self.assertEqual(1, self.run_count(key))

    def test_a_lost_answer_to_a_claim(self) -> None:
        """The store accepts a claim and its answer is lost. The call must
        neither be refused forever because of its own claim nor run twice."""
        faults = f'{self.fleet.platform_url}/standin/faults'
        self.fleet.post(faults, {'lose_answers': 1, 'keys': 'once/'})
        key = 'lost-answer'
        answer = self.call(CONFIRM, {}, Idempotency_Key=key)
        self.assertEqual(200, answer.status, answer.data)
        self.assertEqual(1, self.run_count(key))

    def confirm_ignoring_errors(self, entry: int, key: str) -> None:
        """Send a confirmation and ignore a connection error."""
        try:
            self.call(CONFIRM, {}, entry=entry, Idempotency_Key=key)
        except urllib3.exceptions.HTTPError:
            return


class WithdrawalTest(FailureCase):
    """Withdrawal of a key while its caller is connected."""

    deployment = Deployment(engines={'route-assistant': 1})

    def test_a_withdrawn_key_ends_a_stream_and_is_refused_everywhere(
        self,
    ) -> None:
        """A key is withdrawn during a long stream. The stream ends within
        seconds, and every entry refuses the key, including one that was frozen
        at the time."""
        frozen = self.fleet.entries[1]
        # At 75 tokens per second the stream lasts longer than the bound below.
        [stream] = self.start_streams(1, 1000)
        frozen.signal(signal.SIGSTOP)
        started_s = time.monotonic()
        self.fleet.run_operator(
            'key',
            'withdraw',
            hash_key(self.keys.routes),
            '--reason',
            'stolen phone',
            '--wait',
            '0.5',
            statuses=(ExitStatus.NOT_EVERYWHERE,),
        )
        ended = stream.join()
        self.assertLess(time.monotonic() - started_s, 12)
        self.assertIn(b'"code": "withdrawn"', ended)
        frozen.signal(signal.SIGCONT)
        self.await_true(
            lambda: self.call('/v1/models', method='GET', entry=1).status == 401
        )
        self.assertEqual(401, self.call('/v1/models', method='GET').status)


class CallerDisconnectTest(FailureCase):
    """Callers that disconnect before their answer is complete."""

    deployment = Deployment(engines={'route-assistant': 1})

    def test_an_attempt_is_cancelled_when_its_caller_disconnects(self) -> None:
        """A caller disconnects during a long answer, streamed or not. The
        engine must cancel the attempt soon, since each further token uses
        capacity that other calls need."""
        for stream in (True, False):
            prompt = f'left {stream}: answer 1000 tokens'
            self.disconnect_midway(prompt, stream=stream)
            engine = self.find_process('route-assistant-0')
            record = f'{engine.address}/standin/record'
            self.await_true(
                lambda url=record: all(
                    attempt['end'] is not None
                    for attempt in self.fleet.get(url)['attempts']
                )
            )
            last = self.fleet.get(record)['attempts'][-1]
            self.assertLess(last['output_tokens'], 400)

    def disconnect_midway(self, prompt: str, *, stream: bool) -> None:
        """Send a request, wait until the engine runs it, and disconnect."""
        parts = urlsplit(self.fleet.entries[0].address)
        body = json.dumps(
            {
                'model': 'crate-lm',
                'prompt': prompt,
                'stream': stream,
                'max_tokens': 2000,
            }
        )
        connection = http.client.HTTPConnection(parts.hostname, parts.port)
        connection.request(
            'POST',
            '/v1/completions',
            body,
            {'Authorization': f'Bearer {self.keys.routes}'},
        )
        self.await_true(lambda: self.has_attempt_in_progress())
        connection.close()

    def has_attempt_in_progress(self) -> bool:
        """Return whether the engine has an attempt in progress."""
        address = self.find_process('route-assistant-0').address
        attempts = self.fleet.get(f'{address}/standin/record')['attempts']
        return any(attempt['end'] is None for attempt in attempts)
