"""Engines that start again under their ids before the registry lists it."""

import json
from collections.abc import Iterator

import attrs
import testtools

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import (
    NodeHarness,
    ReceivedRequest,
    ScriptStep,
    answer,
)
from tests.platform.versioned_engines import (
    EVENTS_PER_STREAM,
    events_in,
    streams_version,
    take_up,
    versions_in,
)

BUSY = 7


class RestartableEngine:
    """Streams, and reports its start, as the process that it is."""

    def __init__(self, breaks_after: int | None = None) -> None:
        self.version = 'v1'
        self.started_ms: int | None = 1
        self.breaks_after = breaks_after
        self.streams: list[str] = []

    def script(self, request: ReceivedRequest) -> Iterator[ScriptStep]:
        if request.line.startswith('GET /-/report '):
            report = {'phase': 'decode', 'seq': 0, 'busy': False}
            if self.started_ms is not None:
                report['born'] = self.started_ms
            yield answer(body=json.dumps(report).encode(), extra='')
            return
        self.streams.append(self.version)
        yield from streams_version(self.version, self.breaks_after)(request)


class RestartedEngineTest(testtools.TestCase):
    """An engine of v1 that starts again as v2, and a busier one of v1."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)
        self.engine = self.add_engine(RestartableEngine(breaks_after=2))

    def add_engine(
        self, engine: RestartableEngine, busy: int = 0
    ) -> RestartableEngine:
        """Register an engine that was listed as started at 1 ms."""
        self.node.add_target(engine.script, 'lm', Phase.DECODE, 'v1')
        registered = self.node._registered
        registered[-1] = attrs.evolve(registered[-1], started_ms=1)
        knowledge = self.node.knowledge
        knowledge.registry.replace(registered, clock_s())
        knowledge.loads.reported(registered[-1].target_id, busy, clock_s())
        return engine

    def restart(self) -> None:
        """Start the engine again as v2; the registry lists it as before."""
        self.engine.version = 'v2'
        self.engine.started_ms = 2
        self.engine.breaks_after = None
        self.node.pool.close_idle(self.node.targets[0].address)
        self.node.knowledge.loads.succeeded('i-1')

    def go_on(self, event_count: int = 2) -> bytes:
        return self.node.call(
            '/resume/1', extra=take_up('a1', event_count), attempt_id='a2'
        )

    def test_a_stream_does_not_go_on_at_an_engine_that_started_anew(
        self,
    ) -> None:
        """Guards against a version that the registry lists too late."""
        self.assertEqual(2, events_in(self.node.call('/resume/1')))
        self.restart()
        self.add_engine(RestartableEngine(), BUSY)
        content = self.go_on()
        self.assertEqual({'v1'}, versions_in(content), content)
        self.assertEqual(EVENTS_PER_STREAM - 2, events_in(content))
        self.assertEqual(['v1'], self.engine.streams)
        self.assertIn('started anew', self.node.log_lines.text)

    def test_a_stream_goes_on_at_the_engine_that_is_listed(self) -> None:
        """Guards against an engine that is taken for another one."""
        self.assertEqual(2, events_in(self.node.call('/resume/1')))
        self.engine.breaks_after = None
        for started_ms in (1, None):
            self.engine.started_ms = started_ms
            content = self.go_on()
            self.assertEqual(EVENTS_PER_STREAM - 2, events_in(content))
        self.assertEqual(['v1'] * 3, self.engine.streams)

    def test_a_stream_that_began_at_a_restarted_engine_keeps_its_version(
        self,
    ) -> None:
        """Guards against a record of the version before the restart."""
        self.restart()
        self.engine.breaks_after = 2
        self.assertEqual({'v2'}, versions_in(self.node.call('/resume/1')))
        self.add_engine(RestartableEngine(), BUSY)
        self.node.knowledge.loads.unreachable('i-1', clock_s())
        self.assertNotEqual({'v1'}, versions_in(self.go_on()))
