"""Runs the examples in the docs and compares their output with the docs."""

import contextlib
import io
import pathlib
import re
import shlex
import tempfile
from collections.abc import Iterator

import attrs
import testtools

from dandelionyoke_operator import parse_configuration
from dandelionyoke_operator._command_definitions import (
    COMMANDS,
    COMMON_OPTIONS,
)
from dandelionyoke_operator._exit_status import ExitStatus
from dandelionyoke_operator._options import SECTION_SCHEMAS
from dandelionyoke_operator._settings import load_settings
from tests.operator.support import OperatorConsole

DOCS = pathlib.Path(__file__).parents[2] / 'docs'
BLOCK = re.compile(r'^```(\w+) ?([^\n]*)\n(.*?)^```$', re.MULTILINE | re.DOTALL)
COMMAND = re.compile(r'^\$ dandelionyoke ([^\n]*)\n', re.MULTILINE)


@attrs.frozen
class Block:
    language: str
    arguments: list[str]
    text: str


def parse_blocks(page: str) -> Iterator[Block]:
    for language, arguments, text in BLOCK.findall((DOCS / page).read_text()):
        yield Block(language, arguments.split(), text)


def transcript_of(console: OperatorConsole, block: Block) -> str:
    """Run the commands of a block and return the expected text of the block."""
    console.platform.silent = set(block.arguments)
    written = []
    for line in COMMAND.findall(block.text):
        command, _, file = line.partition(' > ')
        result = console.run(*shlex.split(command))
        written.append(f'$ dandelionyoke {line}\n{result.errors}')
        if file:
            pathlib.Path(file).write_text(result.output)
        else:
            written.append(result.output)
    return ''.join(written)


def write_files(blocks: list[Block]) -> None:
    for block in blocks:
        name = block.text.partition('\n')[0].removeprefix('# ')
        if block.language == 'ini' and name.endswith('.ini'):
            pathlib.Path(name).write_text(block.text)


class CommandsPageTest(testtools.TestCase):
    def test_each_example_prints_the_documented_output(self) -> None:
        blocks = list(parse_blocks('COMMANDS.md'))
        console = OperatorConsole()
        with (
            tempfile.TemporaryDirectory() as folder,
            contextlib.chdir(folder),
        ):
            write_files(blocks)
            self.assertEqual('amina', load_settings('settings.ini', {}).author)
            for block in blocks:
                if block.language == 'console':
                    self.assertEqual(block.text, transcript_of(console, block))

    def test_each_command_option_and_exit_status_is_documented(self) -> None:
        page = (DOCS / 'COMMANDS.md').read_text()
        for command in COMMANDS:
            self.assertIn(f'\n## {command.name}', page)
            for option in (*command.options, *COMMON_OPTIONS):
                self.assertIn(f'--{option.name}', page)
        for status in ExitStatus:
            self.assertIn(f'| {status:d} | {status.name} |', page)


class ConfigurationPageTest(testtools.TestCase):
    def test_each_option_is_documented_with_its_default(self) -> None:
        page = (DOCS / 'CONFIGURATION.md').read_text()
        for schema in SECTION_SCHEMAS.values():
            _, _, section_text = page.partition(
                f'### `[{schema.section.value} '
            )
            table = section_text.partition('\n### ')[0]
            defaults = attrs.fields_dict(schema.entity_type)
            for option in schema.options:
                default = defaults[option.field].default
                has_default = default is not attrs.NOTHING
                text = option.value_type.format(default) if has_default else ''
                ending = f' | `{text}` |' if text else ' | |'
                row = re.search(f'^\\| `{option.name}` .*$', table, re.M)
                self.assertTrue(row and row.group().endswith(ending), option)

    def test_the_examples_are_valid(self) -> None:
        blocks = list(parse_blocks('CONFIGURATION.md'))
        (script,) = [each.text for each in blocks if each.language == 'python']
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(script, {})  # noqa: S102 - the page's own example
        first, second = [each.text for each in blocks if each.language == 'ini']
        self.assertEqual(second, printed.getvalue().rstrip('\n') + '\n')
        for text in (first, second):
            reparsed = str(parse_configuration(text))
            self.assertEqual(reparsed, str(parse_configuration(reparsed)))
