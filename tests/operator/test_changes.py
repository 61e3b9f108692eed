"""Changes go in once, spread, meet each other, and can be undone."""

from dandelionyoke_core import Instance, hash_key
from dandelionyoke_operator._exit_status import ExitStatus
from tests.operator.support import CONFIGURATION
from tests.operator.test_commands import RAISED_PRIORITY, ConsoleTestCase

# The head, a snapshot, and the changes between that the head has lost.
MAX_STORE_CALLS = 20


class ApplyTest(ConsoleTestCase):
    def test_apply_waits_until_all_entries_have_it(self) -> None:
        self.platform.polls_behind['ubungo-1'] = 3
        self._assert_result(
            self.console.apply(CONFIGURATION),
            ExitStatus.SUCCESS,
            'Revision 1:',
            'kurasini: in force in 2 of 2 instances',
            'ubungo: in force in 1 of 1 instances',
        )

    def test_an_entry_that_does_not_answer_is_named(self) -> None:
        """A failure domain is cut off when a change is applied. The change
        is committed; the operator reads which entry has not answered.
        """
        self.platform.silent.add('ubungo-1')
        self.platform.polls_behind['kurasini-1'] = 10**6
        self.platform.leaving.add('kurasini-2')
        ended = self.console.apply(CONFIGURATION, '--wait', '3')
        self._assert_result(
            ended,
            ExitStatus.NOT_EVERYWHERE,
            'kurasini: in force in 0 of 1 instances\n'
            '    kurasini-1 has revision 0',
            'ubungo: in force in 0 of 1 instances\n'
            '    ubungo-1 has not answered',
        )

    def test_breaking_off_the_wait_leaves_no_doubt_about_the_change(
        self,
    ) -> None:
        """The operator breaks off a wait that takes too long. The screen
        says already that the change is made, so nobody makes it again.
        """

        # One key press is one interrupt. A second one, from the question to
        # the next entry, would wait in the event loop for the next test.
        pressed = iter((KeyboardInterrupt(),))

        def break_off(instance: Instance) -> None:
            for interrupt in pressed:
                raise interrupt

        self.platform.entry_status = break_off
        self._assert_result(
            self.console.apply(CONFIGURATION),
            ExitStatus.INTERRUPTED,
            'Committed as revision 1',
        )

    def test_without_a_list_of_instances_nobody_claims_it_is_in_force(
        self,
    ) -> None:
        """The platform takes the change, then its list cannot be read. The
        operator is told that it is committed and where is not known.
        """
        self.platform.listed = False
        self._assert_result(
            self.console.apply(CONFIGURATION, '--wait', '1'),
            ExitStatus.NOT_EVERYWHERE,
            'not known where',
        )

    def test_a_racing_operator_sees_the_other_change(self) -> None:
        """Two operators plan on the same revision and both apply. The second
        one gets the first one's change to read, and has changed nothing.
        """
        self.console.apply(CONFIGURATION)
        mine = self.console.run('show').output.replace('= 7', '= 3')
        self.console.user = 'baraka'
        self.console.apply(RAISED_PRIORITY)
        self.console.user = 'amina'
        self._assert_result(
            self.console.apply(mine),
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

    def test_a_race_between_reading_and_writing_is_a_conflict_too(
        self,
    ) -> None:
        """The other change lands after this command has read the
        configuration and before it writes. It is told all the same.
        """
        self.console.apply(CONFIGURATION)
        self.store.before_put = lambda: self.console.apply(RAISED_PRIORITY)
        lowered = CONFIGURATION.replace('= 7', '= 1')
        self._assert_result(self.console.apply(lowered), ExitStatus.CONFLICT)
        self.assertIn('priority = 9', self.console.run('show').output)

    def test_a_lost_answer_is_settled_by_reading(self) -> None:
        """The store takes the write and its answer is lost. The operator
        sees the change committed, and the audit trail holds it once.
        """
        self.store.lost_answers = 1
        self._assert_result(
            self.console.apply(CONFIGURATION), ExitStatus.SUCCESS
        )
        trail = self.console.run('history', '--format', 'json').fields
        self.assertEqual(1, len(trail['changes']))

    def test_a_change_whose_end_is_not_known_is_said_to_be_so(self) -> None:
        """The answer is lost and the store goes down at once. The operator
        is told to look in the history, and not that it failed.
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

    def test_a_short_outage_is_waited_out_and_a_long_one_is_told(self) -> None:
        """The store refuses all calls for a while. A short outage costs the
        operator a moment; after a long one nothing was changed, and the
        command says so.
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

    def test_values_that_do_not_go_together_name_the_section(self) -> None:
        """Each value of a file is right by itself, but not together with
        another. The core judges it, and the report names the section.
        """
        crowded = CONFIGURATION.replace(
            'reclaimable', 'min_targets = 99\nreclaimable'
        )
        self._assert_result(
            self.console.apply(crowded),
            ExitStatus.INVALID,
            '[service route-assistant]',
        )

    def test_a_reason_an_author_and_a_platform_are_asked_for(self) -> None:
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

    def test_undo_does_not_undo_a_later_change_with_it(self) -> None:
        """A later change is about the same organisation. Undoing the earlier
        one would take the later one back unasked, so it is refused.
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
        would bring a model back that nothing carries; the committer refuses
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

    def test_undo_says_when_it_has_not_read_far_enough(self) -> None:
        """The value before the change was set long ago. Without reading that
        far, undoing would remove the section; it asks for more instead.
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

    def test_a_key_is_printed_once_and_kept_as_a_hash(self) -> None:
        ended = self.console.run(
            'key', 'issue', 'duka-routes', '--label', 'van 3'
        )
        self._assert_result(ended, ExitStatus.SUCCESS, 'key: dy-1\n')
        stored = ''.join(str(item) for item in self.store.content.values())
        self.assertIn(hash_key('dy-1'), stored)
        self.assertNotIn('dy-1', stored)
        for wrong in (('--label', 'two\nlines'), ('--reason', 'two\nlines')):
            ended = self.console.run('key', 'issue', 'duka-routes', *wrong)
            self.assertIn('on one line', ended.errors)
        self._assert_result(
            self.console.run('key', 'issue', 'nobody'),
            ExitStatus.INVALID,
            'duka-routes, mbezi-shops',
        )

    def test_a_key_whose_end_is_not_known_is_not_given_out(self) -> None:
        """The store goes silent while a key is issued. The key may work or
        not; it is not shown, so that nobody reads it to a customer.
        """

        def go_down() -> None:
            self.store.outage_calls = 10**6

        self.store.lost_answers = 1
        self.store.before_put = go_down
        ended = self.console.run('key', 'issue', 'duka-routes')
        self._assert_result(ended, ExitStatus.UNSETTLED)
        self.assertNotIn('dy-1', ended.output + ended.errors)

    def test_keys_are_issued_and_withdrawn_through_other_changes(self) -> None:
        """Another operator's change lands while a key is issued. One key
        fits after any change, so the command goes on by itself.
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

    def test_an_old_file_does_not_bring_a_withdrawn_key_back(self) -> None:
        """A key leaks and is withdrawn. A file printed before still lists
        it; applied for another reason it must not let the holder in again.
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

    def test_a_file_without_keys_leaves_them_alone(self) -> None:
        self.console.run('key', 'issue', 'duka-routes')
        self.console.run('key', 'issue', 'mbezi-shops')
        smaller = RAISED_PRIORITY.replace('[organisation mbezi-shops]', '')
        self.console.apply(smaller)
        shown = self.console.run('show').output
        self.assertIn(f'[key {hash_key("dy-1")}]', shown)
        self.assertNotIn(hash_key('dy-2'), shown)
