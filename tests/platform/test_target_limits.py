"""Gateway processes whose target names how many requests a second it takes."""

import bisect
import json
import tempfile
from collections.abc import Iterator

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import (
    SIGNED_HEAD,
    ReceivedRequest,
    ScriptedTarget,
    ScriptStep,
    answer,
)
from tests.platform.program import Program, wait_for
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

# The rule: from NOTICE_S after the first naming, a target gets at most
# OVERRUN times its limit plus SLACK requests in any WINDOW_S.
NOTICE_S = 3.0
WINDOW_S = 4.0
OVERRUN = 1.5
SLACK = 5

CALL_INTERVAL_S = 0.05
DOMAINS = ('a', 'a', 'b')


class LimitingTarget:
    """A target that names a limit in each answer, if it has one."""

    def __init__(self, limit: str = '') -> None:
        self.limit = limit
        self.first_named_s: float | None = None
        self.arrivals_s: list[float] = []
        self.scripted = ScriptedTarget(self._answer)

    def _answer(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        self.arrivals_s.append(clock_s())
        extra = SIGNED_HEAD
        if self.limit:
            if self.first_named_s is None:
                self.first_named_s = clock_s()
            extra += f'Server-Limit: {self.limit}\r\n'
        yield answer(extra=extra)

    def arrivals_since(self, since_s: float) -> int:
        """Count the requests that arrived since a time."""
        return len(self.arrivals_s) - bisect.bisect(self.arrivals_s, since_s)

    def most_in_a_window(self, from_s: float) -> int:
        """Return the most requests in a window that begins at a time or later."""
        times_s = [time_s for time_s in self.arrivals_s if time_s >= from_s]
        return max(
            (
                bisect.bisect(times_s, start_s + WINDOW_S) - index
                for index, start_s in enumerate(times_s)
            ),
            default=0,
        )


class TargetLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op/config', configuration())
        self.programs: list[Program] = []

    def start_targets(self, *limits: str) -> list[LimitingTarget]:
        targets = [LimitingTarget(limit) for limit in limits]
        for number, target in enumerate(targets):
            self.addCleanup(target.scripted.close)
            registry_entry = {
                'service': 'ledger',
                'address': target.scripted.address,
                'zone': 'a',
                'slots': 4,
                'state': 'ready',
            }
            self.store.put(f'servers/i-{number}', json.dumps(registry_entry))
        return targets

    def start_programs(self, *domains: str) -> None:
        for domain in domains:
            program = Program(self.store, self.folder, domain=domain)
            self.programs.append(program)
            self.addCleanup(program.process.wait)
            self.addCleanup(program.process.kill)
            self.addOnException(
                lambda _, program=program: self.addDetail(
                    f'log of n-{program.port}',
                    text_content(program.log.read_text()),
                )
            )
        for program in self.programs:
            program.wait_until_ready()
        names = [f'n-{program.port}' for program in self.programs]
        wait_for(
            lambda: all(
                f'members/{name}' in self.store.items for name in names
            ),
            'the members',
        )

    def call_all(self, duration_s: float) -> list[bytes]:
        """Call all nodes in turn at a steady rate; return the answers."""
        callers = []
        until_s = clock_s() + duration_s
        while clock_s() < until_s:
            program = self.programs[len(callers) % len(self.programs)]
            callers.append(eventlet.spawn(program.call))
            eventlet.sleep(CALL_INTERVAL_S)
        return [caller.wait() for caller in callers]

    def test_nodes_together_keep_to_the_limit_of_a_target(self) -> None:
        """Guards against nodes that each ignore, or use up, a target's limit."""
        limited, other = self.start_targets('2.0', '')
        self.start_programs(*DOMAINS)
        answers = self.call_all(10.0)
        self.assertEqual(
            [], [content for content in answers if b' 200 ' not in content]
        )
        self.assertIsNotNone(limited.first_named_s)
        counted_s = limited.first_named_s + NOTICE_S
        self.assertLessEqual(
            limited.most_in_a_window(counted_s),
            OVERRUN * 2.0 * WINDOW_S + SLACK,
        )
        # What the target takes is used, and its answers show the limit's end.
        self.assertGreater(limited.arrivals_since(counted_s), 3)
        self.assertGreater(other.arrivals_since(counted_s), 3)
