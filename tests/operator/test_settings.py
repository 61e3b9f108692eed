"""Settings from options, environment variables and a file."""

import pathlib
import tempfile

from dandelionyoke_operator._exit_status import ExitStatus
from tests.operator.test_commands import ConsoleTestCase


class SettingsTest(ConsoleTestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, 'settings.ini')
        self.console.variables.clear()

    def _connects_to(self, url: str, *options: str) -> None:
        self._assert_result(
            self.console.run('show', *options), ExitStatus.SUCCESS
        )
        self.assertEqual(url, self.console.connected[-1])

    def test_options_override_variables_and_these_the_file(self) -> None:
        self.path.write_text('[operator]\nplatform_url = http://file\n')
        settings_option = ('--settings', str(self.path))
        self._connects_to('http://file', *settings_option)
        self.console.variables['DANDELIONYOKE_SETTINGS'] = str(self.path)
        self._connects_to('http://file')
        self.console.variables['DANDELIONYOKE_PLATFORM'] = 'http://variable'
        self._connects_to('http://variable', *settings_option)
        self._connects_to(
            'http://option', *settings_option, '--platform', 'http://option'
        )

    def test_an_invalid_setting_is_reported_with_a_remedy(self) -> None:
        """A settings file is invalid or missing, or an option has an invalid
        value. The command ends before it connects to anything.
        """
        for text, problem in (
            ('platform_url = x', 'cannot be read'),
            ('[entry]', 'no section [operator]'),
            ('[operator]\nplatform = x', 'platform is not a known setting'),
            ('[operator]\nwait_s = soon', "wait_s is 'soon'"),
            ('[operator]\nwait_s = -1', "wait_s is '-1'"),
        ):
            self.path.write_text(text)
            result = self.console.run('show', '--settings', str(self.path))
            self._assert_result(result, ExitStatus.USAGE, problem, 'remedy: ')
        for options in (
            ('--wait', 'x'),
            ('--format', 'yaml'),
            ('--since', 'monday'),
            ('--limit', '-3'),
            ('--colour', 'red'),
        ):
            result = self.console.run('history', '--platform', 'p', *options)
            self._assert_result(
                result, ExitStatus.USAGE, options[0], 'remedy: '
            )
        result = self.console.run('show', '--settings', 'nowhere.ini')
        self._assert_result(
            result, ExitStatus.USAGE, 'nowhere.ini cannot be read'
        )
        self.assertEqual(set(), set(self.console.connected) - {'p'})
