"""Start the stand-ins and entries as processes, for developers and tests.

This is the one place that starts processes. It is no part of the product:
nothing under `packages/` starts any, and a test sees to that.
"""

import pathlib
import queue
import signal
import subprocess  # noqa: S404 - see above
import sys
import threading
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import urllib3

ROOT = pathlib.Path(__file__).parent.parent
LOGS = ROOT / '.logs'
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
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
class Running:
    """One process that this module started, and its first lines."""

    name: str
    process: 'subprocess.Popen[str]'
    lines: 'queue.SimpleQueue[str]' = attrs.field(
        factory=queue.SimpleQueue, repr=False
    )
    address: str = ''
    second_address: str = ''

    def await_line(self, word: str) -> str:
        """Wait for a line that starts with a word; return the rest."""
        while True:
            line = self.lines.get(timeout=READY_TIMEOUT_S)
            if line.startswith(word):
                return line.removeprefix(word).strip()
            if not line:
                raise RuntimeError(f'{self.name} ended; see .logs/')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end; return the exit status."""
        return self.process.wait(timeout_s)


@attrs.frozen
class Deployment:
    """What `Fleet.deploy` starts."""

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


class Fleet:
    """All processes of one deployment on loopback."""

    def __init__(self, balancer_notice_s: float = 0.2) -> None:
        self._balancer_notice_s = balancer_notice_s
        self._running: list[Running] = []
        self.platform_url = ''
        self.entries: list[Running] = []
        self.targets: list[dict[str, object]] = []
        self._pool = urllib3.PoolManager(timeout=READY_TIMEOUT_S)
        LOGS.mkdir(exist_ok=True)

    def deploy(self, deployment: Deployment) -> None:
        """Start the platform, the targets and the entries."""
        platform = self.start_standin('platform', 'platform', '--lag-s', '0.2')
        self.platform_url = platform.address
        for service, count in deployment.engines.items():
            for number in range(count):
                domain = deployment.domains[number % len(deployment.domains)]
                self.start_engine(
                    service, number, domain, deployment.models[service]
                )
        for service in deployment.plain_services:
            self.start_plain(service, deployment.domains[0])
        self.list_targets()
        for number in range(deployment.entries):
            domain = deployment.domains[number % len(deployment.domains)]
            self.start_entry(f'entry-{number + 1}', domain)

    def start_engine(
        self, service: str, number: int, domain: str, model: str, *more: str
    ) -> Running:
        """Start an engine and note it as a target."""
        target_id = f'{service}-{number}'
        running = self.start_standin(
            target_id,
            'engine',
            '--engine-id',
            target_id,
            '--model',
            model,
            *more,
        )
        self._note_target(running, service, domain, 'engine')
        return running

    def start_plain(self, service: str, domain: str) -> Running:
        """Start a plain service and note it as a target."""
        running = self.start_standin(f'{service}-0', 'plain')
        self._note_target(running, service, domain, 'plain')
        return running

    def start_entry(self, instance_id: str, domain: str) -> Running:
        """Start an entry and list it at the platform."""
        settings = LOGS / f'{instance_id}.ini'
        settings.write_text(
            ENTRY_SETTINGS.format(
                instance_id=instance_id,
                domain=domain,
                platform_url=self.platform_url,
                secret=SECRET,
                balancer_notice_s=self._balancer_notice_s,
            )
        )
        running = self._start(
            instance_id, 'dandelionyoke_entry', '--settings', str(settings)
        )
        running.address = running.await_line('READY ')
        running.second_address = running.await_line('PEERS ')
        self.post(
            f'{self.platform_url}/instances',
            {
                'instance_id': instance_id,
                'domain': domain,
                'caller_address': running.address,
                'peer_address': running.second_address,
                'state': 'live',
            },
        )
        self.entries.append(running)
        return running

    def start_standin(self, name: str, kind: str, *options: str) -> Running:
        """Start a stand-in and wait until it listens."""
        running = self._start(name, 'dandelionyoke_standins', kind, *options)
        running.address = running.await_line('READY ')
        return running

    def list_targets(self) -> None:
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

    def stop(self) -> None:
        """End all that was started: entries first, so that they drain."""
        entries = [
            running for running in self._running if running in self.entries
        ]
        others = [
            running for running in self._running if running not in entries
        ]
        for group in (entries, others):
            for running in group:
                running.signal(signal.SIGCONT)
                running.signal(signal.SIGTERM)
            for running in group:
                self._end(running)
        self._running.clear()

    def _end(self, running: Running) -> None:
        try:
            running.wait()
        except subprocess.TimeoutExpired:
            running.process.kill()
            running.wait()

    def _note_target(
        self, running: Running, service: str, domain: str, kind: str
    ) -> None:
        self.targets.append(
            {
                'target_id': running.name,
                'service': service,
                'domain': domain,
                'address': running.address,
                'kind': kind,
                'reclaimable': False,
                'state': 'live',
            }
        )

    def _start(self, name: str, module: str, *arguments: str) -> Running:
        with (LOGS / f'{name}.log').open('w') as log:
            process = subprocess.Popen(  # noqa: S603 - our own modules
                [sys.executable, '-W', 'ignore', '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                start_new_session=True,
            )
        running = Running(name, process)
        self._running.append(running)
        threading.Thread(target=_pump, args=(running,), daemon=True).start()
        return running


def _pump(running: Running) -> None:
    stdout = running.process.stdout
    if stdout is not None:
        for line in stdout:
            running.lines.put(line)
    running.lines.put('')
