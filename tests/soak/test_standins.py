"""Tests that silences of stand-ins delay what is sent and lose nothing."""

import json
from collections.abc import Iterator
from random import Random

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from dandelionyoke_standins._relay import Relay
from tests.platform.node_harness import (
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
    request_bytes,
)
from tests.platform.store_standin import StoreStandin
from tests.soak.events import event_versions
from tests.soak.record import SoakRecord
from tests.soak.targets import SoakTarget

SILENCE_S = 0.5
PAUSE_S = 0.1
TIMEOUT_S = 5.0


def answers_in_parts(request: ReceivedRequest) -> Iterator[ScriptStep]:
    whole = answer()
    yield whole[:10]
    yield PAUSE_S
    yield whole[10:]


class SilenceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = ScriptedTarget(answers_in_parts)
        self.addCleanup(self.target.close)
        host, _, port = self.target.address.rpartition(':')
        self.relay = Relay(host, int(port))
        self.relay.start()
        self.addCleanup(self.relay.close)

    def call(self, begun_s: float, silence: str, end: str) -> float:
        """Call the target, silence it meanwhile; return how long it took."""
        subject = self.relay if silence == 'hold' else self.target
        eventlet.spawn_after(begun_s, getattr(subject, silence))
        eventlet.spawn_after(begun_s + SILENCE_S, getattr(subject, end))
        eventlet.sleep(0.02)
        start_s = clock_s()
        host, _, port = self.relay.address.rpartition(':')
        with eventlet.connect((host, int(port))) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(request_bytes('/look/1'))
            content = b''
            while content != answer():
                content += sock.recv(65536)
        return clock_s() - start_s

    def test_a_silence_loses_no_byte_of_request_or_answer(self) -> None:
        """Guards against a stand-in that is unsound where it should be slow."""
        for silence, end in (('fall_silent', 'go_on'), ('hold', 'release')):
            # Before the connection, and within the answer.
            for begun_s in (0.0, 0.08):
                took_s = self.call(begun_s, silence, end)
                self.assertGreater(took_s, SILENCE_S - 0.05)
                self.assertLess(took_s, SILENCE_S + PAUSE_S + 0.5)

    def test_a_silent_target_reads_a_request_when_it_goes_on(self) -> None:
        """Guards against runs that are recorded in a silence."""
        self.target.fall_silent()
        eventlet.spawn(self.call, 0.0, 'fall_silent', 'go_on')
        eventlet.sleep(SILENCE_S / 2)
        self.assertEqual([], self.target.received_requests)
        eventlet.sleep(SILENCE_S)
        self.assertEqual(1, len(self.target.received_requests))


class RestartTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.record = SoakRecord()
        self.target = SoakTarget(
            'i-1', 'lm', 'decode', 'v1', self.record, self.store, Random(1)
        )
        self.addCleanup(self.target.server.close)
        self.target.register(self.target.address)

    def stream(self, attempt_id: str) -> bytes:
        """Run a stream at the target until its connection ends."""
        host, _, port = self.target.address.rpartition(':')
        extra = 'Target-Instance: i-1\r\n'
        request = request_bytes('/ask/1', extra=extra, attempt_id=attempt_id)
        content = b''
        with eventlet.connect((host, int(port))) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(request)
            while not content.endswith(b'0\r\n\r\n'):
                data = sock.recv(65536)
                if not data:
                    break
                content += data
        return content

    def entry(self) -> dict[str, object]:
        return json.loads(self.store.items['servers/i-1'].value)

    def test_a_restart_breaks_streams_off_and_changes_the_version(self) -> None:
        """Guards against engines of two versions that write one stream."""
        before = self.entry()
        begun = eventlet.spawn(self.stream, 'a1')
        eventlet.sleep(0.08)
        self.target.restart('v2')
        self.assertEqual({'v1'}, set(event_versions(begun.wait())))
        self.assertFalse(begun.wait().endswith(b'0\r\n\r\n'))
        self.assertEqual({'a1'}, self.record.broken_off)
        self.assertEqual('v2', self.entry()['version'])
        self.assertNotEqual(before['born'], self.entry()['born'])
        self.assertEqual(['v2'] * 6, event_versions(self.stream('a2')))
