"""The settings of a gateway, checked as a whole."""

import pathlib

import testtools

from dandelionyoke_core import SettingsError
from dandelionyoke_gateway import read_settings

TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'settings.ini'


def filled(**options: str) -> str:
    """Fill the template in, each placeholder with a value that fits."""
    lines = []
    for line in TEMPLATE.read_text().splitlines():
        name, _, rest = line.partition(' = ')
        if rest:
            given = 'n-1' if name in {'instance_id', 'domain'} else '4'
            if name.endswith('address') or name == 'address':
                given = '10.0.0.1:80'
            line = f'{name} = {options.get(name, given)}'
        lines.append(line)
    return '\n'.join(lines)


class SettingsTest(testtools.TestCase):
    def test_the_template_has_all_options(self) -> None:
        """Guards against a template that leaves an option to its default."""
        settings = read_settings(filled(processors='3', processor_share='0.7'))
        self.assertEqual(
            (3, 0.7), (settings.processors, settings.processor_share)
        )

    def test_a_wrong_processor_share_is_named(self) -> None:
        """Guards against a node that ranks itself by nonsense."""
        raised = self.assertRaises(
            SettingsError, read_settings, filled(processor_share='much')
        )
        self.assertIn('processor_share', str(raised))

    def test_one_whole_processor_is_the_default(self) -> None:
        settings = read_settings(filled(processors='', processor_share=''))
        self.assertEqual(
            (1, 1), (settings.processors, settings.processor_share)
        )
