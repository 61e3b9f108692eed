"""The log of an entry explains its decisions and contains no secrets."""

import json

import urllib3

from scripts.fleet import SECRET, Deployment
from tests.entry.fleet_case import FleetCase


class LogTest(FleetCase):
    deployment = Deployment(engines={'route-assistant': 1}, entries=1)

    def records(self, request_id: str) -> list[dict[str, object]]:
        """Return the log records of one request."""
        lines = (self.fleet.logs / 'entry-1.log').read_text().splitlines()
        records = [json.loads(line) for line in lines]
        return [
            record for record in records if request_id in json.dumps(record)
        ]

    def test_the_log_has_the_cause_of_a_refusal(self) -> None:
        refused = self.call(
            '/v1/completions', {'model': 'unheard-of', 'prompt': 'x'}
        )
        records = self.records(refused.headers['X-Request-Id'])
        refusals = [
            record
            for record in records
            if record.get('message_type') == 'request.refused'
        ]
        self.assertIn('unknown_model', json.dumps(refusals))

    def test_a_call_is_logged_as_one_action_with_its_target(self) -> None:
        answer = self.call(
            '/v1/completions',
            {'model': 'crate-lm', 'prompt': 'where: answer 3 tokens'},
        )
        records = self.records(answer.headers['X-Request-Id'])
        self.assertIn('route-assistant-0', json.dumps(records))
        started = [record for record in records if 'action_type' in record]
        self.assertEqual('request', started[0]['action_type'])
        tasks = {record['task_uuid'] for record in records}
        self.assertEqual(1, len(tasks))

    def test_the_log_has_the_author_of_a_configuration_change(self) -> None:
        text = (self.fleet.logs / 'entry-1.log').read_text()
        self.assertIn('configuration.in_force', text)
        self.assertIn('launcher', text)

    def test_the_log_contains_no_secret(self) -> None:
        self.call('/v1/models', method='GET')
        text = (self.fleet.logs / 'entry-1.log').read_text()
        for secret in (SECRET, self.keys.routes, self.keys.depot):
            self.assertNotIn(secret, text)

    def test_metrics_count_calls(self) -> None:
        self.call('/v1/completions', {'model': 'crate-lm', 'prompt': 'm'})
        metrics: urllib3.BaseHTTPResponse = self.call('/metrics', method='GET')
        text = metrics.data.decode()
        self.assertIn('quantile="0.95"', text)
        self.assertIn('dandelionyoke_request', text)
