"""Tests of the engine model, in virtual time."""

import contextlib
import random

import testtools
from hypothesis import given, settings, strategies

from dandelionyoke_standins import (
    BatchSettings,
    CacheEventSettings,
    EngineModel,
    EngineOrder,
    EngineSettings,
    GenerateRequest,
    MissingError,
    NotRunError,
    answer_text,
)


def engine(**fields: object) -> EngineModel:
    return EngineModel(EngineSettings(**fields), random.Random(1))


def request(attempt_id: str, prompt: str, **options: object) -> GenerateRequest:
    return GenerateRequest(attempt_id, 'model', prompt, **options)


def order(
    order_id: str, fence: int, kind: str, argument: str = ''
) -> EngineOrder:
    return EngineOrder(order_id, fence, kind, argument)


def text_of(model: EngineModel, attempt_id: str) -> str:
    return ''.join(model.output_from(attempt_id, 0).tokens)


class EngineModelTest(testtools.TestCase):
    def test_an_answer_depends_only_on_its_prompt(self) -> None:
        model = engine()
        model.generate(request('a', 'please answer 70 tokens'), 0)
        tokens = []
        for tick in range(1, 300):
            for output in model.advance(tick / 50):
                tokens.extend(output.tokens)
        expected = answer_text('please answer 70 tokens', 1024)
        self.assertEqual(expected, ''.join(tokens))
        self.assertEqual('stop', model.output_from('a', 0).end.reason)

    def test_a_resumed_answer_continues_on_another_engine(self) -> None:
        prompt = 'answer 40 tokens'
        first, second = engine(), engine()
        first.generate(request('a', prompt), 0)
        first.advance(0.4)
        tokens = first.output_from('a', 0).tokens
        self.assertTrue(0 < len(tokens) < 40)
        second.generate(request('b', prompt, resume_tokens=tokens), 0)
        second.advance(5)
        self.assertEqual(answer_text(prompt, 1024), text_of(second, 'b'))

    def test_streams_share_the_decode_rate(self) -> None:
        model = engine(batch=BatchSettings(decode_tokens_per_s=100))
        for name in 'abcd':
            model.generate(request(name, f'{name} answer 500 tokens'), 0)
        model.advance(10)
        sizes = [len(model.output_from(name, 0).tokens) for name in 'abcd']
        self.assertTrue(all(abs(size - 250) < 10 for size in sizes), sizes)

    def test_a_slowed_stream_does_not_end_until_it_is_released(self) -> None:
        """A test holds a stream in progress, however long its steps take."""
        model = engine()
        model.faults.slow_after_tokens = 50
        model.generate(request('long', 'answer 400 tokens'), 0)
        model.generate(request('short', 'answer 8 tokens'), 0)
        model.advance(50)
        held = len(model.output_from('long', 0).tokens)
        self.assertTrue(95 < held < 105, held)
        self.assertEqual(8, len(model.output_from('short', 0).tokens))
        model.faults.slow_after_tokens = None
        model.advance(52)
        released = len(model.output_from('long', 0).tokens) - held
        self.assertTrue(110 < released < 125, released)
        model.advance(60)
        expected = answer_text('answer 400 tokens', 1024)
        self.assertEqual(expected, text_of(model, 'long'))

    def test_a_cached_prefix_is_not_recomputed(self) -> None:
        model = engine(events=CacheEventSettings(gap_share=0))
        prefix = 'crate ' * 3200
        model.generate(request('a', prefix + 'one answer 5 tokens'), 0)
        model.advance(2)
        model.generate(request('b', prefix + 'two answer 5 tokens'), 2)
        model.advance(4)
        self.assertEqual(0, model.attempt_record('a').cached_tokens)
        self.assertEqual(3200, model.attempt_record('b').cached_tokens)
        stored = model.cache_events(0, 4).events
        self.assertTrue(len(stored) >= 200)
        self.assertEqual(stored[9:], model.cache_events(9, 4).events)

    def test_preemption_loses_no_token(self) -> None:
        # Each answer fits into the KV memory alone, but not all together.
        # The engine preempts attempts and recomputes them; callers see a
        # pause but lose no token.
        model = engine(kv_total_blocks=40)
        prompts = {name: f'{name} answer 300 tokens' for name in 'abcd'}
        for name, prompt in prompts.items():
            model.generate(request(name, prompt), 0)
        model.advance(60)
        self.assertGreater(model.record.preemptions, 0)
        for name, prompt in prompts.items():
            self.assertEqual(answer_text(prompt, 1024), text_of(model, name))
        self.assertEqual(0, model.load_report(70).kv_used_blocks)

    def test_the_higher_priority_leaves_the_queue_first(self) -> None:
        model = engine(batch=BatchSettings(max_running=1))
        model.generate(request('first', 'answer 30 tokens'), 0)
        model.generate(request('low', 'low answer 30 tokens'), 0)
        model.generate(request('high', 'hi answer 30 tokens', priority=9), 0)
        model.advance(10)
        ends = {
            record.attempt_id: record.ended_s
            for record in model.record.attempts
        }
        self.assertLess(ends['high'], ends['low'])

    def test_a_cancelled_attempt_frees_its_memory(self) -> None:
        model = engine()
        model.generate(request('a', 'answer 900 tokens'), 0)
        model.advance(1)
        self.assertTrue(model.cancel('a', 1))
        self.assertFalse(model.cancel('a', 1))
        self.assertEqual('cancelled', model.advance(1)[-1].end.cause)
        self.assertEqual(0, model.load_report(3).kv_used_blocks)

    def test_a_load_report_lags(self) -> None:
        model = engine()
        model.advance(10)
        model.generate(request('a', 'answer 900 tokens'), 10)
        self.assertEqual(0, model.load_report(10.3).running)
        late = model.load_report(10.8)
        self.assertEqual(('a',), late.in_progress)
        self.assertTrue(0.5 <= late.age_s < 0.7, late.age_s)

    def test_a_crash_prompt_crashes_the_engine(self) -> None:
        model = engine()
        model.faults.crash_on = 'poison'
        model.generate(request('a', 'answer 900 tokens'), 0)
        model.advance(1)
        self.assertFalse(model.is_crashed)
        model.generate(request('b', 'poison'), 1)
        model.advance(2)
        self.assertTrue(model.is_crashed)

    def test_each_role_is_fastest_on_its_own_mix(self) -> None:
        mixes = {
            'prefill': ('crate ' * 3000, 10),
            'mixed': ('crate ' * 1500, 75),
            'decode': ('', 200),
        }
        for best, (prompt, answer_tokens) in mixes.items():
            finished = {
                role: self._count_finished_answers(role, prompt, answer_tokens)
                for role in mixes
            }
            self.assertEqual(best, max(finished, key=finished.get), finished)

    @given(strategies.integers(), strategies.integers(30, 400))
    @settings(max_examples=25)
    def test_random_events_keep_answers_complete(
        self, seed: int, kv_blocks: int
    ) -> None:
        # With any sequence of requests, cancellations and role changes,
        # each finished answer is complete, the KV memory is never exceeded,
        # and all of it is free at the end.
        rng = random.Random(seed)
        model = engine(kv_total_blocks=kv_blocks)
        prompts: dict[str, str] = {}
        for now_s in range(1, 40):
            self._take_random_step(model, rng, prompts, now_s)
            report = model.load_report(now_s)
            self.assertTrue(report.kv_used_blocks <= kv_blocks)
        for now_s in range(40, 140):
            self._check_finished_answers(model, prompts, now_s)
        records = {
            record.attempt_id: record for record in model.record.attempts
        }
        self.assertEqual(set(prompts), set(records))
        self.assertNotIn(None, [record.end for record in records.values()])
        self.assertEqual(0, model.load_report(150).kv_used_blocks)

    def _take_random_step(
        self,
        model: EngineModel,
        rng: random.Random,
        prompts: dict[str, str],
        now_s: int,
    ) -> None:
        name = f'a{now_s}'
        shared = 'crate ' * rng.randint(0, 300)
        prompt = f'{shared}{rng.randint(0, 3)} answer 80 tokens'
        with contextlib.suppress(NotRunError):
            priority = rng.randint(0, 9)
            model.generate(request(name, prompt, priority=priority), now_s)
            prompts[name] = prompt
        if prompts and rng.random() < 0.2:
            model.cancel(rng.choice(sorted(prompts)), now_s)
        if rng.random() < 0.1:
            role = rng.choice(('prefill', 'decode', 'mixed'))
            model.order(order(name, now_s, 'role', role), now_s)
        self._check_finished_answers(model, prompts, now_s + 0.5)

    def _check_finished_answers(
        self, model: EngineModel, prompts: dict[str, str], now_s: float
    ) -> None:
        for output in model.advance(now_s):
            if output.end and output.end.reason == 'stop':
                expected = answer_text(prompts[output.attempt_id], 1024)
                self.assertEqual(expected, text_of(model, output.attempt_id))

    def _count_finished_answers(
        self, role: str, prompt: str, answer_tokens: int
    ) -> int:
        model = engine(role=role)
        for number in range(120):
            numbered_prompt = f'{number} {prompt} answer {answer_tokens} tokens'
            model.generate(request(str(number), numbered_prompt), 0)
        model.advance(14)
        ends = [record.end for record in model.record.attempts]
        return len(ends) - ends.count(None)


