"""A process of the platform's program beside clients that don't behave."""

import json
import resource
import tempfile

from testtools.content import text_content

from tests.crowds.crowd_case import BodyCrowds, CrowdCase, MeasuredProcess
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    answer,
    request_bytes,
)
from tests.platform.program import Program
from tests.platform.store_standin import StoreStandin

# The machine of the process.
MEMORY_MB = 128
MAX_DESCRIPTORS = 256
# What a client may send.
MAX_BODY_BYTES = 2 * 1024 * 1024
# The crowds: each sends more than the machine holds, or opens more.
CLIENTS = 100
SILENT_CLIENTS = 300
LARGE_ANSWER = b'x' * 1024 * 1024
SETTINGS = f"""
[machine]
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
"""


def configuration() -> str:
    """Return a configuration with a route of the crowd's own."""
    routes = [
        {
            'name': service,
            'host': HOST,
            'path_prefix': prefix,
            'kind': 'non_idempotent',
            'timeout_ms': 60000,
            'service': service,
        }
        for service, prefix in (('ledger', '/confirm/'), ('other', '/crowd/'))
    ]
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': [
                {'name': name, 'max_connections': 400}
                for name in ('ledger', 'other')
            ],
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': MAX_BODY_BYTES,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 5000,
            },
        }
    )


def answer_crowd(request: ReceivedRequest) -> list[bytes | float]:
    """Answer a request of the crowd: late, or with a large body."""
    attempt_id = request.headers['attempt-id']
    head = f'Response-Signature: s\r\nAttempt-Id: {attempt_id}\r\n'
    if '/held' in request.line:
        return [60.0, answer(extra=head)]
    return [answer(body=LARGE_ANSWER, extra=head)]


class GatewayCrowdTest(BodyCrowds, CrowdCase):
    def setUp(self) -> None:
        super().setUp()
        store = StoreStandin()
        self.addCleanup(store.close)
        self.target = self.add_target(
            store, 'i-1', 'ledger', lambda _: [answer()]
        )
        self.add_target(store, 'i-2', 'other', answer_crowd)
        store.put('op/config', configuration())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = Program(store, folder, more_settings=SETTINGS)
        self.addCleanup(self.program.process.wait)
        self.addCleanup(self.program.process.kill)
        process_id = self.program.process.pid
        resource.prlimit(
            process_id,
            resource.RLIMIT_NOFILE,
            (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
        )
        self.measured = MeasuredProcess(process_id)
        self.program.wait_until_ready()
        self.check_answered(self.is_served, 'before the crowd')
        self.addOnException(
            lambda _: self.addDetail(
                'log', text_content(self.program.log.read_text()[-4000:])
            )
        )

    def add_target(
        self, store: StoreStandin, target_id: str, service: str, script: Script
    ) -> ScriptedTarget:
        target = ScriptedTarget(script)
        self.addCleanup(target.close)
        entry = {
            'service': service,
            'address': target.address,
            'zone': 'a',
            'slots': 400,
            'state': 'ready',
        }
        store.put(f'servers/{target_id}', json.dumps(entry))
        return target

    def is_served(self) -> bool:
        """Whether one ordinary request is answered."""
        return self.program.call().startswith(b'HTTP/1.1 200')

    def check_crowd(
        self,
        kind: str,
        count: int = CLIENTS,
        path: str = '/crowd/held',
        port: int = 0,
    ) -> None:
        """Check the bounds beside a crowd and after it."""
        crowd = self.start_crowd(
            kind,
            port or self.program.port,
            count,
            MAX_BODY_BYTES,
            path,
            f'X-Api-Key: {API_KEY}',
            'Deadline-Ms: 60000',
        )
        descriptors = self.measured.descriptors
        self.addDetail(
            'measured',
            text_content(
                f'{self.measured.peak_mb:.0f} MiB, {descriptors} descriptors\n'
            ),
        )
        self.assertLess(descriptors, MAX_DESCRIPTORS)
        self.check_answered(self.is_served, 'beside the crowd')
        crowd.kill()
        self.check_answered(self.is_served, 'after the crowd')
        self.assertIsNone(self.program.process.poll())
        self.assertLess(self.measured.peak_mb, MEMORY_MB)
        self.assertTrue(self.program.is_ready())

    def test_whole_bodies_that_wait(self) -> None:
        """Guards against bodies of requests in progress that nothing bounds."""
        self.check_crowd('whole_bodies')

    def test_large_answers_that_nobody_reads(self) -> None:
        """Guards against answers that are held without a bound."""
        self.check_crowd('unread_answers', path='/crowd/large')

    def test_answers_that_nobody_reads(self) -> None:
        """Guards against requests without a pause from one connection."""
        self.check_crowd('unread_answers', path='/confirm/1')

    def test_connections_that_send_nothing(self) -> None:
        """Guards against a process without a descriptor for its work."""
        self.check_crowd('nothing', SILENT_CLIENTS)

    def test_health_checks_that_send_nothing(self) -> None:
        """Guards against a health check that keeps all descriptors."""
        self.check_crowd(
            'nothing', SILENT_CLIENTS, port=self.program.health_port
        )

    def test_a_body_of_the_limit_in_chunks_of_one_byte_is_served(self) -> None:
        """Guards against a refusal of a request inside the limits."""
        head = request_bytes('/confirm/1').partition(b'Content-Length')[0]
        body = b'1\r\nx\r\n' * MAX_BODY_BYTES + b'0\r\n\r\n'
        content = self.program.exchange(
            self.program.port,
            head.replace(b'Deadline-Ms: 3000', b'Deadline-Ms: 60000')
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + body,
        )
        self.assertEqual(b'HTTP/1.1 200', content[:12])
        received = self.target.received_requests[-1].body
        self.assertEqual(b'x' * MAX_BODY_BYTES, received)

    def test_a_refusal_reaches_a_client_that_sends_on(self) -> None:
        """Guards against a reset that destroys a refusal."""
        head = request_bytes('/confirm/1').partition(b'Content-Length')[0]
        length = MAX_BODY_BYTES + 1
        content = self.program.exchange(
            self.program.port,
            head + b'Content-Length: %d\r\n\r\n' % length + b'x' * length,
        )
        self.assertEqual(b'HTTP/1.1 413', content[:12])
