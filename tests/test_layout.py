"""The lines between the packages."""

import ast
import pathlib
import re
from collections.abc import Iterator

import testtools

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ROOT / 'packages'
PLATFORM = ROOT / 'platform' / 'dandelionyoke_platform'

# The adapter names and formats; a large one would have begun to decide.
MOST_ADAPTER_LINES = 1000
# Names of the platform's wire that the project does not use for itself.
PLATFORM_WORDS = (
    'attempt-id',
    'deadline-ms',
    'duty-holder',
    'expected_rev',
    'fencing-token',
    'kv-backup',
    'kv-fetch',
    'kv-handle',
    'kv-hold',
    'kv-key',
    'kv-keep',
    'kv-lease',
    'kv-range',
    'kv-source',
    'kv-txn',
    'kv-watch',
    'kv_handle',
    'not-executed',
    'op/config',
    'prompt-prefix',
    'response-signature',
    'server-load',
    'serving-phase',
    'target-instance',
    'token-count',
    'weight-versions',
    'x-api-key',
)
DOING_IO = {
    'asyncio',
    'cbor2',
    'eventlet',
    'http',
    'io',
    'multiprocessing',
    'os',
    'pathlib',
    'select',
    'socket',
    'subprocess',
    'threading',
    'time',
    'urllib',
    'urllib3',
    'websockets',
}
STARTING_PROCESSES = {'multiprocessing', 'pexpect', 'pty', 'subprocess'}

# These parts of modules that do input or output do none themselves.
HARMLESS_NAMES = {'http': {'HTTPStatus'}}
HARMLESS_MODULES = {'urllib.parse'}


def imports_of(package: str) -> Iterator[tuple[str, str]]:
    """Yield each file of a package with each module that it imports."""
    for file in (PACKAGES / package).rglob('*.py'):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Import):
                for name in node.names:
                    yield str(file), name.name.partition('.')[0]
            if isinstance(node, ast.ImportFrom):
                module = str(node.module).partition('.')[0]
                names = {name.name for name in node.names}
                harmless = names <= HARMLESS_NAMES.get(module, set())
                if not harmless and node.module not in HARMLESS_MODULES:
                    yield str(file), module


class LayoutTest(testtools.TestCase):
    def test_the_core_does_no_input_or_output(self) -> None:
        for package in ('core', 'dispatch'):
            found = [one for one in imports_of(package) if one[1] in DOING_IO]
            self.assertEqual([], found)

    def test_the_platforms_words_stand_in_its_folder_only(self) -> None:
        for file in PACKAGES.rglob('*.py'):
            text = file.read_text().lower()
            found = [
                word
                for word in PLATFORM_WORDS
                if re.search(rf'(?<![\w-]){word}(?![\w-])', text)
            ]
            self.assertEqual([], found, str(file))

    def test_no_package_imports_the_platforms_folder(self) -> None:
        for package in PACKAGES.iterdir():
            found = [
                one
                for one in imports_of(package.name)
                if one[1] == 'dandelionyoke_platform'
            ]
            self.assertEqual([], found)

    def test_the_platforms_folder_stays_small(self) -> None:
        lines = sum(
            len(file.read_text().splitlines())
            for file in PLATFORM.rglob('*.py')
        )
        self.assertLess(lines, MOST_ADAPTER_LINES)

    def test_no_package_starts_a_process(self) -> None:
        for package in (
            'core',
            'links',
            'wire',
            'entry',
            'operator',
            'standins',
            'dispatch',
            'gateway',
        ):
            found = [
                one
                for one in imports_of(package)
                if one[1] in STARTING_PROCESSES
            ]
            self.assertEqual([], found)

    def test_dependencies_point_one_way(self) -> None:
        for package, unknown in (
            (
                'core',
                {
                    'links',
                    'dispatch',
                    'gateway',
                    'wire',
                    'entry',
                    'operator',
                    'standins',
                },
            ),
            (
                'links',
                {
                    'dispatch',
                    'gateway',
                    'wire',
                    'entry',
                    'operator',
                    'standins',
                },
            ),
            (
                'dispatch',
                {'links', 'gateway', 'wire', 'entry', 'operator', 'standins'},
            ),
            ('gateway', {'wire', 'entry', 'operator', 'standins'}),
            ('wire', {'entry', 'operator', 'standins'}),
            ('entry', {'operator', 'standins'}),
            ('operator', {'entry', 'standins'}),
            ('standins', {'wire', 'entry', 'operator'}),
        ):
            names = {f'dandelionyoke_{name}' for name in unknown}
            found = [one for one in imports_of(package) if one[1] in names]
            self.assertEqual([], found)
