"""Start the stand-ins and entries as processes, for developers and tests.

This is the one place that starts processes. It is no part of the product:
nothing under `packages/` starts any, and a test sees to that.
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
    """One process that this module started, and its first lines."""

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
        """Wait until the process listens; return its address."""
        self.address = self.address or self.await_line('READY ')
        return self.address

    def await_line(self, word: str) -> str:
        """Wait for a line that starts with a word; return the rest."""
        while True:
            line = self.lines.get(timeout=READY_TIMEOUT_S)
            if line.startswith(word):
                return line.removeprefix(word).strip()
            if not line:
                raise RuntimeError(f'{self.name} ended; see .logs/')

    def remaining_lines(self) -> Iterator[str]:
        """Yield each line of output until the process ends it."""
        while line := self.lines.get():
            yield line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end; return the exit status."""
        return self.process.wait(timeout_s)


@attrs.frozen
class Deployment:
    """What `Fleet.deploy` starts.

    Targets named in `linked` are listed behind a link of their own.
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


class Fleet:
    """All processes of one deployment on loopback."""

    def __init__(self, balancer_notice_s: float = 0.2) -> None:
        self._balancer_notice_s = balancer_notice_s
        self.processes: list[RunningProcess] = []
        self.platform_url = ''
        self.entries: list[RunningProcess] = []
        self.targets: list[dict[str, object]] = []
        self.links: dict[str, RunningProcess] = {}
        self._pool = urllib3.PoolManager(timeout=READY_TIMEOUT_S)
        LOGS.mkdir(exist_ok=True)
        # A folder of its own: two fleets at once would start entries with
        # each other's settings.
        self.logs = pathlib.Path(tempfile.mkdtemp(dir=LOGS))

    def deploy(self, deployment: Deployment) -> None:
        """Start the platform, the targets and the entries."""
        platform = self.start_standin('platform', 'platform', '--lag-s', '0.2')
        # All begin before the first is waited for: each start takes a second.
        targets = [
            self._start_engine(service, number, deployment)
            for service, count in deployment.engines.items()
            for number in range(count)
        ]
        targets.extend(
            self._start_plain_service(service, deployment.domains[0])
            for service in deployment.plain_services
        )
        self.platform_url = platform.await_ready()
        entries = [
            self._launch_entry(
                f'entry-{number + 1}',
                deployment.domains[number % len(deployment.domains)],
            )
            for number in range(deployment.entries)
        ]
        for target in targets:
            self._add_target(target, deployment)
        self.publish_targets()
        for entry in entries:
            self._register_entry(entry)

    def start_entry(self, instance_id: str, domain: str) -> RunningProcess:
        """Start an entry and list it at the platform."""
        processes = self._launch_entry(instance_id, domain)
        self._register_entry(processes)
        return processes

    def start_standin(
        self, name: str, kind: str, *options: str
    ) -> RunningProcess:
        """Start a stand-in."""
        return self._start_process(
            name, 'dandelionyoke_standins', kind, *options
        )

    def _start_engine(
        self, service: str, number: int, deployment: Deployment
    ) -> RunningProcess:
        name = f'{service}-{number}'
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
        running.domain = deployment.domains[number % len(deployment.domains)]
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
        """Start a link; its second address takes its commands."""
        there = urlsplit(to)
        link = self.start_standin(
            f'link-{there.port}', 'link', '--to', there.netloc
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
        """Put a configuration in force by the operator's command."""
        file = self.logs / 'configuration.ini'
        file.write_text(text)
        self.run_operator('check', str(file))
        self.run_operator(
            'apply', str(file), '--reason', reason, '--author', 'launcher'
        )

    def run_operator(
        self, *arguments: str, statuses: Sequence[int] = (0,)
    ) -> str:
        """Run the operator's command; return what it printed."""
        program = pathlib.Path(sys.executable).parent / 'dandelionyoke'
        ended = subprocess.run(  # noqa: S603 - our own program
            [str(program), *arguments],
            check=False,
            env={**os.environ, 'DANDELIONYOKE_PLATFORM': self.platform_url},
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
        )
        if ended.returncode not in statuses:
            raise RuntimeError(f'{arguments}: {ended.stdout}{ended.stderr}')
        return ended.stdout

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
        """Tell the platform's stand-in which targets there are."""
        self.post(
            f'{self.platform_url}/standin/targets', {'targets': self.targets}
        )

    def post(self, url: str, body: Mapping[str, object]) -> Any:
        """Post JSON and return the decoded answer."""
        return self._pool.request('POST', url, json=dict(body)).json()

    def get(self, url: str) -> Any:
        """Get JSON."""
        return self._pool.request('GET', url).json()

    def close(self) -> None:
        """End all that was started: entries first, so that they drain."""
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
