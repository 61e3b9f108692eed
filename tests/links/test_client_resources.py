"""Tests of what the connections of clients may use together."""

import eventlet
import testtools

from dandelionyoke_links import (
    BodyLimits,
    BodyReader,
    BodyRefusedError,
    BodyTimeoutError,
    BodyTooLargeError,
    ClientResources,
    ConnectionSlots,
    DecodeTurns,
    LengthDecoder,
    MachineLimits,
    MemoryBudget,
    MemoryShortError,
    Reservation,
)

KB = 1024
PROGRESS_BYTES = 64 * KB


class MemoryBudgetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = MemoryBudget(1000 * KB, 100 * KB, 10 * KB)
        self.ended: list[str] = []

    def hold(
        self, name: str, size_bytes: int, *, is_evictable: bool = True
    ) -> Reservation:
        reservation = self.budget.open(lambda: self.ended.append(name))
        self.budget.set_evictable(reservation, is_evictable=is_evictable)
        self.budget.grow(reservation, size_bytes)
        return reservation

    def test_the_one_without_progress_gives_way(self) -> None:
        """Guards against a newcomer that pays for a stalled body."""
        self.hold('stalled', 400 * KB)
        active = self.hold('active', 400 * KB)
        self.budget.grow(active, PROGRESS_BYTES)
        self.hold('new', 400 * KB)
        self.assertEqual(['stalled'], self.ended)
        self.assertEqual(864 * KB, self.budget.held_bytes)

    def test_a_byte_at_a_time_is_no_progress(self) -> None:
        """Guards against a slow body that outlasts all others."""
        slow = self.hold('slow', 400 * KB)
        self.hold('stalled', 400 * KB)
        for _ in range(100):
            self.budget.grow(slow, 1)
        self.hold('new', 200 * KB)
        self.assertEqual(['slow'], self.ended)

    def test_a_whole_request_does_not_evict(self) -> None:
        """Guards against a call that is ended while it may run."""
        self.hold('whole', 900 * KB, is_evictable=False)
        self.assertRaises(MemoryShortError, self.hold, 'new', 200 * KB)
        self.assertEqual(['new'], self.ended)
        self.assertEqual(900 * KB, self.budget.held_bytes)

    def test_small_requests_have_memory_of_their_own(self) -> None:
        """Guards against large bodies that keep small requests out."""
        self.hold('large', 1000 * KB, is_evictable=False)
        self.hold('small', 8 * KB, is_evictable=False)
        self.assertEqual([], self.ended)

    def test_one_request_is_served_whatever_its_size(self) -> None:
        """Guards against a request inside its limit that is never served."""
        self.hold('huge', 5000 * KB)
        self.assertEqual([], self.ended)

    def test_memory_is_released_once(self) -> None:
        """Guards against a budget that grows with each request."""
        reservation = self.hold('any', 50 * KB)
        self.budget.close(reservation)
        self.budget.close(reservation)
        self.assertEqual(0, self.budget.held_bytes)
        self.assertRaises(MemoryShortError, self.budget.grow, reservation, 1)


class Connection:
    def __init__(self) -> None:
        self.is_closed = False
        self.is_read = True

    def has_input(self) -> bool:
        return not self.is_read

    def evict(self) -> None:
        self.is_closed = True


class ConnectionSlotsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.slots = ConnectionSlots(2)
        self.first, self.second, self.third = (Connection() for _ in range(3))
        self.slots.enter(self.first)
        self.slots.enter(self.second)

    def test_the_one_that_waits_longest_is_closed(self) -> None:
        """Guards against silent connections that keep others out."""
        evicted: list[str] = []
        self.slots.on_evict = lambda: evicted.append('one')
        self.slots.mark_busy(self.first)
        self.slots.mark_waiting(self.first)
        self.assertTrue(self.slots.enter(self.third))
        self.assertEqual(['one'], evicted)
        self.assertTrue(self.second.is_closed)
        self.assertFalse(self.first.is_closed)
        self.assertEqual(2, len(self.slots))

    def test_a_request_in_progress_is_not_closed(self) -> None:
        """Guards against a call that is ended for a new connection."""
        self.slots.mark_busy(self.first)
        self.slots.mark_busy(self.second)
        self.assertFalse(self.slots.enter(self.third))
        self.slots.leave(self.first)
        self.assertTrue(self.slots.enter(self.third))

    def test_a_request_that_has_arrived_is_not_closed(self) -> None:
        """Guards against a request that is neither read nor refused."""
        self.first.is_read = False
        self.assertTrue(self.slots.enter(self.third))
        self.assertEqual(
            (False, True), (self.first.is_closed, self.second.is_closed)
        )


