"""Valid and invalid settings files of an entry."""

import pathlib
import tempfile

import testtools

from dandelionyoke_core import SettingsError
from dandelionyoke_entry import ExitStatus, read_settings
from dandelionyoke_entry._command import run_program

SECRET = 'sixteen bytes or more'
VALID_SETTINGS = f"""\
[entry]
instance_id = entry-1
domain = kurasini

[platform]
url = http://127.0.0.1:7000

[peers]
secret = {SECRET}
"""


class SettingsTest(testtools.TestCase):
    def check(self, text: str) -> int:
        """Run the program with --check on a settings text."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = folder / 'entry.ini'
        file.write_text(text)
        return run_program(['--settings', str(file), '--check'])

    def test_valid_settings_pass_the_check(self) -> None:
        self.assertEqual(ExitStatus.OK, self.check(VALID_SETTINGS))
        self.assertEqual(0, read_settings(VALID_SETTINGS).callers.port)

    def test_every_mistake_comes_in_one_report(self) -> None:
        invalid = VALID_SETTINGS.replace('entry-1', 'no name!').replace(
            'http', 'ftp'
        )
        invalid = (
            invalid.replace(SECRET, 'short') + '\n[limits]\nmax_cals = 3\n'
        )
        self.assertEqual(ExitStatus.BAD_SETTINGS, self.check(invalid))
        raised = self.assertRaises(SettingsError, read_settings, invalid)
        for option in ('instance_id', 'url', 'secret', 'max_cals'):
            self.assertIn(option, str(raised))
        self.assertNotIn('short', str(raised))

    def test_each_option_rejects_invalid_values(self) -> None:
        for section, option, value in (
            ('entry', 'caller_address', 'nowhere'),
            ('entry', 'peer_address', '127.0.0.1:70000'),
            ('shutdown', 'balancer_notice_s', 'inf'),
            ('shutdown', 'balancer_notice_s', '-1'),
            ('limits', 'max_calls', '0'),
            ('limits', 'max_body_bytes', 'many'),
        ):
            extra = f'{option} = {value}\n'
            text = VALID_SETTINGS.replace('[entry]\n', f'[entry]\n{extra}')
            if section != 'entry':
                text = f'{VALID_SETTINGS}\n[{section}]\n{extra}'
            raised = self.assertRaises(SettingsError, read_settings, text)
            self.assertIn(f'[{section}] {option}', str(raised))

    def test_a_missing_file_and_invalid_ini_are_rejected(self) -> None:
        self.assertEqual(ExitStatus.BAD_SETTINGS, run_program([]))
        self.assertEqual(ExitStatus.BAD_SETTINGS, self.check('x = 1'))

    def test_the_secret_is_not_in_the_representation(self) -> None:
        self.assertNotIn(SECRET, repr(read_settings(VALID_SETTINGS)))
