"""Kills, freezes and outages against real processes."""

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
        """Find a process of the deployment."""
        return next(one for one in self.fleet.processes if one.name == name)

    def await_true(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
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
        """Start streams, and wait until each has brought something."""
        prompts = [
            f'{self.id()} {number}: answer {tokens} tokens'
            for number in range(count)
        ]
        streams = [Stream(self, prompt) for prompt in prompts]
        self.await_true(lambda: all(one.received for one in streams))
        return streams

    def assert_complete(self, *streams: 'Stream') -> None:
        """Every caller got the whole answer, each token once."""
        for stream in streams:
            text = streamed_text(stream.join())
            self.assertEqual(answer_text(stream.prompt, 1024), text)

    def engine_running(self, prompt: str) -> RunningProcess:
        """Find the engine that runs a prompt, by its own record."""
        for one in self.fleet.processes:
            if one.kind == 'engine' and one.process.poll() is None:
                record = self.fleet.get(f'{one.address}/standin/record')
                if any(
                    attempt['end'] is None for attempt in record['attempts']
                ):
                    return one
        raise AssertionError(f'nobody runs {prompt!r}')


class Stream:
    """A caller that reads a stream in a thread of its own."""

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
        """Wait for the end; return all that came."""
        self._thread.join(AWAIT_TIMEOUT_S)
        assert not self._thread.is_alive(), 'the stream never ended'
        return self.received

    def _read(self) -> None:
        try:
            while piece := self._answer.read1(65_536):
                self.received += piece
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.error = error


class EngineFailureTest(FailureCase):
    """Engines that die or freeze under a stream."""

    deployment = Deployment(engines={'route-assistant': 4})

    def test_an_engine_killed_halfway(self) -> None:
        """An engine crashes while a driver reads an answer from it. The
        driver sees a pause and then the rest, nothing twice."""
        stream = self.start_stream('killed')
        self.engine_running(stream.prompt).process.kill()
        self.assert_complete(stream)

    def test_an_engine_frozen_halfway(self) -> None:
        """An engine stops without closing its connections, as when a
        machine hangs. The stream goes silent, and must go on elsewhere."""
        stream = self.start_stream('frozen')
        engine = self.engine_running(stream.prompt)
        engine.signal(signal.SIGSTOP)
        self.addCleanup(engine.signal, signal.SIGCONT)
        self.assert_complete(stream)


class EntryFailureTest(FailureCase):
    """Entries and the platform that fail around a confirmation."""

    deployment = Deployment(engines={'route-assistant': 1}, entries=3)

    def call_plain_standin(self, path: str, body: object = None) -> object:
        """Ask the plain service's stand-in."""
        address = self.target_address('crate-ledger-0')
        if body is None:
            return self.fleet.get(f'{address}/standin/{path}')
        return self.fleet.post(f'{address}/standin/{path}', body)

    def run_count(self, key: str) -> int:
        """Count the runs of a call at the plain service."""
        return self.call_plain_standin('runs')['runs'].get(key, 0)

    def test_an_entry_killed_after_dispatch(self) -> None:
        """A salesman confirms empties; the entry dies before the answer is
        back. He sends the confirmation again through another entry. It must
        not run a second time, and he is told that its end is not known."""
        self.call_plain_standin('faults', {'silent': True})
        key = 'killed-after-dispatch'
        doomed = self.fleet.start_entry('entry-doomed', 'kurasini')
        self.fleet.await_targets()
        index = self.fleet.entries.index(doomed)
        caller = threading.Thread(
            target=self.confirm_ignoring_errors, args=(index, key), daemon=True
        )
        caller.start()
        self.await_true(lambda: self.run_count(key) == 1)
        doomed.process.kill()
        self.fleet.entries.remove(doomed)
        self.call_plain_standin('faults', {'silent': False})
        for entry in (0, 1, 2):
            answer = self.call(CONFIRM, {}, entry=entry, Idempotency_Key=key)
            problem = json.loads(answer.data)
            self.assertIn(answer.status, {409, 504}, problem)
            self.assertEqual('unknown', problem['run'])
        self.assertEqual(1, self.run_count(key))

    def test_the_platform_out(self) -> None:
        """The platform's store is down for a while. Questions are answered
        on; a confirmation is refused at once, truthfully as not run, and
        runs once when the store is back."""
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

    def test_a_lost_answer_of_the_store(self) -> None:
        """The store takes a claim and its answer is lost. The call must
        neither be refused for good by its own claim nor run twice."""
        faults = f'{self.fleet.platform_url}/standin/faults'
        self.fleet.post(faults, {'lose_answers': 1, 'keys': 'once/'})
        key = 'lost-answer'
        answer = self.call(CONFIRM, {}, Idempotency_Key=key)
        self.assertEqual(200, answer.status, answer.data)
        self.assertEqual(1, self.run_count(key))

    def confirm_ignoring_errors(self, entry: int, key: str) -> None:
        """Confirm, and expect no answer."""
        try:
            self.call(CONFIRM, {}, entry=entry, Idempotency_Key=key)
        except urllib3.exceptions.HTTPError:
            return


class WithdrawalTest(FailureCase):
    """A key that is withdrawn while its caller is connected."""

    deployment = Deployment(engines={'route-assistant': 1})

    def test_a_key_withdrawn_in_a_stream_and_under_a_frozen_entry(self) -> None:
        """A phone is stolen while a long answer runs. The operator withdraws
        its key: the answer ends within seconds, and the key is refused at
        every entry, also at one that was frozen meanwhile."""
        frozen = self.fleet.entries[1]
        # At its pace of 75 tokens a second it outlasts the bound below.
        [stream] = self.start_streams(1, 1000)
        frozen.signal(signal.SIGSTOP)
        begun_s = time.monotonic()
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
        self.assertLess(time.monotonic() - begun_s, 12)
        self.assertIn(b'"code": "withdrawn"', ended)
        frozen.signal(signal.SIGCONT)
        self.await_true(
            lambda: self.call('/v1/models', method='GET', entry=1).status == 401
        )
        self.assertEqual(401, self.call('/v1/models', method='GET').status)


class CallerDisconnectTest(FailureCase):
    """Callers that leave before their answer is whole."""

    deployment = Deployment(engines={'route-assistant': 1})

    def test_work_for_a_caller_that_left_is_ended(self) -> None:
        """A driver loses his network halfway through a long answer. Nobody
        reads the rest, streamed or not; the engine must not go on with it
        for long, since each token costs and holds up others."""
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
        """Ask, wait until the engine works, and close the connection."""
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
        """Whether the engine has an attempt in progress."""
        address = self.find_process('route-assistant-0').address
        attempts = self.fleet.get(f'{address}/standin/record')['attempts']
        return any(attempt['end'] is None for attempt in attempts)
