"""Nodes whose store comes back from a copy that is some seconds old."""

import contextlib
import json
import tempfile
from collections.abc import Iterator

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import (
    API_KEY,
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
from tests.platform.store_standin import StoreCopy, StoreStandin
from tests.platform.test_process import configuration

# A configuration is in force this long after the store has taken it.
APPLY_S = 2.0
# Nodes know all that the store holds this long after its return.
CONTACT_S = 3.0
# The operator and the targets write again what was lost after this time.
REWRITE_S = 0.3
# Two nodes share their news, the third one asks the store itself.
DOMAINS = ('a', 'a', 'b')
OTHER_KEY = 'another-key'
# More than all that is written in the seconds of a test.
MANY_REVISIONS = 300
# Several windows of usage, some of which are reported before the drill.
CALLS_S = 9.0
# The holder's lease has expired and all windows are due.
REPORTED_S = 14.0
# A copy this old lacks the record of the last report and some counts of its
# window, which ended 4.5 s before.
COPY_AGE_S = 4.8
COPY_INTERVAL_S = 0.2
AWAY_S = 1.0


class StoreCopyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.served_by: list[str] = []
        self.targets = [self.add_target(name) for name in ('i-1', 'i-2')]
        self.config = configuration(1, (API_KEY, OTHER_KEY))
        self.store.put('op/config', self.config)
        self.put_target('i-1', self.targets[0])
        # Holds nothing that the nodes have written.
        self.early_copy = self.store.take_copy()
        self.ports = [Ports() for _ in DOMAINS]
        self.nodes = [
            self.start_node(domain, ports)
            for domain, ports in zip(DOMAINS, self.ports, strict=True)
        ]
        for node in self.nodes:
            node.wait_until_ready()

    def add_target(self, name: str) -> ScriptedTarget:
        def serve(request: ReceivedRequest) -> Iterator[ScriptStep]:
            self.served_by.append(name)
            yield answer()

        target = ScriptedTarget(serve)
        self.addCleanup(target.close)
        return target

    def put_target(
        self, name: str, target: ScriptedTarget, state: str = 'ready'
    ) -> None:
        entry = {
            'service': 'ledger',
            'address': target.address,
            'zone': 'a',
            'slots': 4,
            'state': state,
            'born': 1,
        }
        self.store.put(f'servers/{name}', json.dumps(entry))

    def start_node(self, domain: str, ports: Ports | None = None) -> Program:
        program = Program(self.store, self.folder, ports, domain)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(lambda _: self.show_log(program))
        return program

    def show_log(self, program: Program) -> None:
        name = f'log of n-{program.port}'
        self.addDetail(name, text_content(program.log.read_text()[-30000:]))

    def write_much(self) -> None:
        """Use up revisions that no node is interested in."""
        for number in range(MANY_REVISIONS):
            self.store.put(f'other/{number}', 'x')

    def drill(self, copy: StoreCopy, away_s: float) -> None:
        """Let the store be away and come back from a copy.

        The operator and the targets write again what they had written.
        """
        self.store.is_unavailable = True
        eventlet.sleep(away_s)
        entries = {
            key: item.value
            for key, item in self.store.items.items()
            if key.startswith('servers/')
        }
        self.store.return_from(copy)
        self.store.is_unavailable = False
        eventlet.sleep(REWRITE_S)
        for key, value in entries.items():
            self.store.put(key, value or '')
        self.store.put('op/config', self.config)

    def change_configuration(self, version: int, *keys: str) -> None:
        self.config = configuration(version, keys)
        self.store.put('op/config', self.config)

    def call_all(self, key: str) -> list[bytes]:
        """Return the status lines that the nodes answer a key with."""
        return [node.call(key=key).partition(b'\r\n')[0] for node in self.nodes]

    def assert_statuses(self, status: bytes, key: str) -> None:
        lines = self.call_all(key)
        self.assertTrue(all(status in line for line in lines), lines)

    def revoke_after(self, away_s: float) -> None:
        copy = self.store.take_copy()
        self.write_much()
        self.change_configuration(2, API_KEY, OTHER_KEY)
        eventlet.sleep(APPLY_S)
        self.drill(copy, away_s)
        self.assert_statuses(b' 200 ', OTHER_KEY)
        self.change_configuration(3, API_KEY)
        eventlet.sleep(APPLY_S)
        self.assert_statuses(b' 401 ', OTHER_KEY)
        self.assert_statuses(b' 200 ', API_KEY)

    def test_a_key_revoked_after_a_short_absence_is_refused(self) -> None:
        """Guards against a configuration that is left out as an older one."""
        self.revoke_after(0.5)

    def test_a_key_revoked_after_a_long_absence_is_refused(self) -> None:
        """Guards against a configuration that is left out as an older one."""
        self.revoke_after(3.0)

    def test_a_key_revoked_before_stays_refused(self) -> None:
        """Guards against a copy that puts an older configuration in force."""
        copy = self.store.take_copy()
        self.change_configuration(2, API_KEY)
        eventlet.sleep(APPLY_S)
        self.assert_statuses(b' 401 ', OTHER_KEY)
        self.store.return_from(copy)
        for _ in range(5):
            eventlet.sleep(0.3)
            self.assert_statuses(b' 401 ', OTHER_KEY)
        self.store.put('op/config', self.config)
        eventlet.sleep(APPLY_S)
        self.assert_statuses(b' 401 ', OTHER_KEY)

    def test_changes_below_the_last_revision_are_seen(self) -> None:
        """Guards against a watch from a revision that is given out again."""
        copy = self.store.take_copy()
        self.write_much()
        eventlet.sleep(1.0)
        self.store.return_from(copy)
        # Before any node has asked again.
        self.put_target('i-1', self.targets[0], 'draining')
        self.put_target('i-2', self.targets[1])
        for _ in range(2):
            self.write_much()
        eventlet.sleep(APPLY_S)
        self.served_by.clear()
        self.assert_statuses(b' 200 ', API_KEY)
        self.assertEqual({'i-2'}, set(self.served_by))

    def test_a_target_that_left_gets_no_calls_from_a_copy(self) -> None:
        """Guards against an entry of the copy that lists it as ready again."""
        self.put_target('i-2', self.targets[1])
        eventlet.sleep(APPLY_S)
        copy = self.store.take_copy()
        self.put_target('i-1', self.targets[0], 'draining')
        eventlet.sleep(APPLY_S)
        self.store.remove('servers/i-1')
        eventlet.sleep(APPLY_S)
        self.store.return_from(copy)
        self.served_by.clear()
        for _ in range(5):
            eventlet.sleep(0.4)
            self.assert_statuses(b' 200 ', API_KEY)
        self.assertEqual({'i-2'}, set(self.served_by))

    def test_nodes_register_again(self) -> None:
        """Guards against nodes that are counted as gone, so that limits grow."""
        wait_for_members(self.store, len(DOMAINS))
        self.drill(self.early_copy, 0.5)
        eventlet.sleep(CONTACT_S - REWRITE_S)
        self.assertEqual(len(DOMAINS), len(self.store.keys('members/')))

    def test_the_secret_of_the_links_is_kept(self) -> None:
        """Guards against old and new nodes that cannot link."""
        wait_for(lambda: 'links/secret' in self.store.items, 'the secret')
        secret = self.store.items['links/secret'].value
        self.drill(self.early_copy, 0.5)
        eventlet.sleep(CONTACT_S - REWRITE_S)
        self.assertIn('links/secret', self.store.items)
        self.assertEqual(secret, self.store.items['links/secret'].value)

    def test_fences_rise_and_calls_are_reported_once(self) -> None:
        """Guards against a fence that goes back, and counts that are lost."""
        calls = 0
        until_s = clock_s() + CALLS_S
        while clock_s() < until_s:
            self.assert_statuses(b' 200 ', API_KEY)
            calls += len(self.nodes)
            eventlet.sleep(0.2)
        wait_for(lambda: self.store.usage, 'a report')
        self.drill(self.early_copy, 0.5)
        eventlet.sleep(REPORTED_S)
        stamps = [(fence, holder) for holder, fence, _ in self.store.usage]
        self.assertEqual(sorted(stamps), stamps)
        fences = {fence for fence, _ in stamps}
        self.assertEqual(len(fences), len(set(stamps)))
        windows = [body['window_id'] for _, _, body in self.store.usage]
        self.assertEqual(sorted(set(windows)), sorted(windows))
        reported = sum(
            body['counts'].get('acme', 0) for _, _, body in self.store.usage
        )
        self.assertEqual(calls, reported)

    def take_copies(self, copies: list[tuple[float, StoreCopy]]) -> None:
        while True:
            copies.append((clock_s(), self.store.take_copy()))
            eventlet.sleep(COPY_INTERVAL_S)

    def call_always(self, number: int) -> None:
        while True:
            with contextlib.suppress(OSError):
                self.nodes[number].call()
            eventlet.sleep(0.1)

    def start_calls(self) -> None:
        for number, _ in enumerate(DOMAINS):
            task = eventlet.spawn(self.call_always, number)
            self.addCleanup(task.kill)

    def restart(self, name: str) -> None:
        """Kill a node and start it again."""
        names = [f'n-{node.port}' for node in self.nodes]
        number = names.index(name)
        self.nodes[number].process.kill()
        self.nodes[number] = self.start_node(
            DOMAINS[number], self.ports[number]
        )

    def test_a_window_of_a_killed_holder_is_not_reported_again(self) -> None:
        """Guards against a second report after the first one's record is lost."""
        copies: list[tuple[float, StoreCopy]] = []
        copying = eventlet.spawn(self.take_copies, copies)
        self.addCleanup(copying.kill)
        self.start_calls()
        wait_for(lambda: self.store.usage, 'a report')
        count = len(self.store.usage)
        wait_for(lambda: len(self.store.usage) > count, 'another report')
        reported_s, holder, _, _ = self.store.reports[-1]
        copy = [one for at_s, one in copies if at_s < reported_s - COPY_AGE_S][
            -1
        ]
        self.store.is_unavailable = True
        self.restart(holder)
        self.drill(copy, AWAY_S)
        # The lease of the killed holder ends in the copy too.
        self.store.expire_leases()
        eventlet.sleep(REPORTED_S)
        reports = [
            (body['window_id'], json.dumps(body['counts'], sort_keys=True))
            for _, _, body in self.store.usage
        ]
        windows = [window_id for window_id, _ in reports]
        self.assertEqual(len(set(windows)), len(set(reports)), reports)
        self.assertGreater(max(windows), windows[count] + 2)
