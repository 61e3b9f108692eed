"""The whole path in separate processes, from the operator to the engine."""

import json
import signal
import threading

from dandelionyoke_standins import answer_text
from tests.entry.fleet_case import FleetCase


def streamed_text(raw: bytes) -> str:
    """Join a whole stream's text; a stream without its end is an error."""
    *events, done, rest = raw.decode().split('\n\n')
    assert (done, rest) == ('data: [DONE]', ''), raw[-200:]
    chunks = [json.loads(one.removeprefix('data: ')) for one in events]
    return ''.join(chunk['choices'][0]['text'] for chunk in chunks)


class PathTest(FleetCase):
    """Requests through real entries to stand-ins and back."""

    def test_both_entries_answer_whole(self) -> None:
        for entry in (0, 1):
            prompt = f'question {entry}: answer 9 tokens'
            answer = self.call(
                '/v1/completions',
                {'model': 'ledger-lm', 'prompt': prompt},
                entry=entry,
            )
            choice = json.loads(answer.data)['choices'][0]
            self.assertEqual(answer_text(prompt, 64), choice['text'])

    def test_a_stream_brings_each_token_once_in_order(self) -> None:
        prompt = 'stream: answer 40 tokens'
        answer = self.call(
            '/v1/completions',
            {'model': 'crate-lm', 'prompt': prompt, 'stream': True},
        )
        self.assertEqual(answer_text(prompt, 64), streamed_text(answer.data))

    def test_tokens_come_as_they_are_made(self) -> None:
        """A driver watches an answer grow. What the engine has made reaches
        him at once, and is not held back until there is more of it."""
        address = self.fleet.entries[0].address
        body = {'model': 'crate-lm', 'stream': True}
        answer = self.http.request(
            'POST',
            f'{address}/v1/completions',
            json={**body, 'prompt': 'watched: answer 60 tokens'},
            headers={'Authorization': f'Bearer {self.keys.routes}'},
            preload_content=False,
        )
        first = answer.read1(65_536)
        while answer.read1(65_536):
            continue
        self.assertLess(first.count(b'data: '), 10)

    def test_a_confirmation_runs_once_through_both_entries(self) -> None:
        for entry in (0, 1, 0):
            answer = self.call(
                '/services/crate-ledger/confirm',
                {'returned': 4},
                entry=entry,
                Idempotency_Key='empties-17',
            )
            self.assertEqual({'runs': 1}, json.loads(answer.data))
        runs = self.fleet.get(
            f'{self.target_address("crate-ledger-0")}/standin/runs'
        )
        self.assertEqual(1, runs['runs']['empties-17'])

    def test_a_confirmation_without_its_key_names_the_remedy(self) -> None:
        answer = self.call('/services/crate-ledger/confirm', {'returned': 4})
        self.assertEqual(400, answer.status)
        self.assertIn('Idempotency-Key', json.loads(answer.data)['remedy'])

    def test_no_target_sees_a_callers_key(self) -> None:
        self.call(
            '/services/crate-ledger/confirm', {}, Idempotency_Key='key-check'
        )
        address = self.target_address('crate-ledger-0')
        record = json.dumps(self.fleet.get(f'{address}/standin/record'))
        self.assertNotIn(self.keys.routes, record)
        self.assertNotIn('"has_caller_key": true', record)


class ShutdownTest(FleetCase):
    """SIGTERM in the middle of a stream."""

    def test_sigterm_lets_a_stream_finish(self) -> None:
        """An operator replaces an entry while a driver reads a long answer.
        The driver must get it whole, and the process must end by itself."""
        prompt = 'long one: answer 90 tokens'
        got: list[bytes] = []
        caller = threading.Thread(
            target=lambda: got.append(
                self.call(
                    '/v1/completions',
                    {'model': 'crate-lm', 'prompt': prompt, 'stream': True},
                ).data
            )
        )
        caller.start()
        entry = self.fleet.entries[0]
        while not self.fleet.get(f'{entry.address}/status')['in_progress']:
            continue
        entry.signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(0, entry.wait())
        self.assertEqual(answer_text(prompt, 128), streamed_text(got[0]))
