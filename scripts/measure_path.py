"""Measure the processor time of one entry process per call and per token.

Streams go through one entry to engines on loopback. The entry's own
processor time is read before and after, so that other work on the machine
does not count.

Usage: python scripts/measure_path.py [ENGINES]
"""

import contextlib
import os
import pathlib
import sys
import threading
import time

import attrs
import urllib3
from demo_configuration import DemoKeys, demo_configuration
from fleet import Deployment, Fleet, RunningProcess

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
KIB_PER_MIB = 1024
STREAMS = 8
DEFAULT_ENGINES = 2
IDLE_S = 10.0
TIMEOUT_S = 120.0
ENGINES = Deployment(
    entries=1,
    engine_options=(
        '--stream-tokens-per-s',
        '60',
        '--decode-tokens-per-s',
        '2000',
    ),
)


@attrs.frozen
class Load:
    """Number of sequential calls in each stream, and tokens in each call."""

    calls: int
    tokens: int


@attrs.frozen
class Usage:
    """Processor time and resident memory of the entry process so far."""

    processor_s: float
    memory_mib: float


LOADS = (Load(calls=40, tokens=1), Load(calls=2, tokens=400))


def main(engines: int) -> int:
    """Measure short and long answers and print the cost per call and token."""
    with contextlib.closing(Fleet()) as fleet:
        keys = DemoKeys()
        fleet.deploy(
            attrs.evolve(ENGINES, engines={'route-assistant': engines})
        )
        fleet.configure(str(demo_configuration(keys)))
        fleet.await_targets()
        _print_idle_usage(fleet)
        short, long = (_processor_time_s(fleet, keys, load) for load in LOADS)
        _print_costs(short, long, _usage(fleet.entries[0]).memory_mib)
    return 0


def _print_idle_usage(fleet: Fleet) -> None:
    """Measure and print the processor use of the entry without calls."""
    before_s = _usage(fleet.entries[0]).processor_s
    time.sleep(IDLE_S)
    used_s = _usage(fleet.entries[0]).processor_s - before_s
    share = used_s / IDLE_S
    targets = len(fleet.targets)
    _print_line(f'idle with {targets} targets: {share:.2%} of a core')


def _print_costs(short_s: float, long_s: float, memory_mib: float) -> None:
    """Print the costs per call and per token.

    Solves calls * call_s + tokens * token_s = time for both loads.
    """
    calls = [STREAMS * load.calls for load in LOADS]
    tokens = [STREAMS * load.calls * load.tokens for load in LOADS]
    determinant = calls[0] * tokens[1] - calls[1] * tokens[0]
    token_s = (calls[0] * long_s - calls[1] * short_s) / determinant
    call_s = (short_s - tokens[0] * token_s) / calls[0]
    _print_line(f'a call costs {call_s * 1000:.2f} ms of the entry')
    _print_line(f'a token costs {token_s * 1_000_000:.0f} us of the entry')
    _print_line(f'one core handles {1 / token_s:.0f} tokens per second')
    _print_line(f'memory {memory_mib:.0f} MiB')


def _processor_time_s(fleet: Fleet, keys: DemoKeys, load: Load) -> float:
    before = _usage(fleet.entries[0])
    streams = [
        threading.Thread(target=_run_stream, args=(fleet, keys, load, number))
        for number in range(STREAMS)
    ]
    for stream in streams:
        stream.start()
    for stream in streams:
        stream.join(TIMEOUT_S)
    return _usage(fleet.entries[0]).processor_s - before.processor_s


def _run_stream(fleet: Fleet, keys: DemoKeys, load: Load, number: int) -> None:
    http = urllib3.PoolManager(timeout=TIMEOUT_S)
    for call in range(load.calls):
        prompt = f'{number} {call}: answer {load.tokens} tokens'
        answer = http.request(
            'POST',
            f'{fleet.entries[0].address}/v1/completions',
            json={'model': 'crate-lm', 'prompt': prompt, 'stream': True},
            headers={'Authorization': f'Bearer {keys.routes}'},
        )
        if b'[DONE]' not in answer.data:
            raise RuntimeError(f'incomplete stream: {answer.data[-200:]!r}')


def _usage(entry: RunningProcess) -> Usage:
    process = pathlib.Path('/proc') / str(entry.process.pid)
    # Split after the process name, which may contain blanks.
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = (process / 'status').read_text()
    resident = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return Usage(ticks / TICKS_PER_S, int(resident.split()[1]) / KIB_PER_MIB)


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]) if sys.argv[1:] else DEFAULT_ENGINES))
