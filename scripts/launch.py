"""Run a whole deployment on loopback, for `make serve` and `make demo`.

Usage: python scripts/launch.py serve | demo

`serve` runs until it is interrupted; `demo` ends after its load.
"""

import contextlib
import signal
import sys
import threading

from demo_configuration import DemoKeys, demo_configuration
from fleet import Deployment, Fleet

USAGE = 'Usage: python scripts/launch.py serve | demo'
DEMO_CALL_COUNT = '60'
DEMO_TIMEOUT_S = 120.0


def main(arguments: list[str]) -> int:
    """Run `serve` or `demo` and return the exit status."""
    if arguments not in (['serve'], ['demo']):
        sys.stderr.write(f'{USAGE}\n')
        return 2
    interrupted = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: interrupted.set())
    signal.signal(signal.SIGINT, lambda *_: interrupted.set())
    with contextlib.closing(Fleet()) as fleet:
        keys = deploy(fleet)
        if arguments == ['demo']:
            return demo(fleet, keys)
        serve(fleet, keys)
        interrupted.wait()
    return 0


def deploy(fleet: Fleet) -> DemoKeys:
    """Start all processes and apply the configuration."""
    keys = DemoKeys()
    fleet.deploy(Deployment())
    fleet.configure(str(demo_configuration(keys)))
    fleet.await_targets()
    return keys


def serve(fleet: Fleet, keys: DemoKeys) -> None:
    """Print the address and key for each entry and organisation."""
    for key in (keys.routes, keys.depot):
        for entry in fleet.entries:
            sys.stdout.write(f'BASE_URL={entry.address} API_KEY={key}\n')
    sys.stdout.flush()


def demo(fleet: Fleet, keys: DemoKeys) -> int:
    """Send a mixed load through all entries.

    Returns 0 if all answers were complete.
    """
    options = ['--model', 'crate-lm', '--service', 'crate-ledger']
    for entry in fleet.entries:
        options.extend(('--entry', entry.address))
    for key in (keys.routes, keys.depot):
        options.extend(('--api-key', key))
    load = fleet.start_load('--count', DEMO_CALL_COUNT, *options)
    for line in load.remaining_lines():
        sys.stdout.write(line)
    return load.wait(DEMO_TIMEOUT_S)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
