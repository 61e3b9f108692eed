"""Processes that tell each other which calls crash engines."""

import itertools
import json
import tempfile
from collections.abc import Iterator
from functools import partial

import eventlet
import testtools

from tests.platform.node_harness import (
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    chunk,
    request_bytes,
)
from tests.platform.program import (
    Program,
    kill_after,
    wait_for_members,
)
from tests.platform.scripts import status
from tests.platform.store_standin import StoreStandin
from tests.platform.test_crashing_parts import (
    CRASHING_PART,
    MAX_CRASHES,
    prompt_headers,
)
from tests.platform.test_resumed_streams import configuration

# Two nodes share their news, the third one asks the store itself.
DOMAINS = ('a', 'a', 'b')
ENGINE_COUNT = 12
MEMBERS_LISTED_S = 2.5
# An engine that crashed is back after this time, and listed this much later.
DOWN_S = 3.0
LISTED_AFTER_S = 1.2
# The time between two calls: a fifth of the time that nodes have to agree.
CALL_INTERVAL_S = 0.6


class CrashSharingTestCase(testtools.TestCase):
    """Three nodes, and engines that crash as they begin to answer on a part."""

    engine_count = ENGINE_COUNT

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.crashes = 0
        self.engines = [
            self.add_engine(number) for number in range(self.engine_count)
        ]
        self.numbers = itertools.count()
        self.nodes = [self.start_node(domain) for domain in DOMAINS]
        for node in self.nodes:
            node.wait_until_ready()
        wait_for_members(self.store, len(DOMAINS))
        eventlet.sleep(MEMBERS_LISTED_S)

    def add_engine(self, number: int) -> ScriptedTarget:
        target = ScriptedTarget(partial(self.run_call, number))
        self.addCleanup(target.close)
        self.register(number, target, born=1)
        return target

    def register(self, number: int, target: ScriptedTarget, born: int) -> None:
        entry = {
            'service': 'lm',
            'address': target.address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'phase': 'decode',
            'version': 'v1',
            'born': born,
        }
        self.store.put(f'servers/i-{number}', json.dumps(entry))

    def start_node(self, domain: str) -> Program:
        program = Program(self.store, self.folder, domain=domain)
        kill_after(self, program)
        return program

    def run_call(
        self, number: int, request: ReceivedRequest
    ) -> Iterator[ScriptStep]:
        attempt_id = request.headers.get('attempt-id', '')
        yield (
            'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
            f'Attempt-Id: {attempt_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        if CRASHING_PART in request.headers.get('prompt-prefix', ''):
            self.crashes += 1
            self.engines[number].crash()
            self.crashed(number)
            yield None
        yield chunk(b'id: 1\ndata: t\n\n') + chunk(b'')

    def crashed(self, number: int) -> None:
        """Take note of a crash; the engine stays down."""

    def ask(self, node: Program, *parts: str) -> int:
        """Call with a prompt of these parts and one of its own."""
        number = next(self.numbers)
        content = node.exchange_whole(
            node.port,
            request_bytes(
                f'/resume/{number}',
                extra=prompt_headers(*parts, f'own{number}'),
                attempt_id=f'a{number}',
            ),
        )
        return status(content)


class CrashSharingTest(CrashSharingTestCase):
    def test_a_part_that_crashed_engines_is_refused_at_all_nodes(self) -> None:
        """Guards against nodes that each have to lose engines of their own."""
        self.assertEqual(200, self.ask(self.nodes[0], 'first', 'sound'))
        for number in range(6):
            self.ask(self.nodes[number % 3], 'first', CRASHING_PART)
            eventlet.sleep(CALL_INTERVAL_S)
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        crashes = self.crashes
        for node in self.nodes:
            self.assertEqual(503, self.ask(node, 'other', CRASHING_PART))
            self.assertEqual(200, self.ask(node, 'first', 'sound'))
        self.assertEqual(crashes, self.crashes)


class RestartedEngineTest(CrashSharingTestCase):
    """Engines that are soon back under the id that they had."""

    engine_count = 4

    def setUp(self) -> None:
        super().setUp()
        self.births = itertools.count(2)

    def crashed(self, number: int) -> None:
        starting = eventlet.spawn_after(DOWN_S, self.start_again, number)
        self.addCleanup(starting.kill)

    def start_again(self, number: int) -> None:
        engine, born = self.engines[number], next(self.births)
        engine.start_again()
        eventlet.sleep(LISTED_AFTER_S)
        self.register(number, engine, born)

    def ask_always(self, node: Program) -> None:
        while True:
            self.ask(node, 'first', 'sound')
            eventlet.sleep(0.1)

    def test_engines_that_restart_take_no_crash_back(self) -> None:
        """Guards against a crashing call that is sent on after restarts."""
        for node in self.nodes:
            sound = eventlet.spawn(self.ask_always, node)
            self.addCleanup(sound.kill)
        for number in range(8):
            self.ask(self.nodes[number % 3], 'first', CRASHING_PART)
            eventlet.sleep(2.0)
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        for node in self.nodes:
            self.assertEqual(503, self.ask(node, 'other', CRASHING_PART))
            self.assertEqual(200, self.ask(node, 'first', 'sound'))
