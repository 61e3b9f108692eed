"""Names and formats of the platform, and hostile ones."""

import json

import testtools

from dandelionyoke_dispatch import (
    ConfigurationError,
    FleetConfiguration,
    LimitUnit,
    Phase,
    PromptPart,
    RateLimit,
)
from dandelionyoke_gateway import (
    CacheSource,
    Forwarding,
    RequestHead,
    ResponseHead,
)
from dandelionyoke_platform._dialect import PlatformDialect

DIALECT = PlatformDialect()
HEAD = RequestHead(
    'POST',
    '/lohu930/2f?x=1',
    (
        ('host', 'ficu95.example:80'),
        ('attempt-id', '9c41'),
        ('model', 'm'),
        ('token-count', '1460,80'),
        ('prompt-prefix', '5c1e:800,91bd:410,e440:250'),
        ('deadline-ms', '6000'),
        ('x-api-key', 'secret-key'),
        ('tenant', 'somebody-else'),
        ('kv-hold', 'stolen'),
        ('connection', 'keep-alive, x-hop'),
        ('x-hop', '1'),
        ('x-kept', '2'),
    ),
)
ENTRY = {
    'service': 'lm',
    'address': '10.0.0.9:8080',
    'zone': 'limon-a',
    'slots': 64,
    'state': 'ready',
    'phase': 'decode',
    'seq': 4,
    'born': 17,
}


class CallTest(testtools.TestCase):
    def test_the_facts_of_a_call(self) -> None:
        call = DIALECT.read_call(HEAD)
        assert call is not None and call.prompt is not None
        self.assertEqual('ficu95.example', call.host)
        self.assertEqual('/lohu930/2f', call.path)
        self.assertEqual(6.0, call.time_left_s)
        self.assertEqual(PromptPart('91bd', 410), call.prompt.parts[1])
        self.assertEqual('91bd', call.prompt.shared_key)

    def test_no_key_in_what_is_printed(self) -> None:
        self.assertNotIn('secret-key', repr(DIALECT.read_call(HEAD)))

    def test_a_target_sees_neither_key_nor_what_callers_forge(self) -> None:
        """A caller sends headers that are the system's to set.

        Passed on, they would run its call for another organisation or take
        a place that was reserved for somebody.
        """
        forwarding = Forwarding(
            'i-7',
            2.5,
            organisation='acme',
            priority=12,
            cache=CacheSource('10.0.0.1:80', 'h1'),
            last_event_id='3',
        )
        head = DIALECT.call_head(HEAD, forwarding)
        sent = dict(head.headers)
        self.assertEqual(len(sent), len(head.headers))
        for absent in ('x-api-key', 'kv-hold', 'connection', 'x-hop'):
            self.assertNotIn(absent, sent)
        self.assertEqual('acme', sent['tenant'])
        self.assertEqual('2500', sent['deadline-ms'])
        self.assertEqual('i-7', sent['target-instance'])
        self.assertEqual('9', sent['request-priority'])
        self.assertEqual('10.0.0.1:80/h1', sent['kv-source'])
        self.assertEqual('2', sent['x-kept'])
        self.assertEqual('9c41', sent['attempt-id'])

    def test_a_call_without_an_attempt_is_none(self) -> None:
        self.assertIsNone(DIALECT.read_call(RequestHead('GET', '/', ())))

    def test_what_an_answer_says(self) -> None:
        full = ResponseHead(
            503, (('not-executed', '1'), ('server-load', '3,4,8'))
        )
        facts = DIALECT.read_answer(full)
        self.assertTrue(facts.is_not_run)
        self.assertEqual(7, facts.busy)
        other = DIALECT.read_answer(ResponseHead(421, ()))
        self.assertTrue(other.is_other_target and other.is_not_run)
        self.assertFalse(DIALECT.read_answer(ResponseHead(500, ())).is_not_run)


