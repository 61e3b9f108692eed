"""Gateway processes against a fake store and scripted targets."""

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

from dandelionyoke_core import rendezvous
from dandelionyoke_gateway import clock_s
from dandelionyoke_platform import _wire_names as wire
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
)
from tests.platform.program import (
    Ports,
    Program,
    wait_for,
    wait_for_members,
)
from tests.platform.store_standin import StoreStandin

# An interpreter that is slow to end, and the longest time for which it may
# leave a request unread.
EXIT_DELAY_S = 3.0
MAX_UNREAD_S = 1.0


def configuration(version: int = 1, keys: tuple[str, ...] = (API_KEY,)) -> str:
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


def ranked_ports() -> list[Ports]:
    """Return the ports of two nodes, those of the source node first."""
    by_id = {f'n-{ports.callers}': ports for ports in (Ports(), Ports())}
    return [by_id[name] for name in rendezvous(by_id, 'a', len(by_id))]


def answers_with_status(program: Program, key: str, status: bytes) -> bool:
    """Whether a call with a key is answered with a status."""
    return status in program.call(key=key)


class ProcessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.pause_s = 0.0
        self.target = ScriptedTarget(self.answer_after_pause)
        self.addCleanup(self.target.close)
        self.store.put('op/config', configuration())
        registry_entry = {
            'service': 'ledger',
            'address': self.target.address,
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        self.store.put('servers/i-1', json.dumps(registry_entry))
        self.store.put('servers/broken', '{"slots": "many"}')

    def answer_after_pause(
        self, request: ReceivedRequest
    ) -> Iterator[ScriptStep]:
        if self.pause_s:
            yield self.pause_s
        yield answer()

    def start_program(
        self, ports: Ports | None = None, exit_delay_s: float = 0.0
    ) -> Program:
        program = Program(
            self.store, self.folder, ports, exit_delay_s=exit_delay_s
        )
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(lambda _: self.show_log(program))
        program.wait_until_ready()
        return program

    def show_log(self, program: Program) -> None:
        """Attach the log of a program to the test's failure."""
        name = f'log of n-{program.port}'
        self.addDetail(name, text_content(program.log.read_text()))

    def reported_calls(self, organisation: str) -> int:
        """Sum the reported calls of an organisation."""
        return sum(
            body['counts'].get(organisation, 0)
            for _, _, body in self.store.usage
        )

    def test_a_call_is_served_and_reported_once_with_a_fencing_token(
        self,
    ) -> None:
        program = self.start_program()
        self.assertIn(b' 200 ', program.call())
        self.assertIn(b' 401 ', program.call(key='unknown'))
        wait_for(lambda: self.store.usage, 'a usage report')
        holder, fence, body = self.store.usage[0]
        self.assertEqual(f'n-{program.port}', holder)
        self.assertGreater(fence, 1)
        self.assertEqual({'acme': 1}, body['counts'])

    def test_a_revoked_key_is_refused_and_a_new_key_accepted(self) -> None:
        program = self.start_program()
        self.store.put('op/config', configuration(2, ('new',)))
        wait_for(lambda: b' 401 ' in program.call(), 'a refusal')
        self.assertIn(b' 200 ', program.call(key='new'))

    def test_a_configuration_of_wrong_types_is_logged_and_replaced(
        self,
    ) -> None:
        """Guards against a node that applies no configuration any more."""
        program = self.start_program()
        invalid = json.loads(configuration(2)) | {'limits': [1]}
        self.store.put('op/config', json.dumps(invalid))
        wait_for(
            lambda: 'limits is not an object' in program.log.read_text(),
            'a log line',
        )
        self.assertIn(b' 200 ', program.call())
        self.store.put('op/config', configuration(3, ('new',)))
        wait_for(lambda: b' 401 ' in program.call(), 'a refusal')
        self.assertIn(b' 200 ', program.call(key='new'))

    def test_in_a_store_outage_keys_are_refused_within_the_bound(self) -> None:
        """A key may be revoked while the store is unavailable.

        The node cannot learn of it, so it must stop accepting keys in time.
        """
        program = self.start_program()
        self.store.is_unavailable = True
        started_s = clock_s()
        wait_for(lambda: b' 503 ' in program.call(), 'a refusal')
        self.assertLess(clock_s() - started_s, 5)
        self.assertFalse(program.is_ready())
        self.store.is_unavailable = False
        wait_for(lambda: b' 200 ' in program.call(), 'an answer')

    def test_a_stopping_process_drains_its_calls(self) -> None:
        """A process is told to stop while it answers a request.

        It must report not ready at once, answer this request and those that
        still arrive, and then exit.
        """
        program = self.start_program()
        self.pause_s = 1.0
        caller = eventlet.spawn(program.call)
        wait_for(
            lambda: self.target.received_requests, 'a request at the target'
        )
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGTERM)
        self.assertIn(b' 200 ', caller.wait())
        self.pause_s = 0.0
        self.assertFalse(program.is_ready())
        self.assertIn(b' 200 ', program.call())
        wait_for(program.has_ended, 'the end')
        self.assertEqual(0, program.process.returncode)

    def test_a_process_that_ends_keeps_no_request_waiting(self) -> None:
        """Guards against requests that wait unread for the process's end."""
        program = self.start_program(exit_delay_s=EXIT_DELAY_S)
        program.send_signal(signal.SIGTERM)
        unanswered_s = []
        while not program.has_ended():
            sent_s = clock_s()
            if not program.call():
                unanswered_s.append(clock_s() - sent_s)
            eventlet.sleep(0.01)
        self.assertTrue(unanswered_s)
        self.assertLess(max(unanswered_s), MAX_UNREAD_S)

    def test_sighup_during_startup_does_not_end_the_process(self) -> None:
        """Settings change while a process loads its libraries.

        Without a handler the signal would end the process.
        """
        finished = subprocess.run(
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
        self.assertEqual(0, finished.returncode)

    def test_a_takeover_of_the_duty_raises_the_fencing_token(self) -> None:
        first = self.start_program()
        first.call()
        wait_for(lambda: self.store.usage, 'a usage report')
        second = self.start_program()
        first.send_signal(signal.SIGKILL)
        first_fences = {fence for _, fence, _ in self.store.usage}

        def taken_over() -> bool:
            second.call()
            holders = {holder for holder, _, _ in self.store.usage}
            return f'n-{second.port}' in holders

        wait_for(taken_over, 'another holder')
        second_fences = [
            fence
            for holder, fence, _ in self.store.usage
            if holder == f'n-{second.port}'
        ]
        self.assertGreater(min(second_fences), max(first_fences))
        # The second program may repeat the report of a window from the stored
        # record, but never with different figures.
        figures = {}
        for _, _, body in self.store.usage:
            counts = figures.setdefault(body['window_id'], body['counts'])
            self.assertEqual(counts, body['counts'])

    def test_one_node_asks_the_store_for_its_domain(self) -> None:
        """Guards against store calls that grow with the number of nodes.

        The second node learns of targets, keys and usage from the first one,
        and its calls must still be counted in the usage reports.
        """
        programs = [self.start_program(), self.start_program()]
        wait_for_members(self.store, 2)
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
        wait_for(lambda: self.reported_calls('acme') >= 2, 'usage of both')

    def test_a_node_refused_by_the_store_asks_its_peer(self) -> None:
        """The store refuses one node and serves the other one.

        The refused node would answer 503 although the other one knows that
        the keys are valid. A revoked key must stop working there as well.
        """
        programs = [self.start_program(), self.start_program()]
        wait_for_members(self.store, 2)
        eventlet.sleep(3)
        for refused_program in programs:
            self.store.refused = {refused_program.store_address}
            eventlet.sleep(7)
            self.assertIn(b' 200 ', refused_program.call())
            self.assertTrue(refused_program.is_ready())
        self.store.put('op/config', configuration(2, ('new',)))
        for program in programs:
            wait_for(
                partial(answers_with_status, program, API_KEY, b' 401 '),
                'a refusal',
            )
            wait_for(
                partial(answers_with_status, program, 'new', b' 200 '),
                'an answer',
            )

    def test_a_refused_node_asks_a_source_that_started_later(self) -> None:
        """Guards against 503 at a node that has not listed its peer yet.

        The later node polls the store itself, so it has no news to request
        from the first one.
        """
        source_ports, first_ports = ranked_ports()
        first = self.start_program(first_ports)
        eventlet.sleep(3)
        self.start_program(source_ports)
        wait_for_members(self.store, 2)
        self.store.refused = {first.store_address}
        eventlet.sleep(6)
        self.assertIn(b' 200 ', first.call())
        self.assertTrue(first.is_ready())

    def test_a_refused_node_asks_a_peer_that_starts_now(self) -> None:
        """Guards against 503 until the store serves a refused node again.

        A key that was revoked meanwhile must not be accepted.
        """
        first_ports, peer_ports = ranked_ports()
        first = self.start_program(first_ports)
        self.store.refused = {first.store_address}
        self.store.put('op/config', configuration(2, ('new',)))
        wait_for(partial(answers_with_status, first, API_KEY, b' 503 '), '503')
        self.start_program(peer_ports)
        wait_for(
            partial(answers_with_status, first, 'new', b' 200 '), 'an answer'
        )
        self.assertIn(b' 401 ', first.call())
        self.assertTrue(first.is_ready())

    def test_a_source_that_stood_still_is_polled_again_at_once(self) -> None:
        """Guards against two nodes that poll the store for seconds."""
        source_ports, other_ports = ranked_ports()
        source = self.start_program(source_ports)
        other = self.start_program(other_ports)
        wait_for(lambda: 'peer.asked' in other.log.read_text(), 'a request')
        source.send_signal(signal.SIGSTOP)
        eventlet.sleep(1.2)
        source.send_signal(signal.SIGCONT)
        wait_for(lambda: 'peer.returned' in other.log.read_text(), 'its return')
        wait_for(lambda: 'process.stalled' in source.log.read_text(), 'a line')

    def test_a_node_that_stood_still_is_ready(self) -> None:
        """Guards against a machine whose nodes are all given up at once."""
        program = self.start_program()
        eventlet.sleep(3)
        for _ in range(4):
            program.send_signal(signal.SIGSTOP)
            eventlet.sleep(1.2)
            program.send_signal(signal.SIGCONT)
            until_s = clock_s() + 2.0
            while clock_s() < until_s:
                self.assertTrue(program.is_ready())
                eventlet.sleep(0.05)

    def test_reported_usage_survives_the_expiry_of_all_leases(self) -> None:
        """The store expires the leases of the whole fleet and of the duty.

        Another node takes the duty over while the window can still be
        reported. If the figures were lost, it would record different ones,
        and the calls of the window would be billed twice.
        """
        program = self.start_program()
        program.call()
        wait_for(lambda: self.store.usage, 'a usage report')
        self.store.expire_leases()
        eventlet.sleep(0.5)
        _, _, body = self.store.usage[0]
        key = f'reports/{body["window_id"]}'
        kept_report = json.loads(self.store.items[key].value or '')
        self.assertEqual([['acme', 1]], kept_report['counts'])

    def test_a_peer_port_in_use_fails_the_startup(self) -> None:
        """Guards against nodes that serve callers without links to peers."""
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

    def test_all_invalid_settings_are_reported_together(self) -> None:
        path = pathlib.Path(self.folder) / 'wrong.ini'
        path.write_text('[gateway]\ndomain = a\ncaller_address = nowhere\n')
        finished = subprocess.run(
            [sys.executable, '-W', 'ignore', '-m', 'dandelionyoke_platform'],
            env={**os.environ, 'DANDELIONYOKE_BOOT': str(path)},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, finished.returncode)
        for name in (
            'instance_id',
            'caller_address',
            'peer_address',
            'address',
            'grace_s',
        ):
            self.assertIn(name, finished.stderr)
        self.assertIn('Fix the settings file', finished.stderr)
