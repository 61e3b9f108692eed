"""A run's log answers why, without telling a secret."""

import json

import urllib3

from scripts.fleet import SECRET, Deployment
from tests.entry.fleet_case import FleetCase


class LogTest(FleetCase):
    deployment = Deployment(engines={'route-assistant': 1}, entries=1)

    def records(self, request_id: str) -> list[dict[str, object]]:
        """Read the log's lines about one request."""
        lines = (self.fleet.logs / 'entry-1.log').read_text().splitlines()
        records = [json.loads(line) for line in lines]
        return [one for one in records if request_id in json.dumps(one)]

    def test_it_tells_why_a_call_was_refused(self) -> None:
        refused = self.call(
            '/v1/completions', {'model': 'unheard-of', 'prompt': 'x'}
        )
        records = self.records(refused.headers['X-Request-Id'])
        refusal = [
            one
            for one in records
            if one.get('message_type') == 'request.refused'
        ]
        self.assertIn('unknown_model', json.dumps(refusal))

    def test_it_tells_where_a_call_went_as_one_action(self) -> None:
        answer = self.call(
            '/v1/completions',
            {'model': 'crate-lm', 'prompt': 'where: answer 3 tokens'},
        )
        records = self.records(answer.headers['X-Request-Id'])
        self.assertIn('route-assistant-0', json.dumps(records))
        started = [one for one in records if 'action_type' in one]
        self.assertEqual('request', started[0]['action_type'])
        tasks = {one['task_uuid'] for one in records}
        self.assertEqual(1, len(tasks))

    def test_it_tells_who_changed_the_configuration(self) -> None:
        text = (self.fleet.logs / 'entry-1.log').read_text()
        self.assertIn('configuration.in_force', text)
        self.assertIn('launcher', text)

    def test_it_holds_no_secret(self) -> None:
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
