"""Calls with the OpenAI client library, and invalid input."""

import json
import socket
from urllib.parse import urlsplit

import openai

from dandelionyoke_core import hash_key
from dandelionyoke_operator import ApiKey, Configuration, Organisation
from dandelionyoke_standins import answer_text
from scripts.demo_configuration import demo_configuration
from scripts.fleet import Deployment
from tests.entry.fleet_case import TIMEOUT_S, FleetCase

PROMPT = 'crate history of duka-la-juma: answer 12 tokens'
EXPECTED = answer_text(PROMPT, 64)


class OpenAIClientTest(FleetCase):
    """The unmodified OpenAI client library with the URL of an entry."""

    def client(self, key: str | None = None) -> openai.OpenAI:
        """Create a client without its own retries."""
        client = openai.OpenAI(
            base_url=f'{self.fleet.entries[0].address}/v1',
            api_key=key or self.keys.routes,
            max_retries=0,
            timeout=TIMEOUT_S,
        )
        self.addCleanup(client.close)
        return client

    def test_the_base_url_may_omit_the_version(self) -> None:
        client = openai.OpenAI(
            base_url=self.fleet.entries[0].address, api_key=self.keys.routes
        )
        self.addCleanup(client.close)
        self.assertEqual(2, len(list(client.models.list())))

    def test_models_are_listed(self) -> None:
        names = [model.id for model in self.client().models.list()]
        self.assertEqual(['crate-lm', 'ledger-lm'], names)

    def test_a_completion(self) -> None:
        answer = self.client().completions.create(
            model='crate-lm', prompt=PROMPT, max_tokens=64
        )
        self.assertEqual(EXPECTED, answer.choices[0].text)
        self.assertEqual('stop', answer.choices[0].finish_reason)
        assert answer.usage is not None
        self.assertEqual(12, answer.usage.completion_tokens)

    def test_a_chat_stream_with_usage(self) -> None:
        stream = self.client().chat.completions.create(
            model='crate-lm',
            messages=[{'role': 'user', 'content': PROMPT}],
            max_tokens=64,
            stream=True,
            stream_options={'include_usage': True},
        )
        chunks = list(stream)
        text = ''.join(
            choice.delta.content or ''
            for chunk in chunks
            for choice in chunk.choices
        )
        self.assertEqual(answer_text(f'user: {PROMPT}\nassistant:', 64), text)
        assert chunks[-1].usage is not None
        self.assertEqual(12, chunks[-1].usage.completion_tokens)

    def test_errors_have_the_expected_types(self) -> None:
        chat = {'messages': [{'role': 'user', 'content': 'x'}]}
        for key, model, error in (
            ('wrong', 'crate-lm', openai.AuthenticationError),
            (None, 'no-such-model', openai.NotFoundError),
        ):
            completions = self.client(key).chat.completions
            self.assertRaises(error, completions.create, model=model, **chat)
        raised = self.assertRaises(
            openai.BadRequestError,
            self.client().completions.create,
            model='crate-lm',
            prompt=PROMPT,
            max_tokens=0,
        )
        self.assertIn('Send a whole number', str(raised))


class RateLimitTest(FleetCase):
    """Calls of an organisation that is over its rate limit."""

    deployment = Deployment(engines={'route-assistant': 1}, entries=1)

    def test_a_refusal_has_a_retry_after_header(self) -> None:
        """A script calls in a loop and exceeds the rate limit of its
        organisation. It is refused immediately with a Retry-After header, as
        client libraries expect. Other organisations are not affected."""
        key = 'the key of a small customer'
        configuration = demo_configuration(self.keys)
        tiny = Configuration.of(
            *configuration.entities,
            Organisation('tiny', requests_per_s=1),
            ApiKey(hash_key(key), 'tiny'),
        )
        self.fleet.configure(str(tiny), 'a small customer')
        client = openai.OpenAI(
            base_url=self.fleet.entries[0].address, api_key=key, max_retries=0
        )
        self.addCleanup(client.close)

        def call_in_a_loop() -> None:
            for number in range(30):
                client.completions.create(
                    model='crate-lm', prompt=f'{number}: answer 1 tokens'
                )

        refused = self.assertRaises(openai.RateLimitError, call_in_a_loop)
        self.assertGreaterEqual(int(refused.response.headers['Retry-After']), 1)
        self.assertEqual('over_limit', refused.code)
        self.assertEqual(200, self.call('/models', method='GET').status)


class InvalidInputTest(FleetCase):
    """Invalid input gets a clear error, and the entry continues to serve."""

    def test_an_invalid_body_is_refused_with_a_remedy(self) -> None:
        for body in (b'', b'{', b'\xff\xfe', b'[]', b'{"model": "crate-lm"}'):
            answer = self.post_bytes(body)
            problem = json.loads(answer.data)
            self.assertEqual(400, answer.status)
            self.assertEqual('no', problem['run'])
            self.assertNotEqual('', problem['remedy'])

    def test_a_body_over_the_limit_is_refused(self) -> None:
        answer = self.post_bytes(b' ' * 4_194_305)
        self.assertEqual(413, answer.status)

    def test_an_unknown_path_is_refused(self) -> None:
        self.assertEqual(404, self.call('/v2/anything').status)

    def test_an_endless_header_closes_the_connection(self) -> None:
        """A caller sends a header line without an end. Without a size limit
        it would occupy a worker and its memory forever."""
        answer = self.exchange_bytes(
            b'GET /v1/models HTTP/1.1\r\nX: ', b'x' * 65_536
        )
        self.assertIn(b' 400 ', answer.split(b'\r\n')[0])
        self.assert_still_serving(answer)

    def test_an_incomplete_body_does_not_block_a_worker(self) -> None:
        """A caller declares a body length, sends only a part and closes. The
        entry must not wait for the rest, nor send a traceback."""
        head = b'POST /v1/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\n{'
        self.assert_still_serving(self.exchange_bytes(head))

    def test_input_that_is_not_http_gets_an_error(self) -> None:
        self.assert_still_serving(self.exchange_bytes(b'\x16\x03\x01\r\n\r\n'))

    def post_bytes(self, body: bytes):  # type: ignore[no-untyped-def]
        """Post a raw body."""
        return self.http.request(
            'POST',
            f'{self.fleet.entries[0].address}/v1/completions',
            body=body,
            headers={'Authorization': f'Bearer {self.keys.routes}'},
        )

    def exchange_bytes(self, *parts_to_send: bytes) -> bytes:
        """Send bytes, close the sending side, and return the whole response."""
        parts = urlsplit(self.fleet.entries[0].address)
        address = (parts.hostname, parts.port)
        with socket.create_connection(address, timeout=TIMEOUT_S) as sock:
            received = b''
            try:
                for part in parts_to_send:
                    sock.sendall(part)
                sock.shutdown(socket.SHUT_WR)
                while chunk := sock.recv(65_536):
                    received += chunk
            except ConnectionError:
                return received
        return received

    def assert_still_serving(self, answer: bytes) -> None:
        """Check that no traceback was sent and that the entry still answers."""
        self.assertNotIn(b'Traceback', answer)
        models = self.call('/v1/models', method='GET')
        self.assertEqual(200, models.status)
