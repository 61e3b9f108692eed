"""Plain calls that wait at a node for a target with room."""

from collections.abc import Iterator

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway import clock_s
from tests.gateway.settings import new_settings
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
    request_bytes,
)

SLOTS = 8
# So many that a node may have one call at a full target.
NODE_COUNT = 60
WORK_S = 0.4
# Waiting calls of this process end this long after the request to leave.
LEAVE_S = 0.3
ANSWER_MARGIN_S = 1.2
FULL = f'Not-Executed: 1\r\nServer-Load: {SLOTS},{SLOTS},{SLOTS},100\r\n'


def works(request: ReceivedRequest) -> Iterator[ScriptStep]:
    attempt_id = request.headers['attempt-id']
    extra = f'Response-Signature: s\r\nAttempt-Id: {attempt_id}\r\n'
    yield WORK_S
    yield answer(extra=f'{extra}Server-Load: 1,0,{SLOTS},100\r\n')


class PlainTurnsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        settings = attrs.evolve(
            new_settings(), grace_s=LEAVE_S + ANSWER_MARGIN_S
        )
        self.node = NodeHarness(settings=settings)
        self.addCleanup(self.node.close)
        knowledge = self.node.knowledge
        knowledge.take_node_count(NODE_COUNT)
        told = RegisteredTarget('i-0', 'ledger', '127.0.0.1:1', 'a', 8, False)
        knowledge.speeds.observe(told, 1.0, clock_s())

    def fill(self) -> ScriptedTarget:
        """Start a target and as many calls as it has slots."""
        target = self.node.add_target(works)
        for number in range(SLOTS):
            eventlet.spawn(self.node.call, attempt_id=f'b{number}')
        while len(target.received_requests) < SLOTS:
            eventlet.sleep(0.01)
        return target

    def wait_for_queued(self, count: int) -> None:
        queue = self.node.knowledge.plain_queue('ledger')
        with eventlet.Timeout(1):
            while len(queue) != count:
                eventlet.sleep(0.01)

    def test_a_refused_call_waits_for_its_turn(self) -> None:
        """Guards against a refusal of a call that has time left."""
        steps = iter([answer('503 Busy', b'', FULL), answer()])
        target = self.node.add_target(lambda request: [next(steps)])
        content = self.node.call('/confirm/1')
        self.assertIn(b' 200 ', content)
        self.assertEqual(2, len(target.received_requests))

    def test_a_call_waits_here_while_all_targets_are_full(self) -> None:
        """Guards against calls that wait where nothing knows their order."""
        target = self.fill()
        call = eventlet.spawn(self.node.call)
        self.wait_for_queued(1)
        self.assertEqual(SLOTS, len(target.received_requests))
        self.assertIn(b' 200 ', call.wait())
        self.assertIn('"plain.queued"', self.node.log_lines.text)

    def test_a_caller_that_disconnects_frees_its_place(self) -> None:
        """Guards against a queue full of calls that nobody waits for."""
        target = self.fill()
        with self.node.connect() as sock:
            sock.sendall(request_bytes('/confirm/1', attempt_id='gone'))
            self.wait_for_queued(1)
        self.wait_for_queued(0)
        self.assertIn(b' 200 ', self.node.call())
        for request in target.received_requests:
            self.assertNotEqual('gone', request.headers['attempt-id'])
        self.assertEqual(0, self.node.knowledge.loads.own('i-1'))

    def test_a_leaving_process_refuses_waiting_calls_in_time(self) -> None:
        """Guards against calls that are cut off with their process."""
        target = self.fill()
        call = eventlet.spawn(self.node.call)
        self.wait_for_queued(1)
        begun_s = clock_s()
        self.node.knowledge.shutdown.begin(begun_s)
        self.assertIn(b' 503 ', call.wait())
        self.assertLess(clock_s() - begun_s, LEAVE_S)
        self.assertEqual(SLOTS, len(target.received_requests))

    def test_a_waiting_call_leaves_a_node_that_is_cut_off(self) -> None:
        """Guards against calls that wait for targets that are not reached."""
        other = NodeHarness('n-2')
        self.addCleanup(other.close)
        other.add_target(works)
        self.node.open_links()
        knowledge = self.node.knowledge
        knowledge.sources.take_members([other.open_links()], clock_s())
        target = self.fill()
        call = eventlet.spawn(self.node.call)
        self.wait_for_queued(1)
        knowledge.reach.probed('ledger', {'i-1': False}, clock_s())
        self.assertIn(b' 200 ', call.wait())
        self.assertEqual(SLOTS, len(target.received_requests))
