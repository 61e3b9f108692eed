"""Changes are committed once, rolled out, checked for conflicts and undone."""

from dandelionyoke_core import Instance, hash_key
from dandelionyoke_operator._exit_status import ExitStatus
from tests.operator.support import CONFIGURATION
from tests.operator.test_commands import RAISED_PRIORITY, ConsoleTestCase

# For the head, a snapshot, and the changes between that left the head.
MAX_STORE_CALLS = 20


class ApplyTest(ConsoleTestCase):
    def test_apply_waits_until_all_entries_have_the_revision(self) -> None:
        self.platform.polls_behind['ubungo-1'] = 3
        self._assert_result(
            self.console.apply(CONFIGURATION),
            ExitStatus.SUCCESS,
            'Revision 1:',
            'kurasini: in force in 2 of 2 instances',
            'ubungo: in force in 1 of 1 instances',
        )

    def test_report_names_an_entry_that_does_not_answer(self) -> None:
        """A failure domain is partitioned while a change is applied. The
        change is committed, and the report names the entry that did not
        answer.
        """
        self.platform.silent.add('ubungo-1')
        self.platform.polls_behind['kurasini-1'] = 10**6
        self.platform.leaving.add('kurasini-2')
        result = self.console.apply(CONFIGURATION, '--wait', '3')
        self._assert_result(
            result,
            ExitStatus.NOT_EVERYWHERE,
            'kurasini: in force in 0 of 1 instances\n'
            '    kurasini-1 has revision 0',
            'ubungo: in force in 0 of 1 instances\n'
            '    ubungo-1 has not answered',
        )

    def test_interrupted_wait_reports_that_the_change_is_committed(
        self,
    ) -> None:
        """The operator interrupts the wait. The output already says that
        the change is committed, so that it is not made again.
        """

        # Raise only one interrupt. A second one, raised by the query of the
        # next entry, would stay in the event loop until the next test.
        interrupts = iter((KeyboardInterrupt(),))

        def interrupt_once(instance: Instance) -> None:
            for interrupt in interrupts:
                raise interrupt

        self.platform.entry_status = interrupt_once
        self._assert_result(
            self.console.apply(CONFIGURATION),
            ExitStatus.INTERRUPTED,
            'Committed as revision 1',
        )

    def test_rollout_is_unknown_without_a_list_of_instances(
        self,
    ) -> None:
        """The store accepts the change, but the platform returns no list of
        instances. The report says that it is not known where it is in force.
        """
        self.platform.listed = False
        self._assert_result(
            self.console.apply(CONFIGURATION, '--wait', '1'),
            ExitStatus.NOT_EVERYWHERE,
            'not known where',
        )

    def test_a_conflict_shows_the_other_change(self) -> None:
        """Two operators apply files with the same base revision. The second
        one gets a conflict that shows the first one's change, and changes
        nothing.
        """
        self.console.apply(CONFIGURATION)
        stale_file = self.console.run('show').output.replace('= 7', '= 3')
        self.console.user = 'baraka'
        self.console.apply(RAISED_PRIORITY)
        self.console.user = 'amina'
        self._assert_result(
            self.console.apply(stale_file),
            ExitStatus.CONFLICT,
            'revision 2 is in force, and this was written against 1',
            'baraka',
            '~ [organisation duka-routes]\n        priority: 7 -> 9',
        )
        self.assertIn('priority = 9', self.console.run('show').output)
        self._assert_result(
            self.console.apply(CONFIGURATION, '--base', '1'),
            ExitStatus.CONFLICT,
        )

    def test_a_change_between_read_and_write_is_a_conflict(
        self,
    ) -> None:
        """Another change is committed after this command has read the
        configuration and before it writes. It is reported as a conflict.
        """
        self.console.apply(CONFIGURATION)
        self.store.before_put = lambda: self.console.apply(RAISED_PRIORITY)
        lowered = CONFIGURATION.replace('= 7', '= 1')
        self._assert_result(self.console.apply(lowered), ExitStatus.CONFLICT)
        self.assertIn('priority = 9', self.console.run('show').output)

    def test_a_lost_answer_is_resolved_by_reading(self) -> None:
        """The store performs the write, but its answer is lost. The change is
        reported as committed, and the audit trail contains it once.
        """
        self.store.lost_answers = 1
        self._assert_result(
            self.console.apply(CONFIGURATION), ExitStatus.SUCCESS
        )
        trail = self.console.run('history', '--format', 'json').fields
        self.assertEqual(1, len(trail['changes']))

    def test_an_unknown_outcome_is_reported(self) -> None:
        """The answer is lost and the store goes down immediately. The outcome
        is reported as unknown, not as a failure, and refers to the history.
        """
        self.store.lost_answers = 1

        def go_down() -> None:
            self.store.outage_calls = 10**6

        self.store.before_put = go_down
        self._assert_result(
            self.console.apply(CONFIGURATION),
            ExitStatus.UNSETTLED,
            'history',
            'not known',
        )

    def test_a_short_outage_is_retried_and_a_long_one_is_reported(self) -> None:
        """The store refuses all calls for a while. A short outage is retried;
        after a long one the command reports that nothing was changed.
        """
        self.store.outage_calls = 3
        self._assert_result(
            self.console.apply(CONFIGURATION), ExitStatus.SUCCESS
        )
        self.store.outage_calls = 100
        self._assert_result(
            self.console.apply(RAISED_PRIORITY),
            ExitStatus.UNAVAILABLE,
            'cannot be read',
        )
        self.store.outage_calls = 0
        self.store.refuses_writes = True
        self._assert_result(
            self.console.apply(RAISED_PRIORITY),
            ExitStatus.UNAVAILABLE,
            'Nothing was changed',
        )

    def test_inconsistent_values_name_the_section(self) -> None:
        """Each value of a file is valid by itself, but not in combination.
        The core package detects this, and the report names the section.
        """
        inconsistent = CONFIGURATION.replace(
            'reclaimable', 'min_targets = 99\nreclaimable'
        )
        self._assert_result(
            self.console.apply(inconsistent),
            ExitStatus.INVALID,
            '[service route-assistant]',
        )

    def test_reason_author_and_platform_are_required(self) -> None:
        self._assert_result(
            self.console.run('apply', '-', stdin=CONFIGURATION),
            ExitStatus.USAGE,
            'Give --reason TEXT',
        )
        self.console.user = ''
        self._assert_result(
            self.console.apply(CONFIGURATION), ExitStatus.USAGE, '--author'
        )
        self.console.variables.clear()
        self._assert_result(
            self.console.run('show'), ExitStatus.USAGE, '--platform URL'
        )


