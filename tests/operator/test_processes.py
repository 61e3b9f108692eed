"""Commands run against the platform's stand-in and real entry processes."""

import concurrent.futures
import io
import signal
import time
from typing import ClassVar

from dandelionyoke_operator._application import run
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._exit_status import ExitStatus
from scripts.fleet import Deployment
from tests.entry.fleet_case import FleetCase
from tests.operator.support import CommandResult

# A change, such as a withdrawal, must take effect at all entries within this.
MAX_ROLLOUT_S = 5.0
POLL_INTERVAL_S = 0.1


class OperatorTest(FleetCase):
    deployment: ClassVar[Deployment] = Deployment(
        engines={'route-assistant': 1, 'ledger-desk': 1}
    )

    def operate(self, *arguments: str, stdin: str = '') -> CommandResult:
        out, err = io.StringIO(), io.StringIO()
        status = run(
            Environment(
                (*arguments, '--platform', self.fleet.platform_url),
                stdin=io.StringIO(stdin),
                stdout=out,
                stderr=err,
                user='amina',
            )
        )
        return CommandResult(status, out.getvalue(), err.getvalue())

    def issue_key(self) -> tuple[str, str]:
        result = self.operate('key', 'issue', 'duka-routes', '--format', 'json')
        self.assertEqual(ExitStatus.SUCCESS, result.status, result.errors)
        return result.fields['key'], result.fields['key_hash']

    def models_status(self, key: str, entry: int) -> int:
        path = '/v1/models'
        return self.call(path, entry=entry, method='GET', key=key).status

    def test_a_withdrawn_key_stops_working_within_seconds(self) -> None:
        """A key leaks and is withdrawn. Every entry refuses it when the
        command has ended.
        """
        key, key_hash = self.issue_key()
        for entry in (0, 1):
            self.assertEqual(200, self.models_status(key, entry))
        started_s = time.monotonic()
        result = self.operate('key', 'withdraw', key_hash[:12])
        self.assertEqual(ExitStatus.SUCCESS, result.status, result.errors)
        for entry in (0, 1):
            self.assertEqual(401, self.models_status(key, entry))
        self.assertLess(time.monotonic() - started_s, MAX_ROLLOUT_S)

    def test_concurrently_issued_keys_all_work(self) -> None:
        """Three operators issue keys concurrently. Each gets a key that works,
        and no key is lost to another operator's change.
        """
        with concurrent.futures.ThreadPoolExecutor() as pool:
            issued = list(pool.map(lambda _: self.issue_key(), range(3)))
        shown = self.operate('show').output
        for key, key_hash in issued:
            self.assertIn(f'[key {key_hash}]', shown)
            self.assertEqual(200, self.models_status(key, 0))

    def test_a_paused_entry_is_reported_and_catches_up(self) -> None:
        """An entry is paused while a change is committed. The report says that
        it has not answered, and after it resumes that it has the revision.
        """
        paused = self.fleet.entries[1]
        paused.signal(signal.SIGSTOP)
        try:
            result = self.operate('key', 'issue', 'duka-routes', '--wait', '0')
        finally:
            paused.signal(signal.SIGCONT)
        self.assertEqual(
            ExitStatus.NOT_EVERYWHERE, result.status, result.errors
        )
        self.assertIn(f'{paused.name} has not answered', result.output)
        deadline_s = time.monotonic() + MAX_ROLLOUT_S
        while self.operate('status').status != ExitStatus.SUCCESS:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(POLL_INTERVAL_S)

    def test_a_lost_answer_leaves_one_change(self) -> None:
        """The store performs a write, and the connection closes before its
        answer. The change is reported as committed, and the audit trail
        contains it once.
        """
        shown = self.operate('show').output
        faults = f'{self.fleet.platform_url}/standin/faults'
        self.fleet.post(faults, {'lose_answers': 1})
        reason = 'the answer gets lost'
        result = self.operate(
            'apply',
            '-',
            '--reason',
            reason,
            stdin=f'{shown}\n[organisation tanga-shops]\n',
        )
        self.assertEqual(ExitStatus.SUCCESS, result.status, result.errors)
        trail = self.operate('history', '--format', 'json').fields['changes']
        matching = [each for each in trail if each['reason'] == reason]
        self.assertEqual(1, len(matching))

    def test_a_reused_address_is_not_reported_as_the_old_instance(
        self,
    ) -> None:
        """The platform's stale list still contains an entry that is gone, and
        another entry uses its address. The report must not say that the entry
        that is gone has the revision in force.
        """
        instances = f'{self.fleet.platform_url}/instances'
        gone_entry = {
            'instance_id': 'entry-gone',
            'domain': 'kurasini',
            'caller_address': self.fleet.entries[0].address,
            'peer_address': '127.0.0.1:1',
            'state': 'live',
        }
        self.fleet.post(instances, gone_entry)
        result = self.operate('status')
        deadline_s = time.monotonic() + MAX_ROLLOUT_S
        while 'entry-gone' not in result.output:
            self.assertLess(time.monotonic(), deadline_s)
            result = self.operate('status')
        self.fleet.post(instances, gone_entry | {'state': 'leaving'})
        self.assertIn('entry-gone has not answered', result.output)
        self.assertEqual(ExitStatus.NOT_EVERYWHERE, result.status)
