"""Runs a soak test: real processes, injected faults, checked guarantees.

python -m tests.soak.soak --seeds 1-50 --seconds 20
"""

import argparse
import os
import pathlib
import secrets
import signal
import sys
import tempfile
from collections import deque
from random import Random

import attrs
import eventlet

from dandelionyoke_gateway import ExitStatus, clock_s
from dandelionyoke_links import install_event_loop
from dandelionyoke_standins._relay import Relay
from tests.platform.program import Ports, Program, free_port
from tests.platform.store_standin import StoreCopy, StoreStandin
from tests.soak.callers import Caller, Surroundings
from tests.soak.charges import read_charges
from tests.soak.configuration import SoakConfiguration
from tests.soak.events import VERSIONS
from tests.soak.faults import Fault, plan_faults, planned_start_s
from tests.soak.outcomes import describe_outcomes
from tests.soak.paced_part import PacedPart, describe_in_flight
from tests.soak.promises import FAULT_EFFECT_S, find_violations
from tests.soak.record import (
    LeavingTold,
    NamedLimit,
    Part,
    PlannedWork,
    SoakRecord,
    Span,
    UsageReport,
)
from tests.soak.silences import Silences
from tests.soak.stalls import describe_stalls, name_stalls, watch_for_stalls
from tests.soak.targets import LIMITS_PER_S, RESTS_S, SoakTarget

DOMAINS = ('a', 'a', 'b', 'b')
CALLERS_PER_NODE = 3
ENTRY_INTERVAL_S = 1.2
# What targets say of their speed, in turns, in seeds with an even number.
SLOWNESS_PERCENT = (70, 100, 170)
RESTART_S = 0.3
# Every node must answer callers again within this time after the last fault.
RECOVERY_S = 12.0
SETTLE_S = 3.0
KEY_RETURN_S = 8.0
# A copy of the store is taken so often, and the oldest of so many comes back.
COPY_INTERVAL_S = 1.0
KEPT_COPIES = 5
# The operator and the targets write again what a copy lacks after this time.
REWRITE_S = 0.3


@attrs.define
class SoakNode:
    """A node's ports and relays, and its current process."""

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
    """The result of one seed."""

    seed: int
    calls: int
    served_calls: int
    violations: list[str]
    notes: list[str]


