"""The command line of the stand-ins."""

import argparse
import importlib
import os
import random
import sys
import time
from types import MappingProxyType
from typing import Protocol

import attrs

from dandelionyoke_standins._batch import BatchSettings
from dandelionyoke_standins._blocks import CacheEventSettings
from dandelionyoke_standins._engine import EngineModel, EngineSettings
from dandelionyoke_standins._engine_http import EngineServer
from dandelionyoke_standins._engine_orders import ROLES, OrderTimes
from dandelionyoke_standins._engine_report import ReportSettings
from dandelionyoke_standins._http import StopSignal, print_line
from dandelionyoke_standins._link import Link, LinkSettings
from dandelionyoke_standins._load import LoadDriver, LoadSettings, print_report
from dandelionyoke_standins._plain import PlainModel
from dandelionyoke_standins._plain_http import PlainServer
from dandelionyoke_standins._platform import PlatformModel, PlatformSettings
from dandelionyoke_standins._platform_http import PlatformServer
from dandelionyoke_standins._targets import TargetSettings
from dandelionyoke_standins._workload import CALL_KINDS

Options = argparse.Namespace

MEASUREMENTS = MappingProxyType(
    {
        'nodes': 'dandelionyoke_standins._node_measure',
        'policy': 'dandelionyoke_standins._policy_measure',
        'spread': 'dandelionyoke_standins._spread',
    }
)

ENGINE_OPTIONS = (
    ('--seed', 0),
    ('--kv-blocks', 4000),
    ('--max-running', 32),
    ('--max-waiting', 256),
    ('--decode-tokens-per-s', 800.0),
    ('--stream-tokens-per-s', 60.0),
    ('--prefill-tokens-per-s', 8000.0),
    ('--report-lag-s', 0.5),
    ('--event-lag-s', 0.5),
    ('--event-gap-share', 0.005),
    ('--role-s', 3.0),
    ('--model-s', 2.0),
)


class StandinServer(Protocol):
    """A stand-in that serves until the process is told to stop."""

    address: str

    def start(self) -> None:
        """Start serving in background tasks."""


def main() -> int:
    """Run the stand-in or measurement that the arguments select."""
    options = _parser().parse_args()
    if options.kind == 'measure':
        return _measure(options)
    if options.kind == 'load':
        return print_report(LoadDriver(_load_settings(options)).run())
    if options.kind == 'link':
        _serve_link(_link_settings(options))
    else:
        _serve(_create_server(options))
    return 0


def _measure(options: Options) -> int:
    """Run a measurement, importing its module only when needed.

    Measurements have many dependencies that the servers don't need.
    """
    module = importlib.import_module(MEASUREMENTS[options.subject])
    status: int | None = module.main(options.arguments)
    return status or 0


def _serve(server: StandinServer) -> None:
    stop = StopSignal()
    server.start()
    print_line(f'READY {server.address}')
    stop.wait()


def _serve_link(settings: LinkSettings) -> None:
    stop = StopSignal()
    link = Link(settings)
    link.start()
    print_line(f'READY {link.address}')
    link.announce_control()
    stop.wait()


def _create_server(options: Options) -> StandinServer:
    if options.kind == 'platform':
        model = PlatformModel(_platform_settings(options))
        return PlatformServer(model, options.port)
    if options.kind == 'plain':
        return PlainServer(
            PlainModel(), options.engine_id, options.port, options.record_file
        )
    seed = options.seed or int.from_bytes(os.urandom(8))
    engine = EngineModel(
        _engine_settings(options), random.Random(seed), time.monotonic()
    )
    engine.faults.crash_on = options.crash_on
    return EngineServer(engine, options.port, options.record_file)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='dandelionyoke_standins', description=__doc__
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    _add_platform(_long_running(kinds, 'platform'))
    _add_engine(_long_running(kinds, 'engine'))
    _add_plain(_long_running(kinds, 'plain'))
    _add_link(_long_running(kinds, 'link'))
    _add_load(
        kinds.add_parser('load', help='send a load and check the answers')
    )
    measure = kinds.add_parser('measure', help='measure in virtual time')
    measure.add_argument('subject', choices=tuple(MEASUREMENTS))
    measure.add_argument('arguments', nargs='*')
    return parser


