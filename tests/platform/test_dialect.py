"""Parsing and building of the platform's headers and documents."""

import json
import pathlib

import testtools

from dandelionyoke_dispatch import (
    ConfigurationError,
    FleetConfiguration,
    LimitUnit,
    LoadReport,
    Phase,
    PromptPart,
    RateLimit,
    RegisteredTarget,
)
from dandelionyoke_gateway import (
    CacheSource,
    Forwarding,
    RequestHead,
    ResponseFacts,
    ResponseHead,
)
from dandelionyoke_platform import _wire_names
from dandelionyoke_platform._dialect import PlatformDialect

ROOT = pathlib.Path(__file__).parent.parent.parent
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
REGISTRY_ENTRY = {
    'service': 'lm',
    'address': '10.0.0.9:8080',
    'zone': 'limon-a',
    'version': 'v1.2',
    'slots': 64,
    'state': 'ready',
    'phase': 'decode',
    'seq': 4,
    'born': 17,
}


ENGINE = RegisteredTarget('i-1', 'lm', '10.0.0.1:80', 'a', 8, False)


class NoticeTest(testtools.TestCase):
    def read(self, status: int, *headers: tuple[str, str]) -> ResponseFacts:
        """Read the facts from the head of a response."""
        return DIALECT.read_response(ResponseHead(status, headers))

    def test_a_target_that_leaves_is_told(self) -> None:
        """Guards against a leaving target that goes on getting calls."""
        for status in (200, 421, 500, 503, 504):
            facts = self.read(status, ('server-leaving', '1'))
            self.assertTrue(facts.is_leaving)
        for text in ('0', '', 'no'):
            facts = self.read(200, ('server-leaving', text))
            self.assertFalse(facts.is_leaving)
        self.assertFalse(self.read(200).is_leaving)

    def test_the_rest_that_a_target_asks_for_is_read(self) -> None:
        """Guards against a target in need that goes on getting calls."""
        for text, rest_s in (('3', 3.0), ('0.25', 0.25), ('0', 0.0)):
            facts = self.read(503, ('retry-after', text))
            self.assertEqual((rest_s, ''), (facts.rest_s, facts.invalid_rest))
        facts = self.read(503, ('retry-after', '1'), ('retry-after', '2.5'))
        self.assertEqual(2.5, facts.rest_s)
        self.assertIsNone(self.read(200, ('retry-after', '3')).rest_s)
        self.assertIsNone(self.read(503).rest_s)

    def test_a_rest_that_is_no_number_is_told_apart(self) -> None:
        """Guards against a rest that is lost without a trace."""
        date = 'Fri, 04 Dec 2026 00:00:00 GMT'
        for text in ('-1', 'soon', '', 'inf', 'nan', '1e9', date, '9' * 16):
            facts = self.read(503, ('retry-after', text))
            self.assertIsNone(facts.rest_s)
            self.assertEqual(text, facts.invalid_rest)


class HeaderTableTest(testtools.TestCase):
    """The table of headers in docs/PLATFORM.md."""

    def rows(self) -> list[list[str]]:
        text = (ROOT / 'docs' / 'PLATFORM.md').read_text()
        _, _, section = text.partition("## Headers of a target's answers")
        table = section.partition('## ')[0]
        lines = [line for line in table.splitlines() if line.startswith('| `')]
        return [
            [cell.strip() for cell in line.strip('|').split(' | ')]
            for line in lines
        ]

    def test_each_header_of_an_answer_is_read_or_left_for_a_reason(
        self,
    ) -> None:
        """Guards against a header of an answer that nobody takes."""
        constants = {
            value: name
            for name, value in vars(_wire_names).items()
            if name.isupper() and isinstance(value, str)
        }
        self.assertGreaterEqual(len(self.rows()), 12)
        for name, place, action in self.rows():
            header = name.strip('`').lower()
            self.assertNotEqual('', action)
            if place == 'nobody':
                continue
            source = (ROOT / place.strip('`')).read_text()
            # The adapter spells names as constants, others in place.
            constant = f'wire.{constants.get(header)}'
            is_read = constant in source or f"'{header}'" in source
            self.assertTrue(is_read, f'{place} does not read {header}')