class MachineLimitsTest(testtools.TestCase):
    def test_connections_fit_the_memory_and_the_descriptors(self) -> None:
        """Guards against a process without a descriptor for its work."""
        for memory_mb, max_descriptors, most in (
            (160, 4100, 491),
            (552, 8192, 1695),
            (552, 256, 96),
            (0, 0, 1),
        ):
            machine = MachineLimits(memory_mb, max_descriptors)
            self.assertEqual(most, machine.max_connections)


class Source:
    """A client that sends some bytes and then nothing."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self.rest = b''
        self._ended = eventlet.event.Event()

    def receive(self, max_bytes: int) -> bytes:
        if not self.content:
            raise BlockingIOError
        received = self.content[:max_bytes]
        self.content = self.content[max_bytes:]
        return received

    def wait(self, timeout_s: float) -> None:
        with eventlet.Timeout(timeout_s, TimeoutError):
            self._ended.wait()

    def end_wait(self) -> None:
        self._ended.send()

    def keep_rest(self, rest: bytes) -> None:
        self.rest = rest


class BodyReaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.resources = ClientResources(
            MachineLimits(100, 1000), requests=MemoryBudget(200 * KB)
        )

    def read(
        self, content: bytes, length: int, *, timeout_s: float = 60.0
    ) -> bytes:
        budget = self.resources.requests
        reader = BodyReader(
            LengthDecoder(length),
            BodyLimits(300 * KB, 0.2, timeout_s),
            budget,
            budget.open(lambda: None),
            self.resources.turns,
        )
        self.source = Source(content)
        return reader.read(self.source, b'')

    def test_a_body_is_read_to_its_end(self) -> None:
        """Guards against bytes that are lost between two requests."""
        content = bytes(range(256)) * 700
        self.assertEqual(content, self.read(content + b'next', len(content)))
        self.assertEqual(b'next', self.source.rest + self.source.content)

    def test_a_body_over_its_limit_is_refused_at_once(self) -> None:
        """Guards against bytes that are read in vain."""
        self.assertRaises(BodyTooLargeError, self.read, b'', 300 * KB + 1)

    def test_a_client_that_stops_is_refused(self) -> None:
        """Guards against memory that is held for ever."""
        self.assertRaises(BodyTimeoutError, self.read, b'x' * 9, 10)

    def test_a_body_that_gives_way_is_told_at_once(self) -> None:
        """Guards against a refusal that comes when the client's time ends."""
        stalled = eventlet.spawn(self.read, b'x' * 150 * KB, 160 * KB)
        eventlet.sleep(0.05)
        self.read(b'y' * 100 * KB, 100 * KB)
        with eventlet.Timeout(0.1):
            self.assertRaises(BodyRefusedError, stalled.wait)


class DecodeTurnsTest(testtools.TestCase):
    def test_others_run_between_two_parts(self) -> None:
        """Guards against bodies that keep the event loop from other work."""
        turns = DecodeTurns()
        done: list[str] = []

        def read_parts() -> None:
            for _ in range(3):
                turns.take(lambda: done.append('part') is None)

        readers = [eventlet.spawn(read_parts) for _ in range(2)]
        for _ in range(20):
            done.append('other')
            eventlet.sleep(0)
        for reader in readers:
            reader.wait()
        self.assertNotIn('part,part', ','.join(done))