class UndoTest(ConsoleTestCase):
    def test_undo_restores_what_one_change_replaced(self) -> None:
        self.console.apply(CONFIGURATION)
        without = RAISED_PRIORITY.replace('[organisation mbezi-shops]', '')
        self.console.apply(without)
        self.console.apply(f'{without}\n[organisation aforo]\n')
        self._assert_result(
            self.console.run('undo', '2'),
            ExitStatus.SUCCESS,
            'Revision 4:',
            'priority: 9 -> 7',
            '+ [organisation mbezi-shops]',
        )
        shown = self.console.run('show').output
        self.assertIn('[organisation aforo]', shown)
        self._assert_result(
            self.console.run('undo', '3'), ExitStatus.SUCCESS, '- ['
        )
        self.assertNotIn('aforo', self.console.run('show').output)

    def test_undo_refuses_to_revert_a_later_change(self) -> None:
        """A later change affects the same organisation. Undoing the earlier
        one would revert the later one too, so it is refused.
        """
        self.console.apply(CONFIGURATION)
        self.console.apply(RAISED_PRIORITY)
        self.console.apply(RAISED_PRIORITY.replace('= 9', '= 8'))
        self._assert_result(
            self.console.run('undo', '2'),
            ExitStatus.INVALID,
            'Revision 3 changed [organisation duka-routes]',
        )
        self._assert_result(
            self.console.run('undo', '9'), ExitStatus.INVALID, 'limit'
        )
        self._assert_result(self.console.run('undo', 'x'), ExitStatus.USAGE)

    def test_undo_that_would_leave_a_model_without_service_is_refused(
        self,
    ) -> None:
        """A model was removed, then its service. Undoing only the first
        removal would restore a model without a service. The committer rejects
        it and names the model.
        """
        self.console.apply(CONFIGURATION)
        without_model = CONFIGURATION.partition('[model')[0]
        self.console.apply(without_model)
        self.console.apply(without_model.partition('[service')[0])
        self._assert_result(
            self.console.run('undo', '2'),
            ExitStatus.INVALID,
            '[model crate-lm]',
            'route-assistant',
        )

    def test_undo_fails_if_the_history_read_is_too_short(self) -> None:
        """The value before the change was set many revisions ago. If the
        history read does not reach back to it, undoing would remove the
        section; the command fails and asks for a higher limit instead.
        """
        self.console.apply(CONFIGURATION)
        for priority in range(80):
            self.console.apply(
                CONFIGURATION.replace('= 7', f'= {priority % 2}')
            )
        removed = CONFIGURATION.replace('[organisation mbezi-shops]', '')
        self.console.apply(removed.replace('= 7', '= 1'))
        self.store.calls = 0
        self.console.run('plan', '-', stdin=CONFIGURATION)
        self.assertLess(self.store.calls, MAX_STORE_CALLS)
        self._assert_result(
            self.console.run('undo', '82', '--limit', '1'),
            ExitStatus.INVALID,
            '[organisation mbezi-shops] was before lies further back',
        )
        self._assert_result(
            self.console.run('history', '--limit', '1'),
            ExitStatus.SUCCESS,
            '= [organisation duka-routes]',
        )
        self._assert_result(
            self.console.run('undo', '82'),
            ExitStatus.SUCCESS,
            '+ [organisation mbezi-shops]',
        )