class Soak:
    """One soak with a seed."""

    def __init__(self, seed: int, duration_s: float, folder: str) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._folder = folder
        self._random = Random(seed)
        self._record = SoakRecord()
        self._store = StoreStandin()
        self._configuration = SoakConfiguration(
            {'acme': 'key-acme', 'beta': 'key-beta'}
        )
        self._silences = Silences(self._record, self._change)
        self._relays: list[Relay] = []
        self._targets: list[SoakTarget] = []
        self._target_links: list[Relay] = []
        # The paths of each domain to the targets.
        self._domain_links: dict[str, list[Relay]] = {}
        self._cut_domains: set[str] = set()
        self._swapped: list[SoakTarget] = []
        # What the store held in the last seconds, the oldest first.
        self._copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        self._callers: list[Caller] = []
        self._caller_addresses: list[tuple[str, int]] = []
        self._nodes: list[SoakNode] = []
        self._is_ended = False

    def run(self) -> SoakResult:
        """Run the soak, and end every process."""
        try:
            self._run()
        finally:
            self._shut_down()
        self._record_usage()
        read_charges(self._folder, self._record)
        served_calls = sum(
            call.status == 200 and call.is_complete
            for call in self._record.calls
        )
        violations = [
            name_stalls(text, self._record)
            for text in find_violations(self._record)
        ]
        return SoakResult(
            self._seed,
            len(self._record.calls),
            served_calls,
            violations,
            [
                *describe_outcomes(self._record),
                *describe_in_flight(self._record),
                describe_stalls(self._record),
            ],
        )

    def _run(self) -> None:
        self._record.start_s = clock_s()
        eventlet.spawn_n(watch_for_stalls, self._record, lambda: self._is_ended)
        self._configure()
        self._start_targets()
        for number, domain in enumerate(DOMAINS):
            self._nodes.append(self._start_node(number, domain))
        for node in self._nodes:
            node.program.wait_until_ready()
            self._start_callers(node)
        eventlet.spawn_n(self._take_copies)
        eventlet.spawn_n(self._write_entries)
        eventlet.spawn_n(self._restart_ended_nodes)
        self._play_faults()
        self._play_paced_part()

    def _play_faults(self) -> None:
        plan = plan_faults(self._seed, self._duration_s)
        begun_s = clock_s()
        faults = [
            eventlet.spawn_after(fault.at_s, self._inject, fault)
            for fault in plan
        ]
        for fault in faults:
            fault.wait()
        ended_s = clock_s()
        for node in self._nodes:
            self._await_recovery(node, ended_s + RECOVERY_S)
        eventlet.sleep(SETTLE_S)
        planned_s = begun_s + planned_start_s(plan)
        self._record.parts.extend(
            (
                Part('faults', self._record.start_s, planned_s),
                Part('planned work', planned_s, clock_s()),
            )
        )

    def _play_paced_part(self) -> None:
        for caller in self._callers:
            caller.is_ended = True
        # Nothing of the platform's paths is harmed any more.
        addresses = [(node.name, node.ports.callers) for node in self._nodes]
        part = PacedPart(self._surroundings(addresses), self._targets)
        part.play(self._seed, self._inject)

    # Configuration, processes and callers.

    def _configure(self) -> None:
        self._store.put('op/config', self._configuration.next_version())
        self._record_planned('configuration', '')

    def _change(self, kind: str) -> None:
        self._configuration.change(kind)
        self._configure()

    def _start_targets(self) -> None:
        first, second = VERSIONS
        kinds = (
            ('ledger', None, first),
            ('ledger', None, second),
            ('lm', 'prefill', first),
            ('lm', 'prefill', second),
            ('lm', 'prefill', first),
            ('lm', 'prefill', second),
            ('lm', 'decode', first),
            ('ledger-b', None, first),
            ('ledger-b', None, second),
            ('lm', 'decode', second),
            ('lm', 'decode', first),
            ('lm', 'decode', second),
        )
        for number, (service, phase, version) in enumerate(kinds):
            target = SoakTarget(
                f'i-{number}',
                service,
                phase,
                version,
                self._record,
                self._store,
                self._random,
            )
            if self._seed % 2 == 0:
                target.slowness_percent = SLOWNESS_PERCENT[
                    number % len(SLOWNESS_PERCENT)
                ]
            link = self._start_relay(target.address)
            target.register(link.address)
            self._targets.append(target)
            self._target_links.append(link)
            self._silences.add(target, link)
        for domain in sorted(set(DOMAINS)):
            self._domain_links[domain] = [
                self._start_relay(link.address) for link in self._target_links
            ]

    def _start_node(self, number: int, domain: str) -> SoakNode:
        ports = Ports()
        store_address = self._store.open_address()
        # Each domain has its own paths to the targets.
        self._store.rewrites_at[store_address] = {
            f'"{shared.address}"': f'"{own.address}"'
            for shared, own in zip(
                self._target_links, self._domain_links[domain], strict=True
            )
        }
        store_link = self._start_relay(store_address)
        peer_link = self._start_relay(f'127.0.0.1:{ports.peers}')
        caller_link = self._start_relay(f'127.0.0.1:{ports.callers}')
        # Other nodes also reach this one through a relay.
        real_address = f'127.0.0.1:{ports.peers}'
        self._store.rewrites[real_address] = peer_link.address
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
        address = node.name, port
        self._caller_addresses.append(address)
        surroundings = self._surroundings(self._caller_addresses)
        for number in range(CALLERS_PER_NODE):
            caller = Caller(f'{node.name}.{number}', address, surroundings)
            self._callers.append(caller)
            eventlet.spawn_n(caller.run)

    def _surroundings(self, addresses: list[tuple[str, int]]) -> Surroundings:
        return Surroundings(
            lambda name: self._configuration.keys[name],
            addresses,
            self._count_serving,
            self._record,
            self._random,
        )

    def _count_serving(self, version: str) -> int:
        return sum(
            target.version == version and target.is_serving
            for target in self._targets
            if target.phase == 'decode'
        )

    def _start_relay(self, address: str) -> Relay:
        host, _, port = address.rpartition(':')
        # The kernel would give the port of a relay that is cut to a connection.
        relay = Relay(host, int(port), free_port())
        relay.start()
        self._relays.append(relay)
        return relay

    def _write_entries(self) -> None:
        while not self._is_ended:
            eventlet.sleep(ENTRY_INTERVAL_S)
            for target in self._targets:
                is_silent = target.server.is_silent
                if not self._store.is_unavailable and not is_silent:
                    target.write_entry()

    def _restart_ended_nodes(self) -> None:
        """Restart processes that have ended, as the platform does."""
        while not self._is_ended:
            eventlet.sleep(RESTART_S)
            for node in self._nodes:
                if node.program.has_ended() and not self._is_ended:
                    self._restart(node)

    def _restart(self, node: SoakNode) -> None:
        status = node.program.process.returncode
        is_expected = status in {-signal.SIGKILL, ExitStatus.OK, ExitStatus.CUT}
        if not is_expected or (status >= 0 and not node.is_leaving):
            self._record.unexpected_exits.append(
                f'{node.name} ended with {status}'
            )
        node.is_leaving = False
        node.program = self._start_program(
            node.ports, node.domain, node.store_link.address
        )

    # Faults.

    def _inject(self, fault: Fault) -> None:
        inject = {
            'node': self._inject_node_fault,
            'store': self._inject_store_fault,
            'target': self._inject_target_fault,
            'change': self._inject_change,
            'reach': self._inject_reach_fault,
            'silence': self._silences.inject,
            'version': self._inject_version,
            'copy': self._inject_copy,
        }.get(fault.kind, self._inject_link_fault)
        inject(fault)

    def _record_span(self, kind: str, node_name: str, start_s: float) -> None:
        self._record.spans.append(Span(kind, node_name, start_s, clock_s()))

    def _record_planned(self, kind: str, node_name: str) -> None:
        self._record.planned.append(PlannedWork(kind, node_name, clock_s()))

    def _inject_node_fault(self, fault: Fault) -> None:
        node = self._nodes[fault.index % len(self._nodes)]
        start_s = clock_s()
        if node.program.has_ended():
            return
        if fault.action == 'reload':
            self._record_planned('reload', node.name)
            node.program.send_signal(signal.SIGHUP)
        elif fault.action == 'kill':
            node.program.send_signal(signal.SIGKILL)
            eventlet.sleep(RESTART_S * 4)
            self._record_span('kill', node.name, start_s)
        elif fault.action == 'pause':
            self._pause(node, fault.duration_s)
            self._record_span('pause', node.name, start_s)
        elif not node.is_leaving:
            node.is_leaving = True
            self._record_planned('term', node.name)
            node.program.send_signal(signal.SIGTERM)
            self._record_span('term', node.name, start_s)

    def _pause(self, node: SoakNode, duration_s: float) -> None:
        program = node.program
        program.send_signal(signal.SIGSTOP)
        eventlet.sleep(duration_s)
        if not program.has_ended():
            program.send_signal(signal.SIGCONT)

    def _inject_link_fault(self, fault: Fault) -> None:
        start_s = clock_s()
        node = self._nodes[fault.index % len(self._nodes)]
        link = {
            'store': node.store_link,
            'callers': node.caller_link,
            'peers': node.peer_link,
        }.get(fault.kind)
        node_name = node.name
        if link is None:
            link = self._target_links[fault.index % len(self._target_links)]
            node_name = ''
        if fault.action == 'delay':
            link.delay(fault.duration_s / 10)
        else:
            getattr(link, fault.action)()
        eventlet.sleep(fault.duration_s)
        link.restore()
        # A silenced connection stays silent until its endpoints notice.
        self._record_span(fault.kind, node_name, start_s)

    def _inject_reach_fault(self, fault: Fault) -> None:
        """Cut all nodes of a domain off from all targets."""
        domains = sorted(self._domain_links)
        domain = domains[fault.index % len(domains)]
        if domain in self._cut_domains:
            return
        self._cut_domains.add(domain)
        start_s = clock_s()
        for link in self._domain_links[domain]:
            getattr(link, fault.action)()
        eventlet.sleep(fault.duration_s)
        for link in self._domain_links[domain]:
            link.restore()
        self._cut_domains.discard(domain)
        for node in self._nodes:
            if node.domain == domain:
                self._record_span('reach', node.name, start_s)

    def _inject_store_fault(self, fault: Fault) -> None:
        start_s = clock_s()
        if fault.action == 'out':
            self._store.is_unavailable = True
            eventlet.sleep(fault.duration_s)
            self._store.is_unavailable = False
        elif fault.action == 'refuse':
            address = f'127.0.0.1:{self._store_port(fault.index)}'
            self._store.refused.add(address)
            eventlet.sleep(fault.duration_s)
            self._store.refused.discard(address)
        elif fault.action == 'forget':
            self._store.history.clear()
            self._store.compacted_revision = self._store.revision
        elif fault.action == 'lapse':
            self._store.expire_leases()
        else:
            self._store.loses_write_answers = True
            eventlet.sleep(fault.duration_s)
            self._store.loses_write_answers = False
        self._record_span('store', '', start_s)

    def _inject_copy(self, fault: Fault) -> None:
        """Let the store come back from a copy that is some seconds old.

        The operator and the targets write again what they had written.
        """
        start_s = clock_s()
        self._store.is_unavailable = True
        eventlet.sleep(fault.duration_s)
        lost = self._store.items['op/config']
        self._store.return_from(self._copies[0])
        restored = self._store.items['op/config']
        self._store.is_unavailable = False
        eventlet.sleep(REWRITE_S)
        for target in self._targets:
            if not target.server.is_silent:
                target.write_entry()
        if self._store.items['op/config'] is restored:
            self._store.put('op/config', lost.value or '')
        self._record_span('store', '', start_s)

    def _take_copies(self) -> None:
        while not self._is_ended:
            if not self._store.is_unavailable:
                self._copies.append(self._store.take_copy())
            eventlet.sleep(COPY_INTERVAL_S)

    def _store_port(self, index: int) -> int:
        node = self._nodes[index % len(self._nodes)]
        return node.store_link.to_port

    def _inject_version(self, fault: Fault) -> None:
        """Let an engine start again as the other version, and back."""
        engines = [target for target in self._targets if target.phase]
        engine = engines[fault.index % len(engines)]
        if engine in self._swapped:
            return
        self._swapped.append(engine)
        version = engine.version
        engine.restart(VERSIONS[version == VERSIONS[0]])
        eventlet.sleep(fault.duration_s)
        engine.restart(version)
        self._swapped.remove(engine)

    def _inject_target_fault(self, fault: Fault) -> None:
        target = self._targets[fault.index % len(self._targets)]
        if fault.action == 'leave':
            target.leave()
            eventlet.sleep(fault.duration_s)
            target.return_to_service()
            return
        notices = {
            'limit': self._name_limit,
            'tell': self._tell_leave,
            'rest': self._ask_for_rest,
        }
        if fault.action in notices:
            notices[fault.action](target, fault)
            return
        target.fault = fault.action
        eventlet.sleep(fault.duration_s)
        target.fault = ''

    def _name_limit(self, target: SoakTarget, fault: Fault) -> None:
        if target.limit_per_s is not None:
            return
        start_s = clock_s()
        rate_per_s = LIMITS_PER_S[fault.index % len(LIMITS_PER_S)]
        target.limit_per_s = rate_per_s
        eventlet.sleep(fault.duration_s)
        target.limit_per_s = None
        self._record.limits.append(
            NamedLimit(target.target_id, rate_per_s, start_s, clock_s())
        )

    def _tell_leave(self, target: SoakTarget, fault: Fault) -> None:
        """Let a target say that it leaves, of which the store knows nothing."""
        if target.is_telling_leave:
            return
        start_s = clock_s()
        target.is_telling_leave = True
        eventlet.sleep(fault.duration_s)
        self._record.leavings.append(
            LeavingTold(target.target_id, start_s, clock_s())
        )
        target.start_anew()

    def _ask_for_rest(self, target: SoakTarget, fault: Fault) -> None:
        target.rest_s = RESTS_S[fault.index % len(RESTS_S)]
        eventlet.sleep(fault.duration_s)
        target.rest_s = None

    def _inject_change(self, fault: Fault) -> None:
        if fault.action == 'configure':
            self._configure()
        elif 'beta' not in self._record.key_revocations:
            self._revoke_key()

    def _revoke_key(self) -> None:
        """Revoke a key; after `KEY_RETURN_S` the organisation has one again."""
        self._configuration.revoked.add('beta')
        self._configure()
        revoked_s = clock_s()
        self._record.key_revocations['beta'] = (revoked_s, float('inf'))
        eventlet.sleep(KEY_RETURN_S)
        self._configuration.revoked.discard('beta')
        self._configure()
        self._record.key_revocations['beta'] = (revoked_s, clock_s())

    # Recovery and shutdown.

    def _await_recovery(self, node: SoakNode, deadline_s: float) -> None:
        while clock_s() < deadline_s:
            if self._is_answering(node):
                return
            eventlet.sleep(0.2)
        self._record.unrecovered.append(node.name)

    def _is_answering(self, node: SoakNode) -> bool:
        since_s = clock_s() - FAULT_EFFECT_S / 2
        return any(
            call.node == node.name
            and call.sent_s > since_s
            and call.status == 200
            for call in self._record.calls[-400:]
        )

    def _record_usage(self) -> None:
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

    def _shut_down(self) -> None:
        self._is_ended = True
        self._record.end_s = clock_s()
        for caller in self._callers:
            caller.is_ended = True
        for node in self._nodes:
            if not node.program.has_ended():
                node.program.send_signal(signal.SIGCONT)
                node.program.send_signal(signal.SIGKILL)
            node.program.process.wait()
        for relay in self._relays:
            relay.close()
        for target in self._targets:
            target.server.close()
        self._store.close()