def _long_running(
    kinds: 'argparse._SubParsersAction[argparse.ArgumentParser]', name: str
) -> argparse.ArgumentParser:
    parser = kinds.add_parser(name, help=f'serve as the {name}')
    parser.add_argument('--port', type=int, default=0)
    return parser


def _add_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--lag-s', type=float, default=1)
    parser.add_argument('--boot-s', type=float, default=3)
    parser.add_argument('--leave-s', type=float, default=5)
    parser.add_argument('--invent-addresses', action='store_true')
    parser.add_argument('--max-reads-per-s', type=int, default=2000)
    parser.add_argument('--max-writes-per-s', type=int, default=500)


def _platform_settings(options: Options) -> PlatformSettings:
    return PlatformSettings(
        lag_s=options.lag_s,
        targets=TargetSettings(
            boot_s=options.boot_s,
            leave_s=options.leave_s,
            invents_addresses=options.invent_addresses,
        ),
        limits_per_s={
            'store_reads': options.max_reads_per_s,
            'store_writes': options.max_writes_per_s,
        },
    )


def _add_plain(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--engine-id', default='plain')
    parser.add_argument('--record-file', default='')


def _add_engine(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--engine-id', default='engine')
    parser.add_argument('--model', action='append', dest='models')
    parser.add_argument('--crash-on', default='')
    parser.add_argument('--record-file', default='')
    parser.add_argument('--role', choices=ROLES, default='mixed')
    parser.add_argument(
        '--fencing', choices=('check', 'ignore'), default='check'
    )
    for flag, default in ENGINE_OPTIONS:
        parser.add_argument(flag, type=type(default), default=default)


def _engine_settings(options: Options) -> EngineSettings:
    return EngineSettings(
        engine_id=options.engine_id,
        models=tuple(options.models or ('model',)),
        role=options.role,
        is_checking_fence=options.fencing == 'check',
        kv_total_blocks=options.kv_blocks,
        max_waiting=options.max_waiting,
        batch=BatchSettings(
            prefill_tokens_per_s=options.prefill_tokens_per_s,
            decode_tokens_per_s=options.decode_tokens_per_s,
            stream_tokens_per_s=options.stream_tokens_per_s,
            max_running=options.max_running,
        ),
        events=CacheEventSettings(options.event_lag_s, options.event_gap_share),
        report=ReportSettings(options.report_lag_s),
        order_times=OrderTimes(options.role_s, options.model_s),
    )


def _add_link(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--to', required=True, help='host:port')
    parser.add_argument('--control-port', type=int, default=0)


def _link_settings(options: Options) -> LinkSettings:
    host, _, port = options.to.rpartition(':')
    return LinkSettings(host, int(port), options.port, options.control_port)


def _add_load(parser: argparse.ArgumentParser) -> None:
    defaults = attrs.fields_dict(LoadSettings)
    parser.add_argument('--entry', action='append', required=True)
    parser.add_argument('--api-key', action='append', required=True)
    parser.add_argument('--model', action='append', required=True)
    parser.add_argument('--service', default='')
    parser.add_argument(
        '--call-kind', action='append', choices=CALL_KINDS, dest='call_kinds'
    )
    for name in ('count', 'concurrency', 'seed'):
        parser.add_argument(
            f'--{name}', type=int, default=defaults[name].default
        )
    for name in ('time_limit_s', 'answer_timeout_s'):
        parser.add_argument(
            f'--{name.replace("_", "-")}',
            type=float,
            default=defaults[name].default,
        )


def _load_settings(options: Options) -> LoadSettings:
    kinds = tuple(options.call_kinds or CALL_KINDS)
    if not options.service:
        kinds = tuple(kind for kind in kinds if kind != 'service')
    return LoadSettings(
        entries=tuple(options.entry),
        api_keys=tuple(options.api_key),
        models=tuple(options.model),
        service=options.service,
        kinds=kinds,
        count=options.count,
        concurrency=options.concurrency,
        time_limit_s=options.time_limit_s,
        answer_timeout_s=options.answer_timeout_s,
        seed=options.seed,
    )


def run() -> None:
    """Run the command and exit with its status."""
    sys.exit(main())
