"""Callers get their whole answer, or a refusal that is true."""

import testtools

from dandelionyoke_core import (
    AnswerService,
    AttemptEnded,
    CallService,
    FinishCall,
    RefusalKind,
    SendTokens,
    ServiceAnswered,
    StartAttempt,
    TokensArrived,
)
from tests.core.fakes import Entry, Store, ask, confirm, serve


class PathTest(testtools.TestCase):
    def test_a_model_call_gets_its_tokens_and_its_end(self) -> None:
        entry = Entry()
        entry.tell(ask())
        start = entry.last(StartAttempt)
        entry.tell(TokensArrived('r1', start.attempt_id, 0, ('a ', 'b')))
        entry.tell(AttemptEnded('r1', start.attempt_id, 'stop', 2, 3))
        self.assertEqual([SendTokens('r1', ('a ', 'b'))], entry.all(SendTokens))
        self.assertEqual(
            [FinishCall('r1', 'stop', 3, 2)], entry.all(FinishCall)
        )
        self.assertEqual(
            (set(), {}), (entry.admitter.held, entry.router.running)
        )

    def test_a_claimed_call_runs_once_and_is_answered_again(self) -> None:
        entry, store = Entry(), Store()
        serve(entry, store, entry.tell(confirm()))
        call = entry.last(CallService)
        answer = ServiceAnswered('r1', call.attempt_id, 200, 'text', b'done')
        serve(entry, store, entry.tell(answer))
        serve(entry, store, entry.tell(confirm('r2')))
        self.assertEqual(1, len(entry.all(CallService)))
        self.assertEqual(
            [
                AnswerService('r1', 200, 'text', b'done'),
                AnswerService('r2', 200, 'text', b'done'),
            ],
            entry.all(AnswerService),
        )

    def test_a_claimed_call_without_its_header_is_told_the_remedy(self) -> None:
        entry = Entry()
        entry.tell(confirm(idempotency_key=None))
        refusal = entry.refusal('r1')
        assert refusal is not None
        self.assertEqual(RefusalKind.KEY_REQUIRED, refusal.kind)
        self.assertIn('Idempotency-Key', refusal.remedy)
