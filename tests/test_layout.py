"""The lines between the packages."""

import ast
import pathlib
from collections.abc import Iterator

import testtools

PACKAGES = pathlib.Path(__file__).parent.parent / 'packages'
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
        found = [one for one in imports_of('core') if one[1] in DOING_IO]
        self.assertEqual([], found)

    def test_no_package_starts_a_process(self) -> None:
        for package in ('core', 'wire', 'entry', 'operator', 'standins'):
            found = [
                one
                for one in imports_of(package)
                if one[1] in STARTING_PROCESSES
            ]
            self.assertEqual([], found)

    def test_dependencies_point_one_way(self) -> None:
        for package, unknown in (
            ('core', {'wire', 'entry', 'operator', 'standins'}),
            ('wire', {'entry', 'operator', 'standins'}),
            ('entry', {'operator', 'standins'}),
            ('operator', {'entry', 'standins'}),
            ('standins', {'wire', 'entry', 'operator'}),
        ):
            names = {f'dandelionyoke_{name}' for name in unknown}
            found = [one for one in imports_of(package) if one[1] in names]
            self.assertEqual([], found)
