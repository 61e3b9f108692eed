"""Plays a soak: real programs, faults from outside, promises checked.

python -m tests.soak.soak --seeds 1-50 --seconds 20
"""

import argparse
import json
import os
import pathlib
import secrets
import signal
import sys
import tempfile
from random import Random

import attrs
import eventlet

from dandelionyoke_gateway import ExitStatus, clock_s
from dandelionyoke_standins._relay import Relay
from tests.platform.path import HOST
from tests.platform.program import Ports, Program
from tests.platform.store_standin import StoreStandin
from tests.soak.callers import Caller
from tests.soak.faults import Fault, plan_faults
from tests.soak.promises import CONTACT_S, find_broken
from tests.soak.record import KINDS, SoakRecord, Span, UsageReport
from tests.soak.targets import SoakTarget

DOMAINS = ('a', 'a', 'b', 'b')
CALLERS_A_NODE = 3
BEAT_S = 1.2
RESTART_S = 0.3
# Callers are served again within this time after the last fault.
RECOVERY_S = 12.0
CALM_S = 3.0
GRACE_S = 8.0


@attrs.define
class SoakNode:
    """A node's ports, relays and its process of the moment."""

    name: str
    domain: str
    ports: Ports
    store_link: Relay
    caller_link: Relay
    peer_link: Relay
    program: Program
    is_leaving: bool = False


@attrs.define
class SoakResult:
    """What a seed came to."""

    seed: int
    calls: int
    served: int
    broken: list[str]


