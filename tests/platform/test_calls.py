"""Calls over real sockets, to targets that do not behave."""

from collections.abc import Iterable, Iterator

import attrs
import eventlet
import testtools

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch import (
    LimitUnit,
    Organisation,
    Phase,
    Prompt,
    PromptPart,
    RateLimit,
)
from dandelionyoke_gateway import clock_s
from tests.platform.path import (
    KEY,
    Path,
    Piece,
    Script,
    Seen,
    answer,
    chunk,
    request,
    stream_head,
)

PROMPT = 'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'


def fine(seen: Seen) -> Iterator[Piece]:
    yield answer()


def resets(seen: Seen) -> Iterator[Piece]:
    yield None


def refuses(seen: Seen) -> Iterator[Piece]:
    yield answer('503 Busy', b'', 'Not-Executed: 1\r\n')


def first(script: Script, then: Script) -> Script:
    """Play a script for the first request, whichever target it reaches."""
    seen_before: list[Seen] = []

    def play(seen: Seen) -> Iterable[Piece]:
        chosen = then if seen_before else script
        seen_before.append(seen)
        return chosen(seen)

    return play


def status(content: bytes) -> int:
    return int(content.split(b' ')[1])


class PathTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.path = Path()
        self.addCleanup(self.path.close)

    def sends(self) -> int:
        return sum(len(target.seen) for target in self.path.targets)


class PlainCallTest(PathTest):
    def test_an_answer_reaches_the_caller_whole(self) -> None:
        target = self.path.add(fine)
        content = self.path.call()
        self.assertEqual(200, status(content))
        self.assertIn(b'response-signature: s', content.lower())
        self.assertTrue(content.endswith(b'\r\n\r\nok'))
        seen = target.seen[0]
        self.assertEqual('POST /confirm/1 HTTP/1.1', seen.line)
        self.assertEqual(b'body', seen.body)
        self.assertEqual('acme', seen.headers['tenant'])
        self.assertNotIn('x-api-key', seen.headers)

    def test_a_confirmation_whose_answer_is_lost_is_sent_once(self) -> None:
        """A target runs a confirmation, and its answer is lost by a reset.

        Sent to another target, or refused as not run, the customer would be
        charged twice.
        """
        self.path.add(resets)
        self.path.add(resets)
        content = self.path.call()
        self.assertEqual(502, status(content))
        self.assertNotIn(b'retry-after', content.lower())
        self.assertEqual(1, self.sends())

    def test_a_lookup_is_repeated_elsewhere(self) -> None:
        self.path.add(resets)
        self.path.add(fine)
        self.assertEqual(200, status(self.path.call('/look/1')))

    def test_a_refusal_of_one_target_leads_to_the_next(self) -> None:
        self.path.add(refuses)
        self.path.add(fine)
        self.assertEqual(200, status(self.path.call()))

    def test_when_all_refuse_the_caller_learns_when_to_come_back(self) -> None:
        self.path.add(refuses)
        content = self.path.call()
        self.assertEqual(503, status(content))
        self.assertIn(b'retry-after: 0.7', content.lower())

    def test_an_answer_to_another_call_reaches_nobody(self) -> None:
        """A target answers late, where the next answer is expected.

        Passed on, a caller would read another customer's bill.
        """

        def crossed(seen: Seen) -> Iterator[Piece]:
            yield answer(extra='Response-Signature: s\r\nAttempt-Id: other\r\n')

        self.path.add(crossed)
        self.assertEqual(502, status(self.path.call()))

    def test_a_success_without_signature_is_none(self) -> None:
        def unsigned(seen: Seen) -> Iterator[Piece]:
            yield answer(extra='Attempt-Id: a1\r\n')

        self.path.add(unsigned)
        self.assertEqual(502, status(self.path.call()))

    def test_a_targets_own_failure_is_passed_on(self) -> None:
        def fails(seen: Seen) -> Iterator[Piece]:
            yield answer('500 Oops', b'why')

        self.path.add(fails)
        content = self.path.call()
        self.assertEqual(500, status(content))
        self.assertTrue(content.endswith(b'why'))

    def test_a_caller_that_leaves_ends_the_work(self) -> None:
        """A caller closes its connection while a target works for it.

        The target would go on for nobody, and others would wait for it.
        """

        def slow(seen: Seen) -> Iterator[Piece]:
            yield 2.0
            yield answer()

        target = self.path.add(slow)
        with self.path.open() as sock:
            sock.sendall(request('/confirm/1'))
            eventlet.sleep(0.1)
        eventlet.sleep(0.2)
        self.assertEqual(1, target.left)

    def test_at_its_time_a_call_is_answered(self) -> None:
        def silent(seen: Seen) -> Iterator[Piece]:
            yield 9.0

        self.path.add(silent)
        began_s = clock_s()
        content = self.path.call(extra='')
        self.assertEqual(504, status(content))
        self.assertAlmostEqual(3.0, clock_s() - began_s, delta=0.3)


