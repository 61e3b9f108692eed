"""Rules on imports between the packages and on the platform adapter."""

import ast
import pathlib
import re
from collections.abc import Iterator

import testtools

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ROOT / 'packages'
PLATFORM = ROOT / 'platform' / 'dandelionyoke_platform'

# The adapter only translates names and formats; a larger one would contain
# decisions.
MAX_ADAPTER_LINES = 1000
# Names of the platform's protocols that the project itself does not use.
PLATFORM_WIRE_NAMES = (
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
IO_MODULES = {
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
PROCESS_MODULES = {'multiprocessing', 'pexpect', 'pty', 'subprocess'}

# Parts of I/O modules that do no I/O themselves.
ALLOWED_NAMES = {'http': {'HTTPStatus'}}
ALLOWED_MODULES = {'urllib.parse'}


def imports_of(package: str) -> Iterator[tuple[str, str]]:
    """Yield pairs of a file of the package and a module that it imports."""
    for file in (PACKAGES / package).rglob('*.py'):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Import):
                for name in node.names:
                    yield str(file), name.name.partition('.')[0]
            if isinstance(node, ast.ImportFrom):
                module = str(node.module).partition('.')[0]
                names = {name.name for name in node.names}
                is_allowed = names <= ALLOWED_NAMES.get(module, set())
                if not is_allowed and node.module not in ALLOWED_MODULES:
                    yield str(file), module


class LayoutTest(testtools.TestCase):
    def test_the_core_does_no_input_or_output(self) -> None:
        for package in ('core', 'dispatch'):
            violations = [
                item for item in imports_of(package) if item[1] in IO_MODULES
            ]
            self.assertEqual([], violations)

    def test_platform_wire_names_occur_only_in_the_adapter(self) -> None:
        for file in PACKAGES.rglob('*.py'):
            text = file.read_text().lower()
            violations = [
                wire_name
                for wire_name in PLATFORM_WIRE_NAMES
                if re.search(rf'(?<![\w-]){wire_name}(?![\w-])', text)
            ]
            self.assertEqual([], violations, str(file))

    def test_no_package_imports_the_platform_adapter(self) -> None:
        for package in PACKAGES.iterdir():
            violations = [
                item
                for item in imports_of(package.name)
                if item[1] == 'dandelionyoke_platform'
            ]
            self.assertEqual([], violations)

    def test_the_platform_adapter_stays_small(self) -> None:
        lines = sum(
            len(file.read_text().splitlines())
            for file in PLATFORM.rglob('*.py')
        )
        self.assertLess(lines, MAX_ADAPTER_LINES)

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
            violations = [
                item
                for item in imports_of(package)
                if item[1] in PROCESS_MODULES
            ]
            self.assertEqual([], violations)

    def test_packages_depend_only_on_lower_layers(self) -> None:
        for package, forbidden in (
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
            names = {f'dandelionyoke_{name}' for name in forbidden}
            violations = [
                item for item in imports_of(package) if item[1] in names
            ]
            self.assertEqual([], violations)
