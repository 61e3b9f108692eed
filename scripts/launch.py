"""`make serve` and `make demo`: everything on loopback, until it is ended.

python scripts/launch.py serve | demo
"""

import contextlib
import signal
import sys
import threading

from demo_configuration import DemoKeys, demo_configuration
from fleet import Deployment, Fleet

USAGE = 'Say serve or demo.'
DEMO_CALLS = '60'
DEMO_TIMEOUT_S = 120.0


def main(arguments: list[str]) -> int:
    """Run one of the two programs."""
    if arguments not in (['serve'], ['demo']):
        sys.stderr.write(f'{USAGE}\n')
        return 2
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: ended.set())
    signal.signal(signal.SIGINT, lambda *_: ended.set())
    with contextlib.closing(Fleet()) as fleet:
        keys = deploy(fleet)
        if arguments == ['demo']:
            return demo(fleet, keys)
        serve(fleet, keys)
        ended.wait()
    return 0


def deploy(fleet: Fleet) -> DemoKeys:
    """Start all and put the configuration in force."""
    keys = DemoKeys()
    fleet.deploy(Deployment())
    fleet.configure(str(demo_configuration(keys)))
    fleet.await_targets()
    return keys


def serve(fleet: Fleet, keys: DemoKeys) -> None:
    """Tell where to call, one line for each entry and organisation."""
    for key in (keys.routes, keys.depot):
        for entry in fleet.entries:
            sys.stdout.write(f'BASE_URL={entry.address} API_KEY={key}\n')
    sys.stdout.flush()


def demo(fleet: Fleet, keys: DemoKeys) -> int:
    """Send a mixed load through all entries; 0 if all answers were whole."""
    options = ['--model', 'crate-lm', '--service', 'crate-ledger']
    for entry in fleet.entries:
        options.extend(('--entry', entry.address))
    for key in (keys.routes, keys.depot):
        options.extend(('--api-key', key))
    load = fleet.start_load('--count', DEMO_CALLS, *options)
    for line in load.remaining_lines():
        sys.stdout.write(line)
    return load.wait(DEMO_TIMEOUT_S)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