class KeyTest(ConsoleTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.console.apply(CONFIGURATION)

    def test_a_key_is_printed_once_and_stored_as_a_hash(self) -> None:
        result = self.console.run(
            'key', 'issue', 'duka-routes', '--label', 'van 3'
        )
        self._assert_result(result, ExitStatus.SUCCESS, 'key: dy-1\n')
        stored = ''.join(str(item) for item in self.store.content.values())
        self.assertIn(hash_key('dy-1'), stored)
        self.assertNotIn('dy-1', stored)
        for wrong in (('--label', 'two\nlines'), ('--reason', 'two\nlines')):
            result = self.console.run('key', 'issue', 'duka-routes', *wrong)
            self.assertIn('on one line', result.errors)
        self._assert_result(
            self.console.run('key', 'issue', 'nobody'),
            ExitStatus.INVALID,
            'duka-routes, mbezi-shops',
        )

    def test_a_key_is_not_shown_if_the_outcome_is_unknown(self) -> None:
        """The store stops answering while a key is issued. It is not known
        whether the key works, so it is not shown.
        """

        def go_down() -> None:
            self.store.outage_calls = 10**6

        self.store.lost_answers = 1
        self.store.before_put = go_down
        result = self.console.run('key', 'issue', 'duka-routes')
        self._assert_result(result, ExitStatus.UNSETTLED)
        self.assertNotIn('dy-1', result.output + result.errors)

    def test_keys_are_issued_and_withdrawn_despite_concurrent_changes(
        self,
    ) -> None:
        """Another operator's change is committed while a key is issued. A key
        can be added to any revision, so the command retries by itself.
        """
        self.store.before_put = lambda: self.console.apply(RAISED_PRIORITY)
        self._assert_result(
            self.console.run('key', 'issue', 'duka-routes'), ExitStatus.SUCCESS
        )
        withdrawn = self.console.run('key', 'withdraw', '-', stdin='dy-1\n')
        self._assert_result(
            withdrawn, ExitStatus.SUCCESS, f'- [key {hash_key("dy-1")}]'
        )
        self._assert_result(
            self.console.run('key', 'withdraw', hash_key('dy-1')),
            ExitStatus.INVALID,
            'No key in force matches',
        )

    def test_an_old_file_does_not_restore_a_withdrawn_key(self) -> None:
        """A key leaks and is withdrawn. A file that was printed earlier still
        lists it; applying that file must not make the key valid again.
        """
        self.console.run('key', 'issue', 'duka-routes')
        old = self.console.run('show').output
        self.console.run('key', 'withdraw', hash_key('dy-1'))
        self._assert_result(self.console.apply(old), ExitStatus.CONFLICT)
        rebased = old.replace('base_revision = 2', 'base_revision = 3')
        self._assert_result(
            self.console.apply(rebased),
            ExitStatus.INVALID,
            'revision 3 withdrew',
        )
        self._assert_result(
            self.console.run('undo', '3'), ExitStatus.SUCCESS, '+ [key'
        )

    def test_a_file_without_keys_keeps_the_keys_in_force(self) -> None:
        self.console.run('key', 'issue', 'duka-routes')
        self.console.run('key', 'issue', 'mbezi-shops')
        smaller = RAISED_PRIORITY.replace('[organisation mbezi-shops]', '')
        self.console.apply(smaller)
        shown = self.console.run('show').output
        self.assertIn(f'[key {hash_key("dy-1")}]', shown)
        self.assertNotIn(hash_key('dy-2'), shown)
