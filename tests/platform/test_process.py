"""Real processes of the platform's program, against stand-ins."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from functools import partial

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from dandelionyoke_platform import _wire_names as wire
from tests.platform.path import (
    HOST,
    KEY,
    Piece,
    ScriptedTarget,
    Seen,
    answer,
)
from tests.platform.program import Ports, Program, wait_for
from tests.platform.store_standin import StoreStandin


def configuration(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> str:
    route = {
        'name': 'r',
        'host': HOST,
        'path_prefix': '/confirm/',
        'kind': 'non_idempotent',
        'timeout_ms': 4000,
        'service': 'ledger',
    }
    return json.dumps(
        {
            'version': version,
            'routes': [route],
            'services': [{'name': 'ledger', 'max_connections': 9}],
            'tenants': [{'name': 'acme', 'api_keys': list(keys)}],
        }
    )


def answers(program: Program, key: str, status: bytes) -> bool:
    """Whether a call under a key is answered by a status."""
    return status in program.call(key=key)


class ProcessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.pause_s = 0.0
        self.target = ScriptedTarget(self.serve)
        self.addCleanup(self.target.close)
        self.store.put('op/config', configuration())
        entry = {
            'service': 'ledger',
            'address': self.target.address,
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        self.store.put('servers/i-1', json.dumps(entry))
        self.store.put('servers/broken', '{"slots": "many"}')

    def serve(self, seen: Seen) -> Iterator[Piece]:
        if self.pause_s:
            yield self.pause_s
        yield answer()

    def start(self) -> Program:
        program = Program(self.store, self.folder)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(lambda _: self.show_log(program))
        program.wait_until_ready()
        return program

    def show_log(self, program: Program) -> None:
        """Attach the log of a program to a failure."""
        name = f'log of n-{program.port}'
        self.addDetail(name, text_content(program.log.read_text()))

    def reported(self, organisation: str) -> int:
        """Add up what was reported of an organisation."""
        return sum(
            body['counts'].get(organisation, 0)
            for _, _, body in self.store.usage
        )

    def test_a_call_is_served_and_reported_once_under_a_fence(self) -> None:
        program = self.start()
        self.assertIn(b' 200 ', program.call())
        self.assertIn(b' 401 ', program.call(key='unknown'))
        wait_for(lambda: self.store.usage, 'a usage report')
        holder, fence, body = self.store.usage[0]
        self.assertEqual(f'n-{program.port}', holder)
        self.assertGreater(fence, 1)
        self.assertEqual({'acme': 1}, body['counts'])

    def test_a_withdrawn_key_stops_and_a_new_one_works(self) -> None:
        program = self.start()
        self.store.put('op/config', configuration(2, ('new',)))
        wait_for(lambda: b' 401 ' in program.call(), 'a refusal')
        self.assertIn(b' 200 ', program.call(key='new'))

    def test_without_the_store_keys_are_refused_before_the_bound(self) -> None:
        """The store is out, and an operator withdraws a key meanwhile.

        Nobody can tell the node, so it must stop to trust keys in time.
        """
        program = self.start()
        self.store.is_out = True
        began_s = clock_s()
        wait_for(lambda: b' 503 ' in program.call(), 'a refusal')
        self.assertLess(clock_s() - began_s, 5)
        self.assertFalse(program.is_ready())
        self.store.is_out = False
        wait_for(lambda: b' 200 ' in program.call(), 'an answer')

    def test_a_process_that_leaves_finishes_what_it_took(self) -> None:
        """A machine is stopped while it answers a request.

        It is not ready at once, answers the request, takes those that still
        come, and ends by itself.
        """
        program = self.start()
        self.pause_s = 1.0
        caller = eventlet.spawn(program.call)
        wait_for(lambda: self.target.seen, 'a request at the target')
        program.end(signal.SIGHUP)
        program.end(signal.SIGTERM)
        self.assertIn(b' 200 ', caller.wait())
        self.pause_s = 0.0
        self.assertFalse(program.is_ready())
        self.assertIn(b' 200 ', program.call())
        wait_for(program.has_ended, 'the end')
        self.assertEqual(0, program.process.returncode)

    def test_new_settings_during_a_start_end_nothing(self) -> None:
        """Settings change while a process loads its libraries.

        Not handled yet, the signal would end the process.
        """
        ended = subprocess.run(
            [
                sys.executable,
                '-W',
                'ignore',
                '-c',
                'import os, signal, dandelionyoke_platform.__main__\n'
                'os.kill(os.getpid(), signal.SIGHUP)',
            ],
            check=False,
        )
        self.assertEqual(0, ended.returncode)

    def test_another_takes_the_duty_over_with_a_higher_fence(self) -> None:
        first = self.start()
        first.call()
        wait_for(lambda: self.store.usage, 'a usage report')
        second = self.start()
        first.end(signal.SIGKILL)
        fences = {fence for _, fence, _ in self.store.usage}

        def taken_over() -> bool:
            second.call()
            holders = {holder for holder, _, _ in self.store.usage}
            return f'n-{second.port}' in holders

        wait_for(taken_over, 'another holder')
        newest = [
            fence
            for holder, fence, _ in self.store.usage
            if holder == f'n-{second.port}'
        ]
        self.assertGreater(min(newest), max(fences))
        # A window that the first one reported may be reported once more, by
        # the record that both read; other figures for it may not.
        figures = {}
        for _, _, body in self.store.usage:
            counts = figures.setdefault(body['window_id'], body['counts'])
            self.assertEqual(counts, body['counts'])

    def test_one_node_asks_the_store_for_its_domain(self) -> None:
        """Each node that asked the store would make its calls grow.

        The second node learns of targets, keys and usage from the first, and
        its calls are counted all the same.
        """
        programs = [self.start(), self.start()]
        wait_for(lambda: len(self.store.keys('members/')) == 2, 'members')
        eventlet.sleep(8)
        self.store.calls.clear()
        eventlet.sleep(4)
        watches = sorted(
            self.store.calls[one.store_address, wire.WATCH_PATH]
            for one in programs
        )
        self.assertEqual(0, watches[0])
        self.assertGreater(watches[1], 4)
        for program in programs:
            self.assertIn(b' 200 ', program.call())
        self.store.put('op/config', configuration(2, ('new',)))
        wait_for(
            lambda: all(b' 401 ' in one.call() for one in programs), 'refusals'
        )
        wait_for(lambda: self.reported('acme') >= 2, 'usage of both')

    def test_a_node_that_the_store_turns_away_asks_another(self) -> None:
        """The store refuses one node and serves the other one.

        The refused node's callers would get 503 although the other one
        knows that their keys are good, and a withdrawn key must stop there
        as well.
        """
        programs = [self.start(), self.start()]
        wait_for(lambda: len(self.store.keys('members/')) == 2, 'members')
        eventlet.sleep(3)
        for refused in programs:
            self.store.refused = {refused.store_address}
            eventlet.sleep(7)
            self.assertIn(b' 200 ', refused.call())
            self.assertTrue(refused.is_ready())
        self.store.put('op/config', configuration(2, ('new',)))
        for program in programs:
            wait_for(partial(answers, program, KEY, b' 401 '), 'a refusal')
            wait_for(partial(answers, program, 'new', b' 200 '), 'an answer')

    def test_the_figures_of_a_window_outlive_all_leases(self) -> None:
        """The store ends the leases of a whole fleet, the duty's included.

        Another node takes the duty over while the window may still be
        reported. Were the figures gone, it would fix others, and the calls
        of the window would be billed twice.
        """
        program = self.start()
        program.call()
        wait_for(lambda: self.store.usage, 'a usage report')
        self.store.lapse()
        eventlet.sleep(0.5)
        _, _, body = self.store.usage[0]
        key = f'reports/{body["window_id"]}'
        kept = json.loads(self.store.items[key].value or '')
        self.assertEqual([['acme', 1]], kept['counts'])

    def test_a_taken_peer_port_ends_the_start(self) -> None:
        """Guards against nodes that serve callers and have no links."""
        ports = Ports()
        holder = eventlet.listen(('127.0.0.1', ports.peers))
        self.addCleanup(holder.close)
        program = Program(self.store, self.folder, ports)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        wait_for(program.has_ended, 'the end')
        self.assertEqual(2, program.process.returncode)
        self.assertIn(
            f'Cannot listen on 127.0.0.1:{ports.peers}: Address already in use',
            program.log.read_text(),
        )

    def test_wrong_settings_are_told_all_at_once(self) -> None:
        path = pathlib.Path(self.folder) / 'wrong.ini'
        path.write_text('[gateway]\ndomain = a\ncaller_address = nowhere\n')
        ended = subprocess.run(
            [sys.executable, '-W', 'ignore', '-m', 'dandelionyoke_platform'],
            env={**os.environ, 'DANDELIONYOKE_BOOT': str(path)},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, ended.returncode)
        for name in (
            'instance_id',
            'caller_address',
            'peer_address',
            'address',
            'grace_s',
        ):
            self.assertIn(name, ended.stderr)
        self.assertIn('Mend the settings file', ended.stderr)
