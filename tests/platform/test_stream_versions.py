"""Streams beside engines of two versions, at one node."""

import testtools

from dandelionyoke_dispatch import Phase
from dandelionyoke_gateway import clock_s
from tests.platform.node_harness import NodeHarness, Script
from tests.platform.versioned_engines import (
    EVENTS_PER_STREAM,
    events_in,
    streams_version,
    take_up,
    versions_in,
)

BUSY = 7


class StreamVersionTest(testtools.TestCase):
    """A node with an idle engine of another version than a stream's."""

    def setUp(self) -> None:
        super().setUp()
        self.node = NodeHarness()
        self.addCleanup(self.node.close)

    def add_engine(
        self, version: str, script: Script | None = None, busy: int = 0
    ) -> str:
        """Register an engine that reported so many calls; return its id."""
        self.node.add_target(
            script or streams_version(version), 'lm', Phase.DECODE, version
        )
        target_id = f'i-{len(self.node.targets)}'
        self.node.knowledge.loads.reported(target_id, busy, clock_s())
        return target_id

    def test_a_stream_that_breaks_off_stays_at_its_version(self) -> None:
        """Guards against events of two versions in one answer."""
        self.add_engine('v1', streams_version('v1', breaks_after=2))
        self.add_engine('v2', busy=1)
        self.add_engine('v1', busy=BUSY)
        content = self.node.call('/resume/1')
        self.assertEqual({'v1'}, versions_in(content), content)
        self.assertEqual(EVENTS_PER_STREAM, events_in(content))

    def test_a_stream_that_is_taken_up_stays_at_its_version(self) -> None:
        """Guards against events of two versions over a caller's tries."""
        self.add_engine('v1', streams_version('v1', breaks_after=2))
        first = self.node.call('/resume/1')
        self.assertEqual(2, events_in(first), first)
        self.add_engine('v2')
        self.add_engine('v1', busy=BUSY)
        content = self.node.call(
            '/resume/1', extra=take_up('a1', 2), attempt_id='a2'
        )
        self.assertEqual({'v1'}, versions_in(content), content)
        self.assertEqual(EVENTS_PER_STREAM - 2, events_in(content))