class EngineOrderTest(testtools.TestCase):
    def test_a_stale_fencing_token_is_refused_if_checked(self) -> None:
        model = engine()
        model.order(order('1', 7, 'drain'), 0)
        answer = model.order(order('2', 6, 'undrain'), 0)
        self.assertEqual(
            ('refused', 'stale_fence'), (answer.state, answer.cause)
        )
        refusal = self.assertRaises(
            NotRunError, model.generate, request('a', 'x'), 0
        )
        self.assertEqual('draining', refusal.answer['cause'])
        other = engine(is_checking_fence=False)
        other.order(order('1', 7, 'drain'), 0)
        other.order(order('2', 6, 'undrain'), 0)
        other.generate(request('a', 'x'), 0)

    def test_a_repeated_order_changes_nothing(self) -> None:
        model = engine()
        model.order(order('1', 1, 'drain'), 0)
        model.order(order('2', 2, 'undrain'), 0)
        answer = model.order(order('1', 3, 'drain'), 0)
        self.assertEqual('done', answer.state)
        model.generate(request('a', 'x'), 0)
        repeats = [record.is_repeat for record in model.record.orders]
        self.assertEqual([False, False, True], repeats)

    def test_a_role_change_aborts_attempts_and_takes_seconds(self) -> None:
        model = engine()
        model.generate(request('a', 'answer 900 tokens'), 0)
        model.advance(1)
        answer = model.order(order('1', 1, 'role', 'decode'), 1)
        self.assertEqual('accepted', answer.state)
        self.assertEqual('role', model.output_from('a', 0).end.cause)
        refusal = self.assertRaises(
            NotRunError, model.generate, request('b', 'x'), 2
        )
        self.assertEqual('role', refusal.answer['cause'])
        self.assertEqual('done', model.order_state('1', 4.1).state)
        self.assertEqual('decode', model.load_report(5).role)
        model.generate(request('b', 'x'), 5)

    def test_a_model_is_served_between_load_and_unload(self) -> None:
        model = engine()
        wanted = GenerateRequest('a', 'other', 'answer 900 tokens')
        self.assertRaises(MissingError, model.generate, wanted, 0)
        model.order(order('1', 1, 'load_model', 'other'), 0)
        model.generate(wanted, 3)
        model.advance(4)
        model.order(order('2', 2, 'unload_model', 'other'), 4)
        self.assertEqual('unload_model', model.output_from('a', 0).end.cause)

    def test_an_exported_attempt_continues_without_recomputation(self) -> None:
        prompt = 'crate ' * 1600 + 'answer 200 tokens'
        source, target = engine(), engine()
        source.generate(request('a', prompt), 0)
        source.advance(2)
        export = source.export_kv('a', 2)
        target.import_kv(export, 2)
        target.generate(request('b', prompt, resume_tokens=export.tokens), 2)
        target.advance(10)
        self.assertEqual(answer_text(prompt, 1024), text_of(target, 'b'))
        self.assertGreater(target.attempt_record('b').cached_tokens, 1600)