class RecordsTest(testtools.TestCase):
    def test_an_entry_of_the_registry(self) -> None:
        target = DIALECT.read_target('servers/i-7', json.dumps(ENTRY))
        assert target is not None
        self.assertEqual('i-7', target.target_id)
        self.assertIs(Phase.DECODE, target.phase)
        self.assertFalse(target.is_leaving)

    def test_entries_that_name_no_target(self) -> None:
        """Another writer puts nonsense under the targets' prefix.

        A reader that stopped at it would know no targets any more, and all
        callers would be turned away.
        """
        for change in (
            {'address': 7},
            {'address': 'nowhere'},
            {'slots': '64'},
            {'slots': True},
            {'state': 'confused'},
            {'service': None},
            {'zone': ''},
        ):
            text = json.dumps(ENTRY | change)
            self.assertIsNone(DIALECT.read_target('servers/i-7', text))
        for text in ('', 'null', '[]', '{', '{"slots": 1}'):
            self.assertIsNone(DIALECT.read_target('servers/i-7', text))

    def test_an_entry_with_a_phase_of_another_type(self) -> None:
        """Guards against a reader that one entry stops."""
        text = json.dumps(ENTRY | {'phase': ['decode']})
        target = DIALECT.read_target('servers/i-7', text)
        self.assertIs(Phase.ANY, target and target.phase)

    def test_an_unreadable_configuration_is_refused(self) -> None:
        for text in (
            '',
            '[]',
            '{"version": "7"}',
            '{"version": 1, "routes": 3}',
        ):
            self.assertRaises(
                ConfigurationError, DIALECT.read_configuration, text
            )

    def limited(self, **fields: object) -> FleetConfiguration:
        tenant = {'name': 'acme', 'api_keys': ['k'], **fields}
        return DIALECT.read_configuration(
            json.dumps({'version': 1, 'tenants': [tenant]})
        )

    def test_limits_of_organisations(self) -> None:
        tokens = self.limited(
            unit='token_stream', rate_per_s=500, burst=900, plain_tokens=200
        )
        self.assertEqual(
            {'acme': RateLimit(500, 900, LimitUnit.TOKENS, 200)},
            tokens.rate_limits,
        )
        calls = self.limited(rate_per_s=5)
        self.assertEqual({'acme': RateLimit(5, 5)}, calls.rate_limits)
        self.assertEqual({}, self.limited(rate_per_s=0, burst=3).rate_limits)
        self.assertEqual({}, self.limited().rate_limits)

    def test_limits_that_cannot_be_kept(self) -> None:
        """Guards against a limit that is dropped in silence."""
        for bad, field in (
            ({'rate_per_s': -1, 'burst': 1}, 'rate_per_s'),
            ({'rate_per_s': float('nan'), 'burst': 1}, 'rate_per_s'),
            ({'rate_per_s': 1, 'burst': float('inf')}, 'burst'),
            ({'rate_per_s': 1, 'burst': 0.1}, 'burst'),
            ({'rate_per_s': '9'}, 'rate_per_s'),
            ({'rate_per_s': 9, 'unit': 'bytes'}, 'unit'),
            ({'rate_per_s': 9, 'unit': ['token_stream']}, 'unit'),
            ({'rate_per_s': 10**400}, 'too large'),
        ):
            error = self.assertRaises(ConfigurationError, self.limited, **bad)
            self.assertIn('acme', str(error))
            self.assertIn(field, str(error))

    def test_an_organisation_that_is_listed_twice(self) -> None:
        """Guards against two limits of which one holds by chance."""
        text = json.dumps({'version': 1, 'tenants': [{'name': 'acme'}] * 2})
        error = self.assertRaises(
            ConfigurationError, DIALECT.read_configuration, text
        )
        self.assertIn("'acme' is listed twice", str(error))

    def test_a_configuration(self) -> None:
        route = {
            'name': 'r',
            'host': 'h.example',
            'path_prefix': '/a/',
            'kind': 'streaming',
            'timeout_ms': 4000,
            'service': 'lm',
        }
        longer = route | {'name': 'longer', 'path_prefix': '/a/b/'}
        text = json.dumps(
            {
                'version': 7,
                'routes': [route, longer],
                'services': [{'name': 'lm', 'max_connections': 3}],
                'tenants': [{'name': 'acme', 'api_keys': ['k']}],
            }
        )
        found = DIALECT.read_configuration(text)
        match = found.find_route('h.example', '/a/b/c')
        self.assertEqual('longer', match and match.name)
        self.assertIsNone(found.find_route('h.example', '/x/'))
        organisation = found.find_organisation('k')
        self.assertEqual('acme', organisation and organisation.name)
        self.assertIsNone(found.find_organisation('unknown'))
