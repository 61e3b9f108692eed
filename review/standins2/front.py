"""Front machines: the deploy file's program with settings from its template."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As the site files of the small deployments have them.
BOUNDS = {
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_budget_extra': 56,
    'lease_ms': 3000,
    'report_window_s': 5,
    'usage_late_s': 10,
}
CONTRACTS = (
    'base,drain,config,cost,retry,recover,split,stream,engine,tenants,'
    'leader,platform'
)


def free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def render(template, fields):
    """Fill the placeholders of a template, as the platform does."""

    def value(match):
        found = fields
        for part in match.group(1).split('.'):
            found = (
                found[int(part)]
                if isinstance(found, list)
                else found.get(part, '')
            )
        return str(found)

    return re.sub(r'\{\{([a-z_.0-9]+)\}\}', value, template)


class Front:
    """One front machine, started by the command of the deploy file."""

    def __init__(self, name, zone, store_address, folder):
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        ports = [free_port(), free_port()]
        self.peer_address = f'127.0.0.1:{ports[1]}'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        fields = {
            'node': name,
            'zone': zone,
            'ip': '127.0.0.1',
            'listen': {
                'front': f'127.0.0.1:{self.port}',
                'ready': f'127.0.0.1:{self.ready_port}',
            },
            'internal_ports': ports,
            'limits': {
                'cores': 2,
                'cpu_share': 0.537,
                'memory_mb': 300,
                'max_fds': 4100,
            },
            'platform': {'address': store_address},
            'cloud_api': {'address': store_address},
            'bounds': BOUNDS,
            'contracts': CONTRACTS,
        }
        self._settings = pathlib.Path(folder) / f'{name}.ini'
        self._settings.write_text(
            render((ROOT / role['template']).read_text(), fields)
        )
        self._log = pathlib.Path(folder) / f'{name}.log'
        self._command = role['run'].split()
        self._environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'DANDELIONYOKE_BOOT': str(self._settings),
            **role['env'],
        }
        self.process = None

    def start(self):
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, timeout_s=15.0):
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while loop.time() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def log_lines(self, kind):
        """Return the decisions of one kind that the process has logged."""
        found = []
        for line in self._log.read_text(errors='replace').splitlines():
            if f'"{kind}"' in line:
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
