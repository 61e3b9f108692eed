"""Answers without a length that come early and are reset within the upload."""

import eventlet
import testtools

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from tests.platform.early_engine import EarlyEngine
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    chunk,
    request_bytes,
)
from tests.platform.scripts import status

UPLOAD = b'x' * 3_000_000
# Which of its two ends reads the reset differs from call to call.
CALLS = 25
PART = b'part'
EVENT = b'id: 1\ndata: t\n\n'
UNFRAMED = f'HTTP/1.1 200 OK\r\n{SIGNED_HEAD}'.encode()
PLAIN_ANSWER = UNFRAMED + b'\r\n' + PART
STREAM_ANSWER = UNFRAMED + b'Content-Type: text/event-stream\r\n\r\n' + EVENT


class EarlyAnswerTest(testtools.TestCase):
    """Guards against a part of an answer that is passed on as the whole."""

    def setUp(self) -> None:
        super().setUp()
        self.node = self.new_node('n-1')

    def new_node(self, name: str) -> NodeHarness:
        node = NodeHarness(name)
        self.addCleanup(node.close)
        return node

    def add_engine(
        self,
        node: NodeHarness,
        answer: bytes,
        service: str = 'ledger',
        phase: Phase = Phase.ANY,
    ) -> None:
        engine = EarlyEngine(answer)
        self.addCleanup(engine.close)
        node.register(engine, service, phase)

    def upload(self, path: str) -> bytes:
        """Send a long request and return the whole answer."""
        head = request_bytes(path, extra='Connection: close\r\n').replace(
            b'Content-Length: 4\r\n\r\nbody',
            f'Content-Length: {len(UPLOAD)}\r\n\r\n'.encode(),
        )
        with self.node.connect() as sock:
            sock.sendall(head + UPLOAD)
            content = b''
            while data := sock.recv(65536):
                content += data
        return content

    def uploads(self, path: str) -> list[bytes]:
        """Send long requests one after another; forget what failed before."""
        contents = []
        for _ in range(CALLS):
            contents.append(self.upload(path))
            self.node.knowledge.loads.succeeded('i-1')
            eventlet.sleep(0)
        return contents

    def hand_calls_to_another_node(self) -> NodeHarness:
        """Cut the node off from its targets; return one that takes its calls."""
        other = self.new_node('n-2')
        member = other.open_links()
        self.node.open_links()
        self.node.knowledge.sources.take_members([member], clock_s())
        for service in ('ledger', 'lm'):
            probed = {'i-1': False, 'i-2': False}
            self.node.knowledge.reach.probed(service, probed, clock_s())
        return other

    def test_a_plain_answer(self) -> None:
        self.add_engine(self.node, PLAIN_ANSWER)
        statuses = [status(content) for content in self.uploads('/confirm/1')]
        self.assertEqual([502] * CALLS, statuses)

    def test_a_stream(self) -> None:
        self.add_engine(self.node, STREAM_ANSWER, 'lm', Phase.DECODE)
        whole = [
            content
            for content in self.uploads('/ask/1')
            if status(content) == 200 and content.endswith(chunk(b''))
        ]
        self.assertEqual([], whole)

    def test_a_plain_answer_of_a_handed_call(self) -> None:
        other = self.hand_calls_to_another_node()
        self.add_engine(other, PLAIN_ANSWER)
        contents = [self.upload('/confirm/1') for _ in range(CALLS)]
        self.assertNotIn(200, map(status, contents))
