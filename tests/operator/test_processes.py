"""The command against the platform's stand-in and real entries."""

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

# What the brief calls "within seconds".
WITHDRAWAL_BOUND_S = 5.0
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
        ended = self.operate('key', 'issue', 'duka-routes', '--format', 'json')
        self.assertEqual(ExitStatus.SUCCESS, ended.status, ended.errors)
        return ended.fields['key'], ended.fields['key_hash']

    def models_status(self, key: str, entry: int) -> int:
        path = '/v1/models'
        return self.call(path, entry=entry, method='GET', key=key).status

    def test_a_withdrawn_key_stops_working_within_seconds(self) -> None:
        """A key leaks, and the operator withdraws it during traffic. Its
        holder is refused by every entry a moment later.
        """
        key, key_hash = self.issue_key()
        for entry in (0, 1):
            self.assertEqual(200, self.models_status(key, entry))
        begun_s = time.monotonic()
        ended = self.operate('key', 'withdraw', key_hash[:12])
        self.assertEqual(ExitStatus.SUCCESS, ended.status, ended.errors)
        for entry in (0, 1):
            self.assertEqual(401, self.models_status(key, entry))
        self.assertLess(time.monotonic() - begun_s, WITHDRAWAL_BOUND_S)

    def test_operators_who_race_all_get_their_keys(self) -> None:
        """Three operators issue keys at the same moment. Each gets one that
        works, and none is lost to another one's change.
        """
        with concurrent.futures.ThreadPoolExecutor() as pool:
            issued = list(pool.map(lambda _: self.issue_key(), range(3)))
        shown = self.operate('show').output
        for key, key_hash in issued:
            self.assertIn(f'[key {key_hash}]', shown)
            self.assertEqual(200, self.models_status(key, 0))

    def test_a_paused_entry_is_named_and_catches_up(self) -> None:
        """An entry is paused when a change is committed. The operator reads
        that it has not answered, and later that it has the change.
        """
        paused = self.fleet.entries[1]
        paused.signal(signal.SIGSTOP)
        try:
            ended = self.operate('key', 'issue', 'duka-routes', '--wait', '0')
        finally:
            paused.signal(signal.SIGCONT)
        self.assertEqual(ExitStatus.NOT_EVERYWHERE, ended.status, ended.errors)
        self.assertIn(f'{paused.name} has not answered', ended.output)
        give_up_s = time.monotonic() + WITHDRAWAL_BOUND_S
        while self.operate('status').status != ExitStatus.SUCCESS:
            self.assertLess(time.monotonic(), give_up_s)
            time.sleep(POLL_INTERVAL_S)

    def test_a_lost_answer_leaves_one_change(self) -> None:
        """The store takes a change and the connection ends before its answer.
        The operator sees it committed, and the audit trail holds it once.
        """
        shown = self.operate('show').output
        faults = f'{self.fleet.platform_url}/standin/faults'
        self.fleet.post(faults, {'lose_answers': 1})
        reason = 'the answer gets lost'
        ended = self.operate(
            'apply',
            '-',
            '--reason',
            reason,
            stdin=f'{shown}\n[organisation tanga-shops]\n',
        )
        self.assertEqual(ExitStatus.SUCCESS, ended.status, ended.errors)
        trail = self.operate('history', '--format', 'json').fields['changes']
        found = [each for each in trail if each['reason'] == reason]
        self.assertEqual(1, len(found))

    def test_an_address_that_changed_hands_is_not_taken_for_its_owner(
        self,
    ) -> None:
        """The platform's lagging list still names an entry that is gone, and
        another one has taken over its address. The operator must not read
        that the one that is gone has the change in force.
        """
        instances = f'{self.fleet.platform_url}/instances'
        ghost = {
            'instance_id': 'entry-gone',
            'domain': 'kurasini',
            'caller_address': self.fleet.entries[0].address,
            'peer_address': '127.0.0.1:1',
            'state': 'live',
        }
        self.fleet.post(instances, ghost)
        ended = self.operate('status')
        give_up_s = time.monotonic() + WITHDRAWAL_BOUND_S
        while 'entry-gone' not in ended.output:
            self.assertLess(time.monotonic(), give_up_s)
            ended = self.operate('status')
        self.fleet.post(instances, ghost | {'state': 'leaving'})
        self.assertIn('entry-gone has not answered', ended.output)
        self.assertEqual(ExitStatus.NOT_EVERYWHERE, ended.status)
