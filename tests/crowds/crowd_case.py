"""Base of the tests of a process beside clients that don't behave."""

import pathlib
import subprocess
import sys
from collections.abc import Callable

import eventlet
import testtools

from dandelionyoke_links import clock_s

# A process that answers no request for so long counts as hung.
HUNG_AFTER_S = 30.0
RETRY_DELAY_S = 0.5
ROOT = pathlib.Path(__file__).parent.parent.parent


class MeasuredProcess:
    """Memory and descriptors of a process, read from the kernel."""

    def __init__(self, process_id: int) -> None:
        self._folder = pathlib.Path(f'/proc/{process_id}')

    @property
    def peak_mb(self) -> float:
        """The most memory that it has had, in MiB."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / 1024
        raise AssertionError('the process has ended')

    @property
    def descriptors(self) -> int:
        """The number of its open descriptors."""
        return len(list((self._folder / 'fd').iterdir()))


class CrowdCase(testtools.TestCase):
    """Plays a crowd against a process and checks its bounds."""

    def start_crowd(
        self,
        kind: str,
        port: int,
        count: int,
        body_bytes: int,
        path: str,
        *headers: str,
    ) -> subprocess.Popen[bytes]:
        """Start a crowd and wait until it has sent for a while."""
        crowd = subprocess.Popen(
            [
                sys.executable,
                '-W',
                'ignore',
                '-m',
                'tests.crowds.crowd',
                kind,
                str(port),
                str(count),
                str(body_bytes),
                path,
                *headers,
            ],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(crowd.wait)
        self.addCleanup(crowd.kill)
        assert crowd.stdout is not None
        eventlet.hubs.trampoline(crowd.stdout.fileno(), read=True)
        self.assertEqual(b'SENT\n', crowd.stdout.readline())
        return crowd

    def check_answered(self, is_served: Callable[[], bool], when: str) -> None:
        """Check that an ordinary request is answered; it may be refused first."""
        deadline_s = clock_s() + HUNG_AFTER_S
        while not is_served():
            if clock_s() > deadline_s:
                raise AssertionError(f'no ordinary request answered {when}')
            eventlet.sleep(RETRY_DELAY_S)


class BodyCrowds:
    """Crowds that both products must bear."""

    def check_crowd(self, kind: str) -> None:
        """Check the bounds beside a crowd of a kind and after it."""
        raise NotImplementedError

    def test_bodies_that_stop_before_their_end(self) -> None:
        """Guards against bodies whose sum no limit bounds."""
        self.check_crowd('announced')

    def test_chunks_that_stop_before_their_end(self) -> None:
        """Guards against bodies whose sum no limit bounds."""
        self.check_crowd('one_chunk')

    def test_chunks_without_end(self) -> None:
        """Guards against bodies whose sum no limit bounds."""
        self.check_crowd('endless_chunks')

    def test_chunks_of_two_bytes(self) -> None:
        """Guards against a connection that keeps the loop from all others."""
        self.check_crowd('chunks_of_2')

    def test_chunks_of_seventeen_bytes(self) -> None:
        """Guards against a connection that keeps the loop from all others."""
        self.check_crowd('chunks_of_17')

    def test_a_line_of_a_chunk_without_end(self) -> None:
        """Guards against a line that is read without a bound."""
        self.check_crowd('chunk_line_without_end')

    def test_trailers_without_end(self) -> None:
        """Guards against lines that are read without a bound."""
        self.check_crowd('trailers_without_end')

    def test_bodies_far_over_the_limit(self) -> None:
        """Guards against a client that sends on after its refusal."""
        self.check_crowd('far_over_the_limit')

    def test_heads_without_end(self) -> None:
        """Guards against heads that are held without a bound."""
        self.check_crowd('head_without_end')

    def test_heads_of_small_lines(self) -> None:
        """Guards against heads that are far larger in memory than sent."""
        self.check_crowd('small_header_lines')
