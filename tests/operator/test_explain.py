"""The command `explain` lists the decisions about a request."""

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
    def test_decisions_of_several_nodes_are_sorted_by_time(self) -> None:
        """A request was handled by two nodes.

        Their logs are in one file; one is truncated, and one has prefixed
        timestamps.
        """
        result = OperatorConsole().run('explain', 'a1', stdin=LOG)
        self.assertEqual(0, result.status)
        self.assertEqual(
            [
                '     0.0 ms  n-1  call.refused  503',
                '             knowledge_age_s 4.6',
                '   400.0 ms  n-2  attempt.failed',
                '             (3 lines left out before)',
                '   500.0 ms  n-2  call.refused  502  it broke off',
            ],
            result.output.splitlines(),
        )

    def test_the_report_as_json(self) -> None:
        result = OperatorConsole().run(
            'explain', 'a1', '--format', 'json', stdin=LOG
        )
        fields = json.loads(result.output)
        self.assertEqual('a1', fields['request_id'])
        self.assertEqual(3, len(fields['lines']))

    def test_a_request_missing_from_the_logs_is_reported_with_a_remedy(
        self,
    ) -> None:
        result = OperatorConsole().run('explain', 'unknown', stdin=LOG)
        self.assertEqual(3, result.status)
        self.assertIn('Nothing about unknown in these logs', result.output)

    def test_a_missing_log_file_is_reported(self) -> None:
        result = OperatorConsole().run('explain', 'a1', '--logs', 'nowhere.log')
        self.assertEqual(2, result.status)
        self.assertIn('nowhere.log cannot be read', result.errors)
