"""Engines that stand still for a while and go on, in a real deployment."""

import functools
import json
import signal
import time
from collections.abc import Iterable
from concurrent import futures

from scripts.fleet import Deployment, RunningProcess
from tests.entry.test_failures import FailureCase, Stream

# The longest silence after which an engine may go on without being left.
MAX_SILENCE_S = 2.5
# From this silence on, polls of the load time out.
NOTICED_SILENCE_S = 2.0
CALL_INTERVAL_S = 0.05
MAX_CALLERS = 20
LONG_ANSWER_TOKENS = 1000
# Longer than a stream may be silent.
STANDSTILL_S = 5.6
ENGINES = 3


class SilentCase(FailureCase):
    """Steps of the tests that stop processes."""

    def setUp(self) -> None:
        super().setUp()
        log = (self.fleet.logs / 'entry-1.log').read_text()
        self.first_line = len(log.splitlines())

    def engines(self) -> list[RunningProcess]:
        """Return the processes of the engines."""
        return [each for each in self.fleet.processes if each.kind == 'engine']

    def stop(self, processes: Iterable[RunningProcess]) -> None:
        """Stop processes; they go on at the end of the test at the latest."""
        for each in processes:
            self.addCleanup(each.signal, signal.SIGCONT)
            each.signal(signal.SIGSTOP)

    def records(self, *message_types: str) -> list[dict[str, str]]:
        """Return the entry's log records of some types in this test."""
        lines = (self.fleet.logs / 'entry-1.log').read_text().splitlines()
        found = [json.loads(line) for line in lines[self.first_line :]]
        return [
            each for each in found if each.get('message_type') in message_types
        ]

    def routed_to(self) -> list[str]:
        """Return the engines of the attempts so far, in order."""
        return [
            record['detail'].rpartition(' ')[2]
            for record in self.records('request.routed')
            if record['cause'].startswith('attempt ')
        ]


class SilentEnginesTest(SilentCase):
    """The processes of engines are stopped and continued."""

    deployment = Deployment(engines={'route-assistant': ENGINES}, entries=1)

    def start_numbered_stream(self, number: int) -> Stream:
        """Start a short stream."""
        return Stream(self, f'{self.id()} new {number}: answer 20 tokens')

    def has_moved(self, moves: int) -> bool:
        """Return whether a stream has moved often enough, or has ended."""
        ended = self.records('request.refused', 'request.finished')
        return len(self.routed_to()) > moves or bool(ended)

    def call_in_silence(self) -> list[Stream]:
        """Stop all engines, send calls once that is noticed, continue."""
        self.stop(self.engines())
        continued_s = time.monotonic() + MAX_SILENCE_S
        calls: list[futures.Future[Stream]] = []
        with futures.ThreadPoolExecutor(MAX_CALLERS) as callers:
            time.sleep(NOTICED_SILENCE_S)
            while time.monotonic() < continued_s:
                calls.append(
                    callers.submit(self.start_numbered_stream, len(calls))
                )
                time.sleep(CALL_INTERVAL_S)
            for engine in self.engines():
                engine.signal(signal.SIGCONT)
        return [call.result() for call in calls]

    def test_new_requests_wait_for_engines_that_are_silent(self) -> None:
        """All engines are silent for 2.5 s. What arrives meanwhile is
        answered once they go on."""
        begun = self.start_streams(6, 600)
        new = self.call_in_silence()
        # Depends on when the load is polled, so that one may not suffice.
        new += self.call_in_silence()
        self.assertEqual([], self.records('request.refused'))
        self.assert_complete(*begun, *new)
        crashed = [
            record
            for record in self.records('request.routed')
            if record['cause'].startswith('the engine ')
        ]
        self.assertEqual([], crashed)

    def test_a_stream_at_silent_engines_in_turn_is_not_quarantined(
        self,
    ) -> None:
        """The engine of a stream is silent until the stream has moved, then
        goes on; so is the next one. No engine has crashed, so that the
        stream must not be refused."""
        prompt = f'{self.id()}: answer {LONG_ANSWER_TOKENS} tokens'
        stream = Stream(self, prompt)
        by_name = {each.name: each for each in self.engines()}
        for moves in range(1, ENGINES):
            silent = by_name[self.routed_to()[-1]]
            self.stop((silent,))
            self.await_true(functools.partial(self.has_moved, moves))
            silent.signal(signal.SIGCONT)
            # A load report is half a second old.
            time.sleep(2.0)
        self.assertEqual([], self.records('request.refused'))
        self.assert_complete(stream)
        self.assertEqual(ENGINES, len(self.routed_to()))


class StoppedEntryTest(SilentCase):
    """The process of an entry is stopped and continued."""

    deployment = Deployment(engines={'route-assistant': ENGINES}, entries=1)

    def test_an_entry_that_stood_still_does_not_blame_its_engines(
        self,
    ) -> None:
        """The engines stream on while the entry stands still for longer than
        they may be silent."""
        streams = self.start_streams(12, LONG_ANSWER_TOKENS)
        self.stop(self.fleet.entries)
        time.sleep(STANDSTILL_S)
        self.fleet.entries[0].signal(signal.SIGCONT)
        self.assert_complete(*streams)
        self.assertEqual([], self.records('request.resumed', 'request.waiting'))
        self.assertEqual(len(streams), len(self.routed_to()))
