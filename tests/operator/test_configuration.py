"""Configurations are printed, parsed and validated."""

import string
from collections.abc import Sequence

import testtools
from hypothesis import given, strategies as st

from dandelionyoke_core import Entity
from dandelionyoke_operator import (
    ApiKey,
    Configuration,
    ConfigurationMistakes,
    Mistake,
    Model,
    Organisation,
    Service,
    ServiceKind,
    parse_configuration,
)

NAMES = st.from_regex('[a-z][a-z0-9.-]{0,20}', fullmatch=True)
HASHES = st.text('0123456789abcdef', min_size=64, max_size=64)
LABELS = st.text(max_size=30).filter(
    lambda text: text == text.strip() and text.isprintable()
)
PATHS = st.text(string.ascii_letters + '-_/', max_size=12)
CALLS = st.builds(
    lambda method, path, star: f'{method} /{path}{star}',
    st.sampled_from(['POST', 'PUT', 'DELETE']),
    PATHS,
    st.sampled_from(['', '*']),
)
SHARES = st.floats(0, 1)
COUNTS = st.integers(1, 10**6)


def _organisations(name: str) -> st.SearchStrategy[Organisation]:
    return st.builds(
        Organisation,
        st.just(name),
        priority=st.integers(0, 9),
        weight=COUNTS,
        tokens_per_s=COUNTS,
        requests_per_s=st.floats(0.001, 1e9),
        concurrent_requests=COUNTS,
        knowledge_age_limit_s=st.none() | st.floats(1, 1e9),
    )


def _services(name: str) -> st.SearchStrategy[Service]:
    return st.builds(
        Service,
        st.just(name),
        kind=st.sampled_from(ServiceKind),
        reclaimable_share=SHARES,
        min_targets=st.integers(0, 5),
        max_targets=st.integers(5, 99),
        unrepeatable=st.lists(CALLS, max_size=4, unique=True).map(tuple),
    )


def _tuple_of(parts: Sequence[st.SearchStrategy[Entity]]) -> st.SearchStrategy:
    return st.tuples(*parts)


@st.composite
def configurations(draw: st.DrawFn) -> Configuration:
    names = st.lists(NAMES, min_size=1, max_size=3, unique=True)
    organisations, services = draw(names), draw(names)
    service_entities = draw(_tuple_of([_services(name) for name in services]))
    models = [
        Model(
            name,
            draw(st.sampled_from(services)),
            version=draw(NAMES),
            adapters=tuple(draw(st.lists(NAMES, max_size=3, unique=True))),
            context_tokens=draw(COUNTS),
        )
        for name in draw(names)
    ]
    keys = [
        ApiKey(key_hash, draw(st.sampled_from(organisations)), draw(LABELS))
        for key_hash in draw(st.lists(HASHES, max_size=3, unique=True))
    ]
    organisation_entities = draw(
        _tuple_of([_organisations(name) for name in organisations])
    )
    base = draw(st.none() | st.integers(0, 10**9))
    return Configuration(
        (*organisation_entities, *keys, *service_entities, *models), base
    )


LINES = st.sampled_from(
    [
        '',
        '# a comment',
        '[organisation a]',
        '[service s]',
        '[organisation a]]',
        '[key ' + '0' * 64 + ']',
        '[]',
        '  [model m]',
        'priority = 5',
        'priority',
        '= 5',
        'organisation = a',
        'unrepeatable =',
        '    POST /a',
        '    # POST /b',
        '\tPUT /b',
        'label = x\r',
        '[configuration]',
        'base_revision = 3',
        '\x0c',
    ]
)