class Soak:
    """One run of a seed."""

    def __init__(self, seed: int, for_s: float, folder: str) -> None:
        self._seed = seed
        self._for_s = for_s
        self._folder = folder
        self._random = Random(seed)
        self._record = SoakRecord()
        self._store = StoreStandin()
        self._keys = {'acme': 'key-acme', 'beta': 'key-beta'}
        self._withdrawn: set[str] = set()
        self._version = 0
        self._relays: list[Relay] = []
        self._targets: list[SoakTarget] = []
        self._target_links: list[Relay] = []
        self._callers: list[Caller] = []
        self._nodes: list[SoakNode] = []
        self._is_ended = False

    def play(self) -> SoakResult:
        """Play the seed; every process is ended in the end."""
        try:
            self._play()
        finally:
            self._end()
        self._note_usage()
        served = sum(
            call.status == 200 and call.is_whole for call in self._record.calls
        )
        broken = find_broken(self._record)
        return SoakResult(self._seed, len(self._record.calls), served, broken)

    def _play(self) -> None:
        self._configure()
        self._start_targets()
        for number, domain in enumerate(DOMAINS):
            self._nodes.append(self._start_node(number, domain))
        for node in self._nodes:
            node.program.wait_until_ready()
            self._start_callers(node)
        eventlet.spawn_n(self._beat)
        eventlet.spawn_n(self._watch)
        faults = [
            eventlet.spawn_after(fault.at_s, self._inject, fault)
            for fault in plan_faults(self._seed, self._for_s)
        ]
        for fault in faults:
            fault.wait()
        began_s = clock_s()
        for node in self._nodes:
            self._await_recovery(node, began_s + RECOVERY_S)
        eventlet.sleep(CALM_S)

    # What is played.

    def _configure(self) -> None:
        self._version += 1
        routes = [
            {
                'name': path,
                'host': HOST,
                'path_prefix': path,
                'kind': kind,
                'timeout_ms': 4000,
                'target_latency_ms': 500,
                'service': service,
                'max_attempts': 3,
                'allow_resume': path == '/resume/',
            }
            for path, kind, service in zip(
                KINDS,
                ('non_idempotent', 'idempotent', 'streaming', 'streaming'),
                ('ledger', 'ledger', 'lm', 'lm'),
                strict=True,
            )
        ]
        engine = {
            'slots': 8,
            'kv_capacity_tokens': 90000,
            'kv_hold_s': 5,
            'role_switch_s': 1,
        }
        written = {
            'version': self._version,
            'routes': routes,
            'services': [
                {'name': 'ledger', 'max_connections': 99},
                {'name': 'lm', 'max_connections': 99, 'engine': engine},
            ],
            'tenants': [
                {
                    'name': name,
                    'api_keys': [] if name in self._withdrawn else [key],
                }
                for name, key in self._keys.items()
            ],
        }
        self._store.put('op/config', json.dumps(written))

    def _start_targets(self) -> None:
        kinds = (
            ('ledger', None),
            ('ledger', None),
            ('lm', 'prefill'),
            ('lm', 'prefill'),
            ('lm', 'prefill'),
            ('lm', 'prefill'),
            ('lm', 'decode'),
        )
        for number, (service, phase) in enumerate(kinds):
            target = SoakTarget(
                f'i-{number}',
                service,
                phase,
                self._record,
                self._store,
                self._random,
            )
            link = self._link(target.address)
            target.register(link.address)
            self._targets.append(target)
            self._target_links.append(link)

    def _start_node(self, number: int, domain: str) -> SoakNode:
        ports = Ports()
        store_link = self._link(self._store.open_address())
        peer_link = self._link(f'127.0.0.1:{ports.peers}')
        caller_link = self._link(f'127.0.0.1:{ports.callers}')
        # Other nodes reach this one over a relay as well.
        real = f'127.0.0.1:{ports.peers}'
        self._store.rewrites[real] = peer_link.address
        program = self._start_program(ports, domain, store_link.address)
        return SoakNode(
            f'n-{ports.callers}',
            domain,
            ports,
            store_link,
            caller_link,
            peer_link,
            program,
        )

    def _start_program(
        self, ports: Ports, domain: str, store_address: str
    ) -> Program:
        return Program(self._store, self._folder, ports, domain, store_address)

    def _start_callers(self, node: SoakNode) -> None:
        port = int(node.caller_link.address.rpartition(':')[2])
        for number in range(CALLERS_A_NODE):
            caller = Caller(
                f'{node.name}.{number}',
                node.name,
                port,
                lambda name: self._keys[name],
                self._record,
                self._random,
            )
            self._callers.append(caller)
            eventlet.spawn_n(caller.run)

    def _link(self, address: str) -> Relay:
        host, _, port = address.rpartition(':')
        relay = Relay(host, int(port))
        relay.start()
        self._relays.append(relay)
        return relay

    def _beat(self) -> None:
        while not self._is_ended:
            eventlet.sleep(BEAT_S)
            for target in self._targets:
                if not self._store.is_out:
                    target.beat()

    def _watch(self) -> None:
        """Start processes again that have ended, as the platform does."""
        while not self._is_ended:
            eventlet.sleep(RESTART_S)
            for node in self._nodes:
                if node.program.has_ended() and not self._is_ended:
                    self._restart(node)

    def _restart(self, node: SoakNode) -> None:
        status = node.program.process.returncode
        is_asked = status in {-signal.SIGKILL, ExitStatus.OK, ExitStatus.CUT}
        if not is_asked or (status >= 0 and not node.is_leaving):
            self._record.exits.append(f'{node.name} ended with {status}')
        node.is_leaving = False
        node.program = self._start_program(
            node.ports, node.domain, node.store_link.address
        )

    # Faults.

    def _inject(self, fault: Fault) -> None:
        inject = {
            'node': self._harm_node,
            'store': self._harm_store,
            'target': self._harm_target,
            'change': self._change,
        }.get(fault.kind, self._harm_link)
        inject(fault)

    def _note(self, kind: str, where: str, began_s: float) -> None:
        self._record.spans.append(Span(kind, where, began_s, clock_s()))

    def _harm_node(self, fault: Fault) -> None:
        node = self._nodes[fault.which % len(self._nodes)]
        began_s = clock_s()
        if node.program.has_ended():
            return
        if fault.how == 'reload':
            node.program.end(signal.SIGHUP)
        elif fault.how == 'kill':
            node.program.end(signal.SIGKILL)
            eventlet.sleep(RESTART_S * 4)
            self._note('kill', node.name, began_s)
        elif fault.how == 'pause':
            self._pause(node, fault.for_s)
            self._note('pause', node.name, began_s)
        elif not node.is_leaving:
            node.is_leaving = True
            node.program.end(signal.SIGTERM)
            self._note('term', node.name, began_s)

    def _pause(self, node: SoakNode, for_s: float) -> None:
        program = node.program
        program.end(signal.SIGSTOP)
        eventlet.sleep(for_s)
        if not program.has_ended():
            program.end(signal.SIGCONT)

    def _harm_link(self, fault: Fault) -> None:
        began_s = clock_s()
        node = self._nodes[fault.which % len(self._nodes)]
        link = {
            'store': node.store_link,
            'callers': node.caller_link,
            'peers': node.peer_link,
        }.get(fault.kind)
        where = node.name
        if link is None:
            link = self._target_links[fault.which % len(self._target_links)]
            where = ''
        if fault.how == 'delay':
            link.delay(fault.for_s / 10)
        else:
            getattr(link, fault.how)()
        eventlet.sleep(fault.for_s)
        link.restore()
        # What was silenced stays silent until its ends notice.
        self._note(fault.kind, where, began_s)

    def _harm_store(self, fault: Fault) -> None:
        began_s = clock_s()
        if fault.how == 'out':
            self._store.is_out = True
            eventlet.sleep(fault.for_s)
            self._store.is_out = False
        elif fault.how == 'refuse':
            address = f'127.0.0.1:{self._store_port(fault.which)}'
            self._store.refused.add(address)
            eventlet.sleep(fault.for_s)
            self._store.refused.discard(address)
        elif fault.how == 'forget':
            self._store.history.clear()
            self._store.forgotten = self._store.revision
        elif fault.how == 'lapse':
            self._store.lapse()
        else:
            self._store.loses = True
            eventlet.sleep(fault.for_s)
            self._store.loses = False
        self._note('store', '', began_s)

    def _store_port(self, which: int) -> int:
        node = self._nodes[which % len(self._nodes)]
        return node.store_link.to_port

    def _harm_target(self, fault: Fault) -> None:
        target = self._targets[fault.which % len(self._targets)]
        if fault.how == 'leave':
            target.leave()
            eventlet.sleep(fault.for_s)
            target.come_back()
            return
        target.trouble = fault.how
        eventlet.sleep(fault.for_s)
        target.trouble = ''

    def _change(self, fault: Fault) -> None:
        if fault.how == 'configure':
            self._configure()
        elif 'beta' not in self._record.withdrawn:
            self._withdraw()

    def _withdraw(self) -> None:
        """Take a key away; much later its organisation has another one."""
        self._withdrawn.add('beta')
        self._configure()
        taken_s = clock_s()
        self._record.withdrawn['beta'] = (taken_s, float('inf'))
        eventlet.sleep(GRACE_S)
        self._withdrawn.discard('beta')
        self._configure()
        self._record.withdrawn['beta'] = (taken_s, clock_s())

    # The end.

    def _await_recovery(self, node: SoakNode, until_s: float) -> None:
        while clock_s() < until_s:
            if self._is_served(node):
                return
            eventlet.sleep(0.2)
        self._record.unrecovered.append(node.name)

    def _is_served(self, node: SoakNode) -> bool:
        since_s = clock_s() - CONTACT_S / 2
        return any(
            call.node == node.name
            and call.sent_s > since_s
            and call.status == 200
            for call in self._record.calls[-400:]
        )

    def _note_usage(self) -> None:
        for at_s, holder, fence, body in self._store.reports:
            self._record.usage.append(
                UsageReport(
                    at_s,
                    holder,
                    fence,
                    body['window_id'],
                    tuple(sorted(body['counts'].items())),
                )
            )

    def _end(self) -> None:
        self._is_ended = True
        for caller in self._callers:
            caller.is_ended = True
        for node in self._nodes:
            if not node.program.has_ended():
                node.program.end(signal.SIGCONT)
                node.program.end(signal.SIGKILL)
            node.program.process.wait()
        for relay in self._relays:
            relay.close()
        for target in self._targets:
            target.server.close()
        self._store.close()