class EntranceTest(PathTest):
    def test_who_is_not_let_in(self) -> None:
        self.path.add(fine)
        self.assertEqual(401, status(self.path.call(key='unknown')))
        self.assertEqual(404, status(self.path.call('/nowhere/')))
        self.assertEqual(0, self.sends())

    def limit_calls(self, limit: RateLimit) -> None:
        """Give the organisation a limit, of which the burst is left."""
        configuration = self.path.knowledge.configuration
        self.path.knowledge.configuration = attrs.evolve(
            configuration, organisations={KEY: Organisation('acme', 1, limit)}
        )
        limiter = self.path.knowledge.limiter
        limiter.take_limits({'acme': limit})
        limiter.take_nodes(1, 1, clock_s() - 60)

    def test_an_organisation_over_its_limit(self) -> None:
        """Guards against one organisation that takes all there is."""
        target = self.path.add(fine)
        self.limit_calls(RateLimit(1.0, 2.0))
        statuses = [status(self.path.call()) for _ in range(5)]
        self.assertEqual([200, 200, 200, 429, 429], statuses)
        self.assertEqual(3, len(target.seen))
        self.assertIn(b'retry-after', self.path.call().lower())
        self.assertIn('limit.reached', self.path.output.text)

    def test_a_call_that_no_target_ran_is_not_charged(self) -> None:
        """Guards against calls refused for load that use a limit up."""
        self.path.add(refuses)
        self.limit_calls(RateLimit(1.0, 2.0))
        statuses = [status(self.path.call()) for _ in range(5)]
        self.assertEqual([503] * 5, statuses)

    def test_a_call_counts_by_its_tokens(self) -> None:
        self.path.add(fine)
        self.limit_calls(RateLimit(100.0, 500.0, LimitUnit.TOKENS, 200.0))
        statuses = [status(self.path.call()) for _ in range(4)]
        self.assertEqual([200, 200, 200, 429], statuses)

    def test_old_knowledge_trusts_no_key(self) -> None:
        """A node is cut off from the store for longer than the bound."""
        self.path.add(fine)
        self.path.knowledge.freshness._proven_s = clock_s() - 4.6
        content = self.path.call()
        self.assertEqual(503, status(content))
        self.assertIn(b'retry-after', content.lower())

    def test_without_any_configuration_nothing_is_denied(self) -> None:
        self.path.knowledge.configuration = None
        self.assertEqual(503, status(self.path.call('/nowhere/')))

    def test_late_callers_of_a_leaving_node_go_elsewhere(self) -> None:
        """A node was asked to leave, and the balancer still sends callers.

        Taken in so late, their calls would be cut when the process ends.
        """
        self.path.add(fine)
        self.path.knowledge.departure.begin(clock_s())
        self.assertEqual(200, status(self.path.call()))
        self.path.knowledge.departure._asked_s = clock_s() - 4
        content = self.path.call()
        self.assertEqual(503, status(content))
        self.assertIn(b'connection: close', content.lower())
        self.assertEqual(1, self.sends())

    def test_every_refusal_is_explained_in_the_log(self) -> None:
        self.path.call('/nowhere/')
        line = self.path.output.text
        self.assertIn('call.refused', line)
        self.assertIn('no route matches', line)
        self.assertNotIn('a-key', line)

    def test_a_call_that_crashes_targets_is_kept_from_the_rest(self) -> None:
        """A call crashes each target that runs it, and comes again.

        Sent on and on, it would take one target after the other away from
        all callers.
        """
        for _ in range(5):
            self.path.add(resets)
        for _ in range(3):
            self.path.call('/look/1')
        # A target rests after its second failure, so two were tried twice.
        self.assertEqual(6, self.sends())
        self.assertEqual(4, len(set(self.path.suspected)))
        content = self.path.call('/look/1')
        self.assertEqual(503, status(content))
        self.assertIn(b'retry-after: 30', content.lower())
        sent = self.sends()
        self.path.call('/look/2')
        self.assertGreater(self.sends(), sent)


