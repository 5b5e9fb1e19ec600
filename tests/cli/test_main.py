"""The command as a newcomer meets it: help, version, and what is wrong said in one line."""

import subprocess
import sys
import unittest

from dewledge.cli.main import COMMANDS, LazyCommands
from tests.cli.stub_proxy import run_command

HEAVY_MODULES = ("pydantic", "rich", "urllib3", "yaml", "cbor2", "loguru")


class MainTest(unittest.TestCase):
    def test_help_lists_every_installed_command(self) -> None:
        result = run_command("--help")
        self.assertEqual(result.exit_code, 0)
        for name in LazyCommands(name="dewledge").list_commands(None):
            with self.subTest(name=name):
                self.assertRegex(result.output, rf"(?m)^  {name} +\w")

    def test_every_installed_command_has_help(self) -> None:
        for name in LazyCommands(name="dewledge").list_commands(None):
            with self.subTest(name=name):
                result = run_command(name, "--help")
                self.assertEqual(result.exit_code, 0)
                self.assertIn("Usage: dewledge", result.output)

    def test_help_is_plain_text_and_not_cut_short(self) -> None:
        self.assertNotIn("...\n", run_command("--help").output.partition("Commands:")[2])
        names = [[name] for name in LazyCommands(name="dewledge").list_commands(None)]
        standins = [["standin", name] for name in ("platform", "group", "resources")]
        for arguments in (*names, *standins):
            with self.subTest(arguments=arguments):
                result = run_command(*arguments, "--help")
                self.assertEqual(result.exit_code, 0)
                self.assertTrue(result.output.isascii())
                self.assertNotIn("completion", result.output)

    def test_version(self) -> None:
        self.assertRegex(run_command("--version").output, r"^dewledge \d+\.\d+\.\d+\n$")

    def test_what_is_not_there_is_bad_input(self) -> None:
        for arguments in (["nothing"], ["apply"], ["status", "--nothing"], ["get", "pods"]):
            with self.subTest(arguments=arguments):
                result = run_command(*arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertTrue(result.errors)

    def test_a_withdrawn_command_names_the_page_with_its_figures(self) -> None:
        result = run_command("scale", "--nodes", "850")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("docs/CAPACITY.md", result.errors)
        self.assertNotIn("scale", LazyCommands(name="dewledge").list_commands(None))

    def test_start_up_loads_nothing_heavy(self) -> None:
        program = (
            "import sys, dewledge.cli.main as m; m.run(['--version']);"
            f"sys.exit(sum(name in sys.modules for name in {HEAVY_MODULES!r}))"
        )
        done = subprocess.run([sys.executable, "-c", program], capture_output=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_commands_are_named_by_modules_of_the_command_line(self) -> None:
        for source in COMMANDS.values():
            self.assertTrue(source.module.startswith("dewledge.cli."))


if __name__ == "__main__":
    unittest.main()