class TargetLimitTest(testtools.TestCase):
    def read(self, *texts: str) -> tuple[float | None, str]:
        """Read the limit from the head of a response."""
        headers = tuple(('server-limit', text) for text in texts)
        facts = DIALECT.read_response(ResponseHead(200, headers))
        return facts.limit_per_s, facts.invalid_limit

    def test_the_limit_of_a_target_is_read(self) -> None:
        """Guards against a target whose limit no node knows."""
        self.assertEqual((2.7, ''), self.read('2.7'))
        self.assertEqual((0.25, ''), self.read(' 0.25 '))
        self.assertEqual((3.0, ''), self.read('3'))
        self.assertEqual((0.0, ''), self.read('0'))
        self.assertEqual((None, ''), self.read())
        self.assertEqual((1.5, ''), self.read('2', '1.5'))

    def test_a_limit_that_is_no_number_is_told_apart(self) -> None:
        """Guards against a limit that is lost without a trace."""
        for text in (
            '',
            'nan',
            'inf',
            '-1',
            '1e3',
            '1_0',
            '1,5',
            '٣',
            '9' * 40,
        ):
            self.assertEqual((None, text), self.read(text))
        self.assertEqual((None, '2, many'), self.read('2', 'many'))


class CallTest(testtools.TestCase):
    def test_a_call_head_is_parsed(self) -> None:
        call = DIALECT.read_call(HEAD)
        assert call is not None and call.prompt is not None
        self.assertEqual('ficu95.example', call.host)
        self.assertEqual('/lohu930/2f', call.path)
        self.assertEqual(6.0, call.time_left_s)
        self.assertEqual(PromptPart('91bd', 410), call.prompt.parts[1])
        self.assertEqual('91bd', call.prompt.shared_key)

    def test_the_repr_of_a_call_does_not_contain_the_key(self) -> None:
        self.assertNotIn('secret-key', repr(DIALECT.read_call(HEAD)))

    def test_the_key_and_forged_headers_are_not_forwarded(self) -> None:
        """A caller sends headers that only the system may set.

        If they were forwarded, its call would run for another organisation or
        use a cache reservation of another call.
        """
        forwarding = Forwarding(
            'i-7',
            2.5,
            organisation='acme',
            priority=12,
            cache=CacheSource(ENGINE, 'h1'),
            last_event_id='3',
        )
        head = DIALECT.call_head(HEAD, forwarding)
        sent_headers = dict(head.headers)
        self.assertEqual(len(sent_headers), len(head.headers))
        for name in ('x-api-key', 'kv-hold', 'connection', 'x-hop'):
            self.assertNotIn(name, sent_headers)
        self.assertEqual('acme', sent_headers['tenant'])
        self.assertEqual('2500', sent_headers['deadline-ms'])
        self.assertEqual('i-7', sent_headers['target-instance'])
        self.assertEqual('9', sent_headers['request-priority'])
        self.assertEqual('10.0.0.1:80/h1', sent_headers['kv-source'])
        self.assertEqual('2', sent_headers['x-kept'])
        self.assertEqual('9c41', sent_headers['attempt-id'])

    def test_a_call_without_an_attempt_id_is_none(self) -> None:
        self.assertIsNone(DIALECT.read_call(RequestHead('GET', '/', ())))

    def test_a_response_head_is_parsed(self) -> None:
        overloaded = ResponseHead(
            503, (('not-executed', '1'), ('server-load', '3,4,8'))
        )
        facts = DIALECT.read_response(overloaded)
        self.assertTrue(facts.is_not_run)
        self.assertEqual(7, facts.busy)
        misdirected = DIALECT.read_response(ResponseHead(421, ()))
        self.assertTrue(misdirected.is_misdirected and misdirected.is_not_run)
        self.assertFalse(
            DIALECT.read_response(ResponseHead(500, ())).is_not_run
        )


