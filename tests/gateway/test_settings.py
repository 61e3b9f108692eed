"""Tests of reading and validating the gateway settings."""

import pathlib

import testtools

from dandelionyoke_core import SettingsError
from dandelionyoke_gateway import read_settings

TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'settings.ini'


def fill_template(**options: str) -> str:
    """Fill each placeholder of the template with a valid value."""
    lines = []
    for line in TEMPLATE.read_text().splitlines():
        name, _, placeholder = line.partition(' = ')
        if placeholder:
            value = 'n-1' if name in {'instance_id', 'domain'} else '4'
            if name.endswith('address') or name == 'address':
                value = '10.0.0.1:80'
            line = f'{name} = {options.get(name, value)}'
        lines.append(line)
    return '\n'.join(lines)


class SettingsTest(testtools.TestCase):
    def test_the_template_has_all_options(self) -> None:
        """Guards against an option that is missing from the template."""
        settings = read_settings(
            fill_template(processors='3', processor_share='0.7')
        )
        self.assertEqual(
            (3, 0.7), (settings.processors, settings.processor_share)
        )

    def test_an_invalid_processor_share_is_named_in_the_error(self) -> None:
        """Guards against a node that ranks itself by an invalid capacity."""
        error = self.assertRaises(
            SettingsError, read_settings, fill_template(processor_share='much')
        )
        self.assertIn('processor_share', str(error))

    def test_a_number_that_is_not_finite_is_named_in_the_error(self) -> None:
        """Guards against a bound on revoked keys that never ends."""
        for option in ('revocation_ms', 'retry_extra', 'processor_share'):
            for number in ('nan', 'inf', '1e400'):
                error = self.assertRaises(
                    SettingsError,
                    read_settings,
                    fill_template(**{option: number}),
                )
                self.assertIn(f"{option} = '{number}'", str(error))
                self.assertIn('must be finite', str(error))

    def test_the_default_is_one_full_processor(self) -> None:
        settings = read_settings(
            fill_template(processors='', processor_share='')
        )
        self.assertEqual(
            (1, 1), (settings.processors, settings.processor_share)
        )

    def test_a_feature_of_the_deployment_asks_for_balancing(self) -> None:
        """Guards against new decisions at deployments that don't ask."""
        for features, is_asked in (
            ('base, room', True),
            ('', False),
            ('base,stream', False),
        ):
            settings = read_settings(
                fill_template(features=features, capacity_feature='room')
            )
            self.assertIs(is_asked, settings.balances_by_capacity, features)
        unset = read_settings(
            fill_template(features='base', capacity_feature='')
        )
        self.assertFalse(unset.balances_by_capacity)

    def test_an_empty_feature_is_named_in_the_error(self) -> None:
        error = self.assertRaises(
            SettingsError, read_settings, fill_template(features='base,,x')
        )
        self.assertIn('[balancing] features', str(error))

    def test_a_flag_is_yes_or_no(self) -> None:
        """Guards against engines planned by need where nobody asked."""
        filled = fill_template()
        for text, is_asked in (('yes', True), ('no', False), ('', False)):
            settings = read_settings(
                filled.replace(
                    '[balancing]', f'[balancing]\nplans_by_need = {text}'
                )
            )
            self.assertIs(is_asked, settings.plans_by_need, text)
        error = self.assertRaises(
            SettingsError,
            read_settings,
            filled.replace('[balancing]', '[balancing]\nplans_by_need = 1'),
        )
        self.assertIn('must be yes or no', str(error))