def play(seed: int, for_s: float, folder: str) -> SoakResult:
    """Play one seed with its logs in a folder."""
    return Soak(seed, for_s, folder).play()


def main(arguments: list[str]) -> int:
    """Play seeds one after the other; the logs of broken ones stay."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seeds', default='')
    parser.add_argument('--fresh', type=int, default=0)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--logs', default='.logs/soak')
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1)) if first else []
    seeds.extend(secrets.randbelow(10**9) for _ in range(options.fresh))
    broken = 0
    for seed in seeds:
        broken += bool(_play_one(seed, options).broken)
    sys.stdout.write(f'{len(seeds)} seeds, {broken} with a promise broken\n')
    return 1 if broken else 0


def _play_one(seed: int, options: argparse.Namespace) -> SoakResult:
    with tempfile.TemporaryDirectory() as folder:
        result = play(seed, options.seconds, folder)
        sys.stdout.write(
            f'seed {seed}: {result.served} of {result.calls} served, '
            f'{len(result.broken)} broken\n'
        )
        for text in result.broken[:20]:
            sys.stdout.write(f'  {text}\n')
        sys.stdout.flush()
        if result.broken:
            kept = pathlib.Path(options.logs) / str(seed)
            os.makedirs(kept, exist_ok=True)
            for log in pathlib.Path(folder).glob('log-*'):
                (kept / log.name).write_bytes(log.read_bytes())
    return result


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