class RoundTripTest(testtools.TestCase):
    @given(configurations())
    def test_a_printed_configuration_parses_to_an_equal_one(
        self, configuration: Configuration
    ) -> None:
        text = str(configuration)
        reparsed = parse_configuration(text)
        self.assertEqual(configuration, reparsed)
        self.assertEqual(text, str(reparsed))

    @given(st.lists(LINES | st.text(max_size=12), max_size=12).map('\n'.join))
    def test_any_text_parses_or_fails_with_mistakes(self, text: str) -> None:
        """Any text, as when an operator passes the wrong file, either fails
        with a list of mistakes or parses to a configuration that round-trips.
        """
        try:
            configuration = parse_configuration(text)
        except ConfigurationMistakes as caught:
            self.assertNotEqual((), caught.mistakes)
            return
        reparsed = parse_configuration(str(configuration))
        self.assertEqual(configuration, reparsed)

    def test_order_and_comments_do_not_matter(self) -> None:
        text = (
            '# evening shift\n[service s]\nunrepeatable =\n'
            '    POST /a\n    # credits too\n    PUT /b/*\n'
            '[organisation o]\npriority=7\n'
        )
        built = Configuration.of(
            Organisation('o', priority=7),
            Service('s', unrepeatable=('POST /a', 'PUT /b/*')),
        )
        self.assertEqual(built, parse_configuration(text))


class MistakesTest(testtools.TestCase):
    def _mistakes(self, text: str) -> tuple[Mistake, ...]:
        caught = self.assertRaises(
            ConfigurationMistakes, parse_configuration, text
        )
        for mistake in caught.mistakes:
            self.assertIn(str(mistake), str(caught))
        return caught.mistakes

    def test_all_syntax_errors_come_in_one_report(self) -> None:
        """A file has mistakes of every kind. One report lists them all, so
        that they can be corrected together.
        """
        text = (
            'stray\n[organisation a]\npriority = five\nWeight = 2\n'
            '[organisation a]\n[model m]\nversion = 1\nversion = 2\n'
            '[shop x]\n[DEFAULT]\nweight = 9\n[configuration]\n'
            'base_revision = x\n[service s]\nkind = both\n'
            'reclaimable_share = nan\n[key]\n'
        )
        places = {
            (mistake.section, mistake.option): mistake.remedy
            for mistake in self._mistakes(text)
        }
        self.assertEqual(
            {
                ('', 'line 1'),
                ('organisation a', ''),
                ('organisation a', 'priority'),
                ('organisation a', 'Weight'),
                ('model m', 'version'),
                ('model m', 'service'),
                ('shop x', ''),
                ('DEFAULT', ''),
                ('configuration', 'base_revision'),
                ('service s', 'kind'),
                ('service s', 'reclaimable_share'),
                ('key', ''),
            },
            set(places),
        )
        self.assertEqual(
            'Write a whole number from 0 (lowest) to 9',
            places['organisation a', 'priority'],
        )
        self.assertEqual('Write weight', places['organisation a', 'Weight'])

    def test_a_key_in_place_of_its_hash_is_redacted(self) -> None:
        """A file contains a key in place of its hash. The report identifies
        the section by the first characters only, so as not to leak the key.
        """
        key = 'dy-9rTzQm4vXw2LkPb7'
        text = f'[organisation o]\n[key {key}]\nfor = o\n[key {key}]\n'
        mistakes = self._mistakes(f'{text}\norganisation = x\n')
        self.assertNotIn(key, str(mistakes))
        self.assertEqual({'key dy-9rTzQ...'}, {one.section for one in mistakes})
        (mistake,) = self._mistakes(
            text.replace('for', 'organisation', 1).rpartition('[')[0]
        )
        self.assertIn('never the key itself', mistake.remedy)

    def test_invalid_objects_are_rejected_like_an_invalid_file(self) -> None:
        """A configuration is built in Python with values that a file cannot
        represent. It is rejected on construction, before it can be printed.
        """
        caught = self.assertRaises(
            ConfigurationMistakes,
            Configuration.of,
            Organisation('a b', priority='high'),
            Organisation('o', weight=True),
            Organisation('o'),
            Service('s', unrepeatable=['POST /a']),
            ApiKey('0' * 64, 'o', label='two\nlines'),
        )
        places = {(each.section, each.option) for each in caught.mistakes}
        self.assertEqual(
            {
                ('organisation a b', ''),
                ('organisation a b', 'priority'),
                ('organisation o', 'weight'),
                ('organisation o', ''),
                ('service s', 'unrepeatable'),
                ('key ' + '0' * 64, 'label'),
            },
            places,
        )
