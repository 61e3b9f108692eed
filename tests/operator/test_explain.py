"""What became of a request, from the logs of the nodes it met."""

import json

import testtools

from tests.operator.support import OperatorConsole


def log_line(at_s: float, node: str, decision: str, **fields: object) -> str:
    return json.dumps(
        {
            'timestamp': at_s,
            'instance_id': node,
            'message_type': decision,
            'subject': 'a1',
            'left_out': 0,
            **fields,
        }
    )


LOG = '\n'.join(
    (
        'cut off at the beginning"}',
        log_line(
            12.5, 'n-2', 'call.refused', outcome='502', cause='it broke off'
        ),
        log_line(
            12.0, 'n-1', 'call.refused', outcome='503', knowledge_age_s=4.6
        ),
        '  12.4 n-2 ' + log_line(12.4, 'n-2', 'attempt.failed', left_out=3),
        log_line(12.1, 'n-1', 'call.refused', subject='another'),
        '[1, 2]',
    )
)


class ExplainTest(testtools.TestCase):
    def test_the_trail_runs_across_processes_in_order_of_events(self) -> None:
        """A caller complains; its request was tried at two nodes.

        The logs are in one file, one of them cut and with times before it.
        """
        ended = OperatorConsole().run('explain', 'a1', stdin=LOG)
        self.assertEqual(0, ended.status)
        self.assertEqual(
            [
                '     0.0 ms  n-1  call.refused  503',
                '             knowledge_age_s 4.6',
                '   400.0 ms  n-2  attempt.failed',
                '             (3 lines left out before)',
                '   500.0 ms  n-2  call.refused  502  it broke off',
            ],
            ended.output.splitlines(),
        )

    def test_the_same_as_json(self) -> None:
        ended = OperatorConsole().run(
            'explain', 'a1', '--format', 'json', stdin=LOG
        )
        fields = json.loads(ended.output)
        self.assertEqual('a1', fields['request_id'])
        self.assertEqual(3, len(fields['lines']))

    def test_logs_without_the_request_say_where_to_look(self) -> None:
        ended = OperatorConsole().run('explain', 'unknown', stdin=LOG)
        self.assertEqual(3, ended.status)
        self.assertIn('Nothing about unknown in these logs', ended.output)

    def test_a_file_that_is_not_there(self) -> None:
        ended = OperatorConsole().run('explain', 'a1', '--logs', 'nowhere.log')
        self.assertEqual(2, ended.status)
        self.assertIn('nowhere.log cannot be read', ended.errors)