def run_soak(seed: int, duration_s: float, folder: str) -> SoakResult:
    """Run one seed with its logs in a folder."""
    return Soak(seed, duration_s, folder).run()


def main(arguments: list[str]) -> int:
    """Run seeds one after the other; keep the logs of those that fail."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seeds', default='')
    parser.add_argument('--fresh', type=int, default=0)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--logs', default='.logs/soak')
    options = parser.parse_args(arguments)
    install_event_loop()
    first, _, last = options.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1)) if first else []
    seeds.extend(secrets.randbelow(10**9) for _ in range(options.fresh))
    failed_seeds = 0
    for seed in seeds:
        failed_seeds += bool(_run_seed(seed, options).violations)
    sys.stdout.write(f'{len(seeds)} seeds, {failed_seeds} with violations\n')
    return 1 if failed_seeds else 0


def _run_seed(seed: int, options: argparse.Namespace) -> SoakResult:
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(seed, options.seconds, folder)
        sys.stdout.write(
            f'seed {seed}: {result.served_calls} of {result.calls} served, '
            f'{len(result.violations)} violations\n'
        )
        for text in (*result.notes, *result.violations[:20]):
            sys.stdout.write(f'  {text}\n')
        sys.stdout.flush()
        if result.violations:
            keep_logs(folder, pathlib.Path(options.logs) / str(seed))
    return result


def keep_logs(folder: str, log_folder: pathlib.Path) -> None:
    """Copy the logs of the nodes."""
    os.makedirs(log_folder, exist_ok=True)
    for log in pathlib.Path(folder).glob('log-*'):
        (log_folder / log.name).write_bytes(log.read_bytes())


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
