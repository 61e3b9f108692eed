"""End-to-end requests through separate processes."""

import json
import signal
import threading

from dandelionyoke_standins import answer_text
from tests.entry.fleet_case import FleetCase


def streamed_text(raw: bytes) -> str:
    """Return the text of a complete stream; fail if its end is missing."""
    *events, done, after_done = raw.decode().split('\n\n')
    assert (done, after_done) == ('data: [DONE]', ''), raw[-200:]
    chunks = [json.loads(event.removeprefix('data: ')) for event in events]
    return ''.join(chunk['choices'][0]['text'] for chunk in chunks)


class PathTest(FleetCase):
    """Requests through real entries to stand-ins."""

    def test_both_entries_return_complete_answers(self) -> None:
        for entry in (0, 1):
            prompt = f'question {entry}: answer 9 tokens'
            answer = self.call(
                '/v1/completions',
                {'model': 'ledger-lm', 'prompt': prompt},
                entry=entry,
            )
            choice = json.loads(answer.data)['choices'][0]
            self.assertEqual(answer_text(prompt, 64), choice['text'])

    def test_a_stream_has_each_token_once_in_order(self) -> None:
        prompt = 'stream: answer 40 tokens'
        answer = self.call(
            '/v1/completions',
            {'model': 'crate-lm', 'prompt': prompt, 'stream': True},
        )
        self.assertEqual(answer_text(prompt, 64), streamed_text(answer.data))

    def test_tokens_are_forwarded_immediately(self) -> None:
        """Tokens of a stream are forwarded immediately, and not buffered
        until there are more of them."""
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

    def test_a_call_with_the_same_key_runs_once_across_entries(self) -> None:
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

    def test_a_call_without_idempotency_key_is_refused_with_a_remedy(
        self,
    ) -> None:
        answer = self.call('/services/crate-ledger/confirm', {'returned': 4})
        self.assertEqual(400, answer.status)
        self.assertIn('Idempotency-Key', json.loads(answer.data)['remedy'])

    def test_targets_do_not_receive_the_api_key(self) -> None:
        self.call(
            '/services/crate-ledger/confirm', {}, Idempotency_Key='key-check'
        )
        address = self.target_address('crate-ledger-0')
        record = json.dumps(self.fleet.get(f'{address}/standin/record'))
        self.assertNotIn(self.keys.routes, record)
        self.assertNotIn('"has_caller_key": true', record)


class ShutdownTest(FleetCase):
    """SIGTERM during a stream."""

    def test_a_stream_completes_after_sigterm(self) -> None:
        """An entry is shut down during a long stream. The caller must get the
        complete answer, and the process must end by itself."""
        prompt = 'long one: answer 90 tokens'
        received: list[bytes] = []
        caller = threading.Thread(
            target=lambda: received.append(
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
        self.assertEqual(answer_text(prompt, 128), streamed_text(received[0]))