class StreamCallTest(PathTest):
    def events(self, *numbers: int) -> bytes:
        return b''.join(
            f'id: {number}\ndata: t{number}\n\n'.encode() for number in numbers
        )

    def reads(self, seen: Seen) -> Iterator[Piece]:
        body = b'{"kv_handle":"h1","tokens":900,"version":1}'
        yield answer('200 OK', body, 'Content-Type: application/json\r\n')

    def streams(self, seen: Seen) -> Iterator[Piece]:
        yield stream_head()
        yield chunk(self.events(1))
        yield chunk(self.events(2, 3))
        yield chunk(b'')

    def test_a_prompt_is_read_apart_and_streamed(self) -> None:
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        maker = self.path.add(self.streams, 'lm', Phase.DECODE)
        content = self.path.call('/ask/1', extra=PROMPT)
        self.assertEqual(200, status(content))
        self.assertIn(b'data: t3', content)
        self.assertTrue(content.endswith(b'0\r\n\r\n'))
        self.assertEqual('prefill', reader.seen[0].headers['serving-phase'])
        self.assertEqual(
            f'{reader.address}/h1', maker.seen[0].headers['kv-source']
        )
        self.assertNotIn('serving-phase', maker.seen[0].headers)

    def test_an_engine_that_refuses_leaves_the_cache_to_another(self) -> None:
        """An engine changes its phase and refuses a stream.

        Were the prompt read again, the engines would read in vain just when
        one of them is missing.
        """
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        script = first(refuses, self.streams)
        for _ in range(2):
            self.path.add(script, 'lm', Phase.DECODE)
        self.assertEqual(200, status(self.path.call('/ask/1', extra=PROMPT)))
        self.assertEqual(1, len(reader.seen))

    def test_a_call_in_line_goes_to_no_engine_that_left_meanwhile(
        self,
    ) -> None:
        """An engine says that it leaves while calls wait for their turn.

        Sent there all the same, they would reach it seconds later, when it
        takes no more work, and their callers would wait in vain.
        """

        def slow(seen: Seen) -> Iterator[Piece]:
            yield 0.3
            yield from self.reads(seen)

        leaving = self.path.add(slow, 'lm', Phase.PREFILL)
        self.path.add(self.streams, 'lm', Phase.DECODE)
        callers = [
            eventlet.spawn(self.path.call, '/ask/1', extra=PROMPT)
            for _ in range(3)
        ]
        eventlet.sleep(0.1)
        self.assertEqual(2, len(leaving.seen))
        other = self.path.add(self.reads, 'lm', Phase.PREFILL)
        self.path.knowledge.registry.mark_leaving('i-1', None)
        answers = [status(caller.wait()) for caller in callers]
        self.assertEqual([200, 200, 200], answers)
        self.assertEqual(2, len(leaving.seen))
        self.assertEqual(1, len(other.seen))

    def test_engines_that_crashed_do_not_use_up_the_repetitions(self) -> None:
        """Two of the engines that make tokens crash under load.

        They refuse connections, and no call reaches them. Paid from the
        budget of repetitions, these would use it up at once, and callers
        would be refused beside an engine that is sound.
        """
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        engines = {
            f'i-{number}': self.path.add(self.streams, 'lm', Phase.DECODE)
            for number in (2, 3, 4)
        }
        for name in rendezvous(engines, 'n-1', 2):
            engines[name].close()
        while self.path.knowledge.budget.spend(clock_s()):
            continue
        self.assertEqual(200, status(self.path.call('/ask/1', extra=PROMPT)))
        self.assertEqual(1, len(reader.seen))

    def test_a_prompt_that_is_read_again_is_paid_for_as_well(self) -> None:
        """An engine breaks off right after it has taken a prompt's cache.

        The prompt is read again and streamed again, two calls more for the
        engines. Paid as one, all nodes together would repeat more than they
        may when many engines break off at once.
        """
        self.path.add(self.reads, 'lm', Phase.PREFILL)
        script = first(resets, self.streams)
        for _ in range(2):
            self.path.add(script, 'lm', Phase.DECODE)
        budget = self.path.knowledge.budget
        budget.resize(3)
        while budget.spend(clock_s()):
            continue
        for _ in range(100):
            budget.earn(clock_s())
        self.assertEqual(200, status(self.path.call('/resume/1', extra=PROMPT)))
        self.assertTrue(budget.spend(clock_s()))
        self.assertFalse(budget.spend(clock_s()))

    def test_a_short_prompt_is_read_where_its_tokens_are_made(self) -> None:
        """A quick question comes while long prompts wait for the readers.

        In line with them it would wait longer than reading it takes.
        """
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        maker = self.path.add(self.streams, 'lm', Phase.DECODE)
        pace = self.path.knowledge.watch_of('lm').pace
        pace.took(Prompt('m', 10000, 1), 0.1)
        short = 'Model: m\r\nToken-Count: 90,20\r\nPrompt-Prefix: cc:90\r\n'
        content = self.path.call('/ask/1', extra=short)
        self.assertEqual(200, status(content))
        self.assertEqual([], reader.seen)
        self.assertNotIn('kv-source', maker.seen[0].headers)

    def test_a_long_prompt_is_read_apart_however_quick_engines_are(
        self,
    ) -> None:
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        self.path.add(self.streams, 'lm', Phase.DECODE)
        pace = self.path.knowledge.watch_of('lm').pace
        pace.took(Prompt('m', 1000, 1), 0.1)
        self.path.call('/ask/1', extra=PROMPT)
        self.assertEqual(1, len(reader.seen))

    def test_what_readers_keep_makes_no_prompt_short(self) -> None:
        """The readers keep nearly all of each prompt and answer at once.

        The engines that make the tokens keep nothing. Sent there for that
        quickness, prompts would be read from their start beside the streams,
        and soon every stream would wait for them.
        """
        reader = self.path.add(self.reads, 'lm', Phase.PREFILL)
        self.path.add(self.streams, 'lm', Phase.DECODE)
        pace = self.path.knowledge.watch_of('lm').pace
        parts = (PromptPart('aa', 49000), PromptPart('bb', 1000))
        for _ in range(50):
            pace.took(Prompt('m', 50000, 1, parts), 0.05)
        self.path.call('/ask/1', extra=PROMPT)
        self.assertEqual(1, len(reader.seen))

    def test_a_cut_stream_does_not_look_whole(self) -> None:
        def cut(seen: Seen) -> Iterator[Piece]:
            yield stream_head()
            yield chunk(self.events(1) + b'id: 2\nda')
            yield 0.05
            yield None

        self.path.add(cut, 'lm', Phase.DECODE)
        content = self.path.call('/ask/1', extra=PROMPT)
        self.assertIn(b'data: t1', content)
        self.assertNotIn(b'id: 2', content)
        self.assertFalse(content.endswith(b'0\r\n\r\n'))

    def test_a_cut_stream_goes_on_elsewhere_where_it_may(self) -> None:
        def cut(seen: Seen) -> Iterator[Piece]:
            if 'last-event-id' in seen.headers:
                yield stream_head()
                yield chunk(self.events(2, 3))
                yield chunk(b'')
                return
            yield stream_head()
            yield chunk(self.events(1) + b'id: 2\nda')
            yield 0.05
            yield None

        self.path.add(cut, 'lm', Phase.DECODE)
        self.path.add(cut, 'lm', Phase.DECODE)
        content = self.path.call('/resume/1', extra=PROMPT)
        self.assertEqual(1, content.count(b'HTTP/1.1'))
        for number in (1, 2, 3):
            self.assertEqual(1, content.count(f'id: {number}'.encode()))
        self.assertTrue(content.endswith(b'0\r\n\r\n'))

    def test_a_caller_that_leaves_ends_the_reading(self) -> None:
        def slow(seen: Seen) -> Iterator[Piece]:
            yield 2.0

        reader = self.path.add(slow, 'lm', Phase.PREFILL)
        with self.path.open() as sock:
            sock.sendall(request('/ask/1', extra=PROMPT))
            eventlet.sleep(0.1)
        eventlet.sleep(0.2)
        self.assertEqual(1, reader.left)
