"""Targets that say in their answers that they leave."""

import json
import tempfile
from collections.abc import Iterator

import attrs
import eventlet
import testtools

from dandelionyoke_dispatch import Phase, RegisteredTarget
from dandelionyoke_gateway import CacheSource, clock_s
from dandelionyoke_gateway._limited_engines import LimitedEngineClient
from dandelionyoke_platform._duties import PlatformDuties
from tests.platform.node_harness import (
    SIGNED_HEAD,
    NodeHarness,
    ReceivedRequest,
    Script,
    ScriptedTarget,
    ScriptStep,
    answer,
    chunk,
    stream_head,
)
from tests.platform.program import Program, wait_for
from tests.platform.scripts import (
    PROMPT_HEADERS,
    answers_error,
    answers_ok,
    answers_prefill,
    refuses_call,
    status,
    streams_token,
    with_header,
)
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

# The rule: a request sent so long after a node has passed on an answer that
# says so does not reach the target from that node.
DRAIN_S = 2.0


def is_another(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer('421 Misdirected', b'', 'Not-Executed: 1\r\n')


def leaving(script: Script) -> Script:
    """Say in each answer of a script that the target leaves."""
    return with_header(script, 'Server-Leaving: 1')


class LeavingTargetTest(testtools.TestCase):
    """One node that gets the answers."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.registry = self.node.knowledge.registry

    def call(self, path: str, count: int) -> list[int]:
        return [
            status(self.node.call(path, extra=PROMPT_HEADERS))
            for _ in range(count)
        ]

    def target(self, target_id: str = 'i-1') -> RegisteredTarget:
        target = self.registry.find(target_id)
        assert target is not None
        return target

    def test_a_target_that_says_it_leaves_gets_no_further_call(self) -> None:
        """Guards against a leaving target that only the store takes out."""
        target = self.node.add_target(leaving(answers_ok))
        other = self.node.add_target(answers_ok)
        self.assertEqual([200] * 6, self.call('/confirm/1', 6))
        self.assertEqual(1, len(target.received_requests))
        self.assertEqual(5, len(other.received_requests))
        self.assertIn('target.leaving', self.node.log_lines.text)

    def test_refusals_and_errors_count(self) -> None:
        """Guards against an answer whose headers are not read."""
        for script in (refuses_call, answers_error):
            node = NodeHarness()
            self.addCleanup(node.close)
            target = node.add_target(leaving(script))
            node.add_target(answers_ok)
            for _ in range(3):
                self.assertEqual(200, status(node.call('/look/1')))
            eventlet.sleep(0.6)
            for _ in range(3):
                self.assertEqual(200, status(node.call('/look/1')))
            self.assertEqual(1, len(target.received_requests))

    def test_an_answer_that_is_cut_off_counts(self) -> None:
        """Guards against a head that is dropped with its body."""

        def breaks_off(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield answer(body=b'whole').replace(b'whole', b'ha')
            yield None

        target = self.node.add_target(leaving(breaks_off))
        self.node.add_target(answers_ok)
        for _ in range(2):
            self.call('/look/1', 3)
            eventlet.sleep(0.6)
        self.assertEqual(1, len(target.received_requests))

    def test_prefills_and_streams_count(self) -> None:
        """Guards against engines that leave with prompts under way."""
        prefill, decode = (
            self.node.add_target(leaving(script), 'lm', phase)
            for script, phase in (
                (answers_prefill, Phase.PREFILL),
                (streams_token, Phase.DECODE),
            )
        )
        for script, phase in (
            (answers_prefill, Phase.PREFILL),
            (streams_token, Phase.DECODE),
        ):
            self.node.add_target(script, 'lm', phase)
        self.assertEqual([200] * 6, self.call('/ask/1', 6))
        self.assertLessEqual(len(prefill.received_requests), 1)
        self.assertLessEqual(len(decode.received_requests), 1)

    def test_a_listing_does_not_bring_a_leaving_target_back(self) -> None:
        """Guards against an entry that is older than the answer.

        The entry may also be missing for a while, as after an outage.
        """
        target = self.node.add_target(leaving(answers_ok))
        self.node.add_target(answers_ok)
        self.call('/confirm/1', 1)
        listed = [self.target(name) for name in ('i-1', 'i-2')]
        ready = [attrs.evolve(item, is_leaving=False) for item in listed]
        for entries in (ready, ready[1:], ready):
            self.registry.replace(entries, clock_s())
            self.assertEqual([200] * 3, self.call('/confirm/1', 3))
        self.assertEqual(1, len(target.received_requests))

    def test_a_target_that_starts_anew_gets_calls_again(self) -> None:
        """Guards against a target that is left out for good."""
        scripts = [leaving(answers_ok), answers_ok]
        target = self.node.add_target(lambda request: scripts[0](request))
        self.call('/confirm/1', 1)
        scripts.pop(0)
        self.assertEqual([503], self.call('/confirm/1', 1))
        started = attrs.evolve(self.target(), started_ms=7, is_leaving=False)
        self.registry.replace([started], clock_s())
        self.assertEqual([200] * 2, self.call('/confirm/1', 2))
        self.assertEqual(3, len(target.received_requests))

    def test_another_target_at_the_address_is_not_believed(self) -> None:
        """Guards against a target that leaves for the word of another one."""
        self.node.add_target(leaving(is_another))
        self.node.add_target(answers_ok)
        self.call('/confirm/1', 1)
        self.assertNotIn('target.leaving', self.node.log_lines.text)

    def test_calls_under_way_are_left_to_end(self) -> None:
        """Guards against a stream that is lost to a notice."""

        def streams_slowly(request: ReceivedRequest) -> Iterator[ScriptStep]:
            yield stream_head()
            for number in range(1, 6):
                yield chunk(f'id: {number}\ndata: t\n\n'.encode())
                yield 0.1
            yield chunk(b'')

        target = self.node.add_target(
            leaving(streams_slowly), 'lm', Phase.DECODE
        )
        content = self.node.call('/ask/1')
        self.assertTrue(content.endswith(b'0\r\n\r\n'))
        self.assertEqual(5, content.count(b'data: t'))
        self.assertEqual(1, len(target.received_requests))

    def test_answers_to_our_own_requests_count(self) -> None:
        """Guards against reports and releases whose headers are not read."""
        duties = PlatformDuties('', self.node.pool)
        duties.listen(self.node.target_gate.observe)
        engines = LimitedEngineClient(duties, self.node.target_gate)
        for send in (
            engines.read_report,
            lambda target: engines.release_cache(CacheSource(target, 'h1')),
        ):
            self.node.add_target(leaving(answers_ok))
            target = self.target(f'i-{len(self.node.targets)}')
            send(target)
            self.assertTrue(self.target(target.target_id).is_leaving)


class HandedAnswerTest(testtools.TestCase):
    """A node that passes on what another one got of a leaving target."""

    def test_the_node_that_passes_the_answer_on_knows(self) -> None:
        """Guards against a node that is bound by an answer it did not read."""
        origin, other = (NodeHarness(name) for name in ('n-1', 'n-2'))
        target = ScriptedTarget(leaving(answers_ok))
        for node in (origin, other):
            self.addCleanup(node.close)
            node.register(target)
        self.addCleanup(target.close)
        origin.open_links()
        origin.knowledge.sources.take_members([other.open_links()], clock_s())
        origin.knowledge.reach.probed('ledger', {'i-1': False}, clock_s())
        self.assertEqual(200, status(origin.call()))
        registered = origin.knowledge.registry.find('i-1')
        assert registered is not None
        self.assertTrue(registered.is_leaving)


class LeavingBesideAnOutageTest(testtools.TestCase):
    """Processes whose store is away when a target leaves."""

    def test_no_request_reaches_a_target_that_left_during_an_outage(
        self,
    ) -> None:
        """Guards against a leaving target that the store cannot name."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        store = StoreStandin()
        self.addCleanup(store.close)
        store.put('op/config', configuration())
        scripts = [answers_signed, leaving(answers_signed)]
        targets = [
            ScriptedTarget(lambda request: scripts[0](request)),
            ScriptedTarget(answers_signed),
        ]
        for number, target in enumerate(targets):
            self.addCleanup(target.close)
            entry = {
                'service': 'ledger',
                'address': target.address,
                'zone': 'a',
                'slots': 4,
                'state': 'ready',
            }
            store.put(f'servers/i-{number}', json.dumps(entry))
        program = Program(store, folder)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        program.wait_until_ready()
        wait_for(
            lambda: b' 200 ' in program.call() and targets[0].received_requests,
            'a call at the target',
        )
        store.is_unavailable = True
        scripts.pop(0)
        before = len(targets[0].received_requests)
        wait_for(
            lambda: (
                b' 200 ' in program.call()
                and len(targets[0].received_requests) > before
            ),
            'an answer that says so',
        )
        told_s = clock_s()
        while clock_s() < told_s + DRAIN_S:
            eventlet.sleep(0.1)
        before = len(targets[0].received_requests)
        for _ in range(20):
            program.call()
        self.assertEqual(before, len(targets[0].received_requests))


def answers_signed(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer(extra=SIGNED_HEAD)
