"""Gateway processes of which one loses all its connections to targets."""

import json
import tempfile
from collections.abc import Callable, Iterator

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from dandelionyoke_standins._relay import Relay
from tests.platform.node_harness import (
    API_KEY,
    HOST,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
    chunk,
    request_bytes,
    stream_head,
)
from tests.platform.program import (
    Program,
    kill_after,
    wait_for_members,
)
from tests.platform.store_standin import StoreStandin

# From this long after a partition began, first attempts at the node must be
# served two thirds as often as elsewhere.
NOTICE_S = 3.0
CUT_S = 8.0
CALL_INTERVAL_S = 0.2
# Calls of the same kind overlap, so that they need several connections.
CALLS_AT_ONCE = 2
WORK_S = 0.05
MIN_SERVED_SHARE = 2 / 3
PATHS = ('/confirm/1', '/look/1', '/ask/1')
PROMPT_HEADERS = (
    'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'
)


def configuration() -> str:
    kinds = {
        '/confirm/': ('non_idempotent', 'ledger'),
        '/look/': ('idempotent', 'ledger'),
        '/ask/': ('streaming', 'lm'),
    }
    routes = [
        {
            'name': path,
            'host': HOST,
            'path_prefix': path,
            'kind': kind,
            'timeout_ms': 3000,
            'target_latency_ms': 500,
            'service': service,
            'max_attempts': 2,
        }
        for path, (kind, service) in kinds.items()
    ]
    engine = {
        'slots': 8,
        'kv_capacity_tokens': 90000,
        'kv_hold_s': 5,
        'role_switch_s': 1,
    }
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': [
                {'name': 'ledger', 'max_connections': 99},
                {'name': 'lm', 'max_connections': 99, 'engine': engine},
            ],
            'tenants': [{'name': 'acme', 'api_keys': [API_KEY]}],
        }
    )


def respond(request: ReceivedRequest) -> Iterator[ScriptStep]:
    """Answer as a plain service or as an engine of either phase."""
    yield WORK_S
    if request.headers.get('serving-phase') == 'prefill':
        yield answer(body=b'{"kv_handle":"h1","tokens":900,"version":1}')
    elif request.line.startswith('POST /ask/'):
        yield stream_head()
        yield chunk(b'id: 1\ndata: t\n\n')
        yield chunk(b'')
    else:
        yield answer()


class HandoverTest(testtools.TestCase):
    """Two nodes in two domains; the links of one to targets can be cut."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.targets: dict[str, ScriptedTarget] = {}
        self.links: list[Relay] = []
        self.own_store = self.store.open_address()
        rewrites = self.store.rewrites_at.setdefault(self.own_store, {})
        for number, (service, phase) in enumerate(
            (
                ('ledger', None),
                ('ledger', None),
                ('lm', 'prefill'),
                ('lm', 'prefill'),
                ('lm', 'decode'),
                ('lm', 'decode'),
            )
        ):
            self._add_target(f'i-{number}', service, phase, rewrites)
        self.cut_node = self._start_node('a', self.own_store)
        self.other_node = self._start_node('b', '')
        for program in (self.cut_node, self.other_node):
            program.wait_until_ready()
        self._wait_for_members()

    def _add_target(
        self,
        name: str,
        service: str,
        phase: str | None,
        rewrites: dict[str, str],
    ) -> None:
        target = ScriptedTarget(respond)
        self.addCleanup(target.close)
        self.targets[name] = target
        host, _, port = target.address.rpartition(':')
        link = Relay(host, int(port))
        link.start()
        self.addCleanup(link.close)
        self.links.append(link)
        rewrites[f'"{target.address}"'] = f'"{link.address}"'
        entry = {
            'service': service,
            'address': target.address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
        }
        if phase is not None:
            entry['phase'] = phase
        self.store.put(f'servers/{name}', json.dumps(entry))

    def _start_node(self, domain: str, store_address: str) -> Program:
        program = Program(
            self.store,
            self.folder,
            domain=domain,
            store_address=store_address,
        )
        kill_after(self, program)
        return program

    def _wait_for_members(self) -> None:
        """Wait until each node has listed the other one."""
        wait_for_members(self.store, 2)
        # Both list the members again within this time.
        eventlet.sleep(4.5)

    def call(self, program: Program, path: str, deadline_ms: int = 3000) -> int:
        """Make a call; return its status, 0 without an answer in time."""
        content = request_bytes(path, extra=PROMPT_HEADERS).replace(
            b'Deadline-Ms: 3000', f'Deadline-Ms: {deadline_ms}'.encode()
        )
        with eventlet.Timeout(deadline_ms / 1000, exception=False):
            received = program.exchange(program.port, content)
            return int(received.split(b' ')[1]) if received else 0
        return 0

    def call_during_cut(self, cut: Callable[[Relay], None]) -> list[int]:
        """Cut the links; return the statuses of the calls that count."""
        for path in PATHS:
            self.assertEqual(200, self.call(self.cut_node, path))
        for link in self.links:
            cut(link)
        cut_s = clock_s()
        calls = []
        while clock_s() < cut_s + CUT_S:
            path = PATHS[len(calls) // CALLS_AT_ONCE % len(PATHS)]
            sent_s = clock_s()
            calls.extend(
                (sent_s, eventlet.spawn(self.call, self.cut_node, path))
                for _ in range(CALLS_AT_ONCE)
            )
            eventlet.sleep(CALL_INTERVAL_S)
        return [
            caller.wait()
            for sent_s, caller in calls
            if sent_s >= cut_s + NOTICE_S
        ]

    def assert_served(self, statuses: list[int]) -> None:
        served = statuses.count(200)
        self.assertGreaterEqual(
            served / len(statuses), MIN_SERVED_SHARE, statuses
        )

    def test_calls_are_served_while_connections_to_targets_hang(self) -> None:
        """Guards against callers of a node that is cut off from all targets."""
        self.assert_served(self.call_during_cut(Relay.hang))

    def test_calls_are_served_while_targets_refuse_connections(self) -> None:
        """Guards against the same cut with resets and refused connections."""
        self.assert_served(self.call_during_cut(Relay.cut))

    def test_calls_are_served_while_old_connections_live_on(self) -> None:
        """Guards against a cut that only shows with new connections."""
        self.assert_served(self.call_during_cut(Relay.refuse))
