"""Starts the stand-ins and entries as processes, for development and tests.

This is the only module that starts processes. It is not part of the product:
no code under `packages/` starts a process, which a test checks.
"""

import os
import pathlib
import queue
import signal
import subprocess  # noqa: S404 - see above
import sys
import tempfile
import threading
import time
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Any
from urllib.parse import urlsplit

import attrs
import urllib3

ROOT = pathlib.Path(__file__).parent.parent
LOGS = ROOT / '.logs'
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
SECRET = 'loopback-only-secret-of-the-demo'

ENTRY_SETTINGS = """\
[entry]
instance_id = {instance_id}
domain = {domain}

[platform]
url = {platform_url}

[peers]
secret = {secret}

[shutdown]
balancer_notice_s = {balancer_notice_s}
"""


@attrs.define
class RunningProcess:
    """Started process, its unread lines of output and its addresses."""

    name: str
    process: 'subprocess.Popen[str]'
    lines: 'queue.SimpleQueue[str]' = attrs.field(
        factory=queue.SimpleQueue, repr=False
    )
    address: str = ''
    secondary_address: str = ''
    service: str = ''
    domain: str = ''
    kind: str = ''

    def await_ready(self) -> str:
        """Wait until the process listens and return its address."""
        self.address = self.address or self.await_line('READY ')
        return self.address

    def await_line(self, prefix: str) -> str:
        """Wait for a line that starts with a prefix and return the rest."""
        while True:
            line = self.lines.get(timeout=READY_TIMEOUT_S)
            if line.startswith(prefix):
                return line.removeprefix(prefix).strip()
            if not line:
                raise RuntimeError(f'{self.name} exited; see .logs/')

    def remaining_lines(self) -> Iterator[str]:
        """Yield the lines of output until the process closes it."""
        while line := self.lines.get():
            yield line

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit status."""
        return self.process.wait(timeout_s)


@attrs.frozen
class Deployment:
    """Processes that `Fleet.deploy` starts.

    Each target named in `targets_behind_links` is registered with the address
    of a separate link, a proxy that can be told to drop traffic.
    """

    domains: Sequence[str] = ('kurasini', 'mikocheni')
    engines: Mapping[str, int] = attrs.field(
        factory=lambda: {'route-assistant': 3, 'ledger-desk': 2}
    )
    models: Mapping[str, str] = attrs.field(
        factory=lambda: {
            'route-assistant': 'crate-lm',
            'ledger-desk': 'ledger-lm',
        }
    )
    plain_services: Sequence[str] = ('crate-ledger',)
    entries: int = 2
    engine_options: Sequence[str] = ()
    targets_behind_links: Collection[str] = ()
    # Further lines of the entries' settings files.
    more_settings: str = ''


class Fleet:
    """Processes of one deployment on loopback."""

    def __init__(self, balancer_notice_s: float = 0.2) -> None:
        self._balancer_notice_s = balancer_notice_s
        self._more_settings = ''
        self.processes: list[RunningProcess] = []
        self.platform_url = ''
        self.entries: list[RunningProcess] = []
        self.targets: list[dict[str, object]] = []
        self.links: dict[str, RunningProcess] = {}
        self._pool = urllib3.PoolManager(timeout=READY_TIMEOUT_S)
        LOGS.mkdir(exist_ok=True)
        # Each fleet has a separate folder. Concurrent fleets would otherwise
        # overwrite each other's settings files.
        self.logs = pathlib.Path(tempfile.mkdtemp(dir=LOGS))

    def deploy(self, deployment: Deployment) -> None:
        """Start the platform, the targets and the entries."""
        self._more_settings = deployment.more_settings
        platform = self.start_standin('platform', 'platform', '--lag-s', '0.2')
        # Start all before waiting for the first: each start takes 1 s.
        targets = [
            self._start_engine(service, index, deployment)
            for service, count in deployment.engines.items()
            for index in range(count)
        ]
        targets.extend(
            self._start_plain_service(service, deployment.domains[0])
            for service in deployment.plain_services
        )
        self.platform_url = platform.await_ready()
        entries = [
            self._launch_entry(
                f'entry-{index + 1}',
                deployment.domains[index % len(deployment.domains)],
            )
            for index in range(deployment.entries)
        ]
        for target in targets:
            self._add_target(target, deployment)
        self.publish_targets()
        for entry in entries:
            self._register_entry(entry)

    def start_entry(self, instance_id: str, domain: str) -> RunningProcess:
        """Start an entry and register it with the platform."""
        processes = self._launch_entry(instance_id, domain)
        self._register_entry(processes)
        return processes

    def start_standin(
        self, name: str, kind: str, *options: str
    ) -> RunningProcess:
        """Start a stand-in of the given kind."""
        return self._start_process(
            name, 'dandelionyoke_standins', kind, *options
        )

    def _start_engine(
        self, service: str, index: int, deployment: Deployment
    ) -> RunningProcess:
        name = f'{service}-{index}'
        model = deployment.models[service]
        running = self.start_standin(
            name,
            'engine',
            '--engine-id',
            name,
            '--model',
            model,
            *deployment.engine_options,
        )
        running.service = service
        running.domain = deployment.domains[index % len(deployment.domains)]
        running.kind = 'engine'
        return running

    def _start_plain_service(self, service: str, domain: str) -> RunningProcess:
        running = self.start_standin(f'{service}-0', 'plain')
        running.service = service
        running.domain = domain
        running.kind = 'plain'
        return running

    def _launch_entry(self, instance_id: str, domain: str) -> RunningProcess:
        settings = self.logs / f'{instance_id}.ini'
        settings.write_text(
            ENTRY_SETTINGS.format(
                instance_id=instance_id,
                domain=domain,
                platform_url=self.platform_url,
                secret=SECRET,
                balancer_notice_s=self._balancer_notice_s,
            )
            + self._more_settings
        )
        running = self._start_process(
            instance_id, 'dandelionyoke_entry', '--settings', str(settings)
        )
        running.domain = domain
        return running

    def _register_entry(self, running: RunningProcess) -> None:
        running.await_ready()
        running.secondary_address = running.await_line('PEERS ')
        self.post(
            f'{self.platform_url}/instances',
            {
                'instance_id': running.name,
                'domain': running.domain,
                'caller_address': running.address,
                'peer_address': running.secondary_address,
                'state': 'live',
            },
        )
        self.entries.append(running)

    def start_link(self, to: str) -> RunningProcess:
        """Start a link to an address; its secondary address is for control."""
        destination = urlsplit(to)
        link = self.start_standin(
            f'link-{destination.port}', 'link', '--to', destination.netloc
        )
        link.await_ready()
        link.secondary_address = link.await_line('CONTROL ')
        return link

    def _add_target(
        self, running: RunningProcess, deployment: Deployment
    ) -> None:
        address = running.await_ready()
        if running.name in deployment.targets_behind_links:
            link = self.start_link(address)
            self.links[running.name] = link
            address = link.address
        self.targets.append(
            {
                'target_id': running.name,
                'service': running.service,
                'domain': running.domain,
                'address': address,
                'kind': running.kind,
                'reclaimable': False,
                'state': 'live',
            }
        )

    def start_load(self, *options: str) -> RunningProcess:
        """Start the load driver."""
        return self._start_process(
            'load', 'dandelionyoke_standins', 'load', *options
        )

    def configure(self, text: str, reason: str = 'set up') -> None:
        """Apply a configuration with the operator's command."""
        file = self.logs / 'configuration.ini'
        file.write_text(text)
        self.run_operator('check', str(file))
        self.run_operator(
            'apply', str(file), '--reason', reason, '--author', 'launcher'
        )

    def run_operator(
        self, *arguments: str, statuses: Sequence[int] = (0,)
    ) -> str:
        """Run the operator's command and return its output."""
        program = pathlib.Path(sys.executable).parent / 'dandelionyoke'
        completed = subprocess.run(  # noqa: S603 - our own program
            [str(program), *arguments],
            check=False,
            env={**os.environ, 'DANDELIONYOKE_PLATFORM': self.platform_url},
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
        )
        if completed.returncode not in statuses:
            raise RuntimeError(
                f'{arguments}: {completed.stdout}{completed.stderr}'
            )
        return completed.stdout

    def await_targets(self) -> None:
        """Wait until every entry reports all targets as usable."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while self._usable_targets(entry) < len(self.targets):
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f'{entry.name} sees too few targets')
                time.sleep(POLL_INTERVAL_S)

    def _usable_targets(self, entry: RunningProcess) -> int:
        return int(self.get(f'{entry.address}/status')['usable_targets'])

    def publish_targets(self) -> None:
        """Send the list of targets to the platform's stand-in."""
        self.post(
            f'{self.platform_url}/standin/targets', {'targets': self.targets}
        )

    def post(self, url: str, body: Mapping[str, object]) -> Any:
        """Post JSON and return the decoded response."""
        return self._pool.request('POST', url, json=dict(body)).json()

    def get(self, url: str) -> Any:
        """Get and decode JSON."""
        return self._pool.request('GET', url).json()

    def close(self) -> None:
        """Stop all processes, entries first so that they can drain."""
        entries = [
            running for running in self.processes if running in self.entries
        ]
        others = [
            running for running in self.processes if running not in entries
        ]
        for group in (entries, others):
            for running in group:
                running.signal(signal.SIGCONT)
                running.signal(signal.SIGTERM)
            for running in group:
                self._await_end(running)
        self.processes.clear()

    def _await_end(self, running: RunningProcess) -> None:
        try:
            running.wait()
        except subprocess.TimeoutExpired:
            running.process.kill()
            running.wait()

    def _start_process(
        self, name: str, module: str, *arguments: str
    ) -> RunningProcess:
        with (self.logs / f'{name}.log').open('w') as log:
            process = subprocess.Popen(  # noqa: S603 - our own modules
                [sys.executable, '-W', 'ignore', '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                start_new_session=True,
            )
        running = RunningProcess(name, process)
        self.processes.append(running)
        threading.Thread(
            target=_collect_output, args=(running,), daemon=True
        ).start()
        return running


def _collect_output(running: RunningProcess) -> None:
    stdout = running.process.stdout
    if stdout is not None:
        for line in stdout:
            running.lines.put(line)
    running.lines.put('')