class DocumentTest(testtools.TestCase):
    def test_a_registry_entry_is_parsed(self) -> None:
        target = DIALECT.read_target('servers/i-7', json.dumps(REGISTRY_ENTRY))
        assert target is not None
        self.assertEqual('i-7', target.target_id)
        self.assertIs(Phase.DECODE, target.phase)
        self.assertFalse(target.is_leaving)
        self.assertEqual('v1.2', target.version)

    def test_invalid_registry_entries_are_none(self) -> None:
        """Something else writes invalid values under the targets' prefix.

        If reading stopped there, the node would know no targets and refuse
        all calls.
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
            text = json.dumps(REGISTRY_ENTRY | change)
            self.assertIsNone(DIALECT.read_target('servers/i-7', text))
        for text in ('', 'null', '[]', '{', '{"slots": 1}'):
            self.assertIsNone(DIALECT.read_target('servers/i-7', text))

    def test_an_address_needs_a_port_that_can_be_connected_to(self) -> None:
        """Guards against calls that end without an answer."""
        for port in ('\xb2', '0', '65536', '1' * 5000):
            change = {'address': f'10.0.0.9:{port}'}
            text = json.dumps(REGISTRY_ENTRY | change)
            self.assertIsNone(DIALECT.read_target('servers/i-7', text))

    def test_a_phase_of_the_wrong_type_is_ignored(self) -> None:
        """Guards against one invalid entry stopping the reader."""
        text = json.dumps(REGISTRY_ENTRY | {'phase': ['decode']})
        target = DIALECT.read_target('servers/i-7', text)
        self.assertIs(Phase.ANY, target and target.phase)

    def test_an_invalid_configuration_is_an_error(self) -> None:
        for text in (
            '',
            '[]',
            '{"version": "7"}',
            '{"version": 1, "routes": 3}',
        ):
            self.assertRaises(
                ConfigurationError, DIALECT.read_configuration, text
            )

    def test_a_wrong_type_is_an_error_that_names_the_field(self) -> None:
        """Guards against the end of the task that reads configurations.

        After an error of another kind it would apply none any more, also no
        configuration that revokes a key.
        """
        route = {
            'name': 'r',
            'host': 'h.example',
            'path_prefix': '/a/',
            'kind': 'streaming',
            'timeout_ms': 4000,
            'service': 'lm',
        }
        for section, item, name, values in (
            ('services', {'name': 'lm'}, 'engine', (5, [1], 'x', 0, '')),
            ('services', {'name': 'lm'}, 'scaling', (5, [1], 'x', 0, [])),
            ('routes', route, 'traffic_split', (5, 'x', {}, [5], 0, '')),
            ('routes', route, 'anonymous', (5, 'false', [1], {}, 0)),
            ('routes', route, 'allow_resume', (5, 'false', [1], {}, 0)),
            ('tenants', {'name': 'acme'}, 'api_keys', (5, {'k': 1}, 0, '')),
            ('tenants', {'name': 'acme'}, 'api_keys', ([5], [None], [''])),
        ):
            for value in values:
                error = self.read_invalid(**{section: [item | {name: value}]})
                self.assertIn(f'{section}[0]: {name} ', error)
        for name in ('routes', 'services', 'tenants'):
            for value in (5, 'x', {}, [5], 0, ''):
                self.assertIn(f'{name} ', self.read_invalid(**{name: value}))
        for value in (5, [1], 'x', 0, ''):
            self.assertIn('limits is not', self.read_invalid(limits=value))
            scaling = {'name': 'lm', 'scaling': {'zone_prices': value}}
            self.assertIn(
                'services[0]: scaling: zone_prices is not an object',
                self.read_invalid(services=[scaling]),
            )

    def test_a_text_of_keys_is_not_read_as_one_key_per_letter(self) -> None:
        """Guards against keys of one letter that anybody can guess."""
        error = self.read_invalid(tenants=[{'name': 'a', 'api_keys': 'xy'}])
        self.assertEqual('tenants[0]: api_keys is not a list', error)

    def test_a_number_that_is_not_finite_is_an_error(self) -> None:
        """Guards against timeouts that never end and calls that are faults."""
        for number in (float('nan'), float('inf'), 10**400):
            for name in ('header_timeout_ms', 'idle_timeout_ms'):
                error = self.read_invalid(limits={name: number})
                self.assertIn(f'limits: {name} is ', error)

    def test_missing_and_null_fields_are_left_out(self) -> None:
        nulls = dict.fromkeys(('routes', 'services', 'limits'))
        text = json.dumps({'version': 1, **nulls})
        self.assertEqual(
            DIALECT.read_configuration('{"version": 1}'),
            DIALECT.read_configuration(text),
        )

    def read_invalid(self, **fields: object) -> str:
        """Read an invalid configuration; return the error."""
        text = json.dumps({'version': 1, **fields})
        return str(
            self.assertRaises(
                ConfigurationError, DIALECT.read_configuration, text
            )
        )

    def read_limited(self, **fields: object) -> FleetConfiguration:
        tenant = {'name': 'acme', 'api_keys': ['k'], **fields}
        return DIALECT.read_configuration(
            json.dumps({'version': 1, 'tenants': [tenant]})
        )

    def test_rate_limits_are_parsed(self) -> None:
        tokens = self.read_limited(
            unit='token_stream', rate_per_s=500, burst=900, plain_tokens=200
        )
        self.assertEqual(
            {'acme': RateLimit(500, 900, LimitUnit.TOKENS, 200)},
            tokens.rate_limits,
        )
        calls = self.read_limited(rate_per_s=5)
        self.assertEqual({'acme': RateLimit(5, 5)}, calls.rate_limits)
        self.assertEqual(
            {}, self.read_limited(rate_per_s=0, burst=3).rate_limits
        )
        self.assertEqual({}, self.read_limited().rate_limits)

    def test_invalid_rate_limits_are_errors(self) -> None:
        """Guards against silently ignoring a limit."""
        for invalid_fields, expected_text in (
            ({'rate_per_s': -1, 'burst': 1}, 'rate_per_s'),
            ({'rate_per_s': float('nan'), 'burst': 1}, 'rate_per_s'),
            ({'rate_per_s': 1, 'burst': float('inf')}, 'burst'),
            ({'rate_per_s': 1, 'burst': 0.1}, 'burst'),
            ({'rate_per_s': '9'}, 'rate_per_s'),
            ({'rate_per_s': 9, 'unit': 'bytes'}, 'unit'),
            ({'rate_per_s': 9, 'unit': ['token_stream']}, 'unit'),
            ({'rate_per_s': 10**400}, 'too large'),
        ):
            error = self.assertRaises(
                ConfigurationError, self.read_limited, **invalid_fields
            )
            self.assertIn('acme', str(error))
            self.assertIn(expected_text, str(error))

    def test_an_organisation_listed_twice_is_an_error(self) -> None:
        """Guards against two limits of which one applies by chance."""
        text = json.dumps({'version': 1, 'tenants': [{'name': 'acme'}] * 2})
        error = self.assertRaises(
            ConfigurationError, DIALECT.read_configuration, text
        )
        self.assertIn("'acme' is listed twice", str(error))

    def test_a_configuration_is_parsed(self) -> None:
        route = {
            'name': 'r',
            'host': 'h.example',
            'path_prefix': '/a/',
            'kind': 'streaming',
            'timeout_ms': 4000,
            'service': 'lm',
        }
        longer_route = route | {'name': 'longer', 'path_prefix': '/a/b/'}
        text = json.dumps(
            {
                'version': 7,
                'routes': [route, longer_route],
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


class LoadReportTest(testtools.TestCase):
    def read(self, text: str) -> ResponseFacts:
        head = ResponseHead(200, (('server-load', text),))
        return DIALECT.read_response(head)

    def test_a_report_may_tell_how_slow_the_target_is(self) -> None:
        """Guards against losing the whole report for one more figure."""
        facts = self.read('3,4,8,150')
        self.assertEqual(LoadReport(3, 4, 8, 1.5), facts.load)
        self.assertEqual(7, facts.busy)
        self.assertIsNone(LoadReport(3, 4, 8).slowness)

    def test_an_odd_report_is_left_out_with_its_reason(self) -> None:
        """Guards against figures that no target can have."""
        for text in ('', '3,4', '3,4,8,100,1', '3,x,8', '-3,4,8', '3,4,0'):
            facts = self.read(text)
            self.assertIsNone(facts.load, text)
            self.assertTrue(facts.invalid_load, text)
        for text in ('3,4,8,0', '3,4,8,99999', '99999999,4,8'):
            self.assertIn(text, self.read(text).invalid_load)

    def test_an_answer_without_a_report_is_nothing_odd(self) -> None:
        """Guards against a log line for each answer of a silent service."""
        facts = DIALECT.read_response(ResponseHead(200, ()))
        self.assertIsNone(facts.load)
        self.assertEqual('', facts.invalid_load)
