"""What the demo prints, and the checks that decide its exit code."""

from collections.abc import Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.markup import escape

from dewledge.errors import DewledgeError


class CheckFailed(DewledgeError):
    """Something that the demo shows did not hold. expected, found: for people."""

    def __init__(self, what: str, expected: object, found: object) -> None:
        super().__init__(f"{what}: expected {expected}, found {found}")
        self.what = what
        self.expected = expected
        self.found = found


class Narrator:
    """Tells what happens, step by step, and counts the checks that held."""

    def __init__(self, console: Console, steps: int) -> None:
        self._console = console
        self._steps = steps
        self._begun = 0
        self.checks = 0

    def heading(self, text: str) -> None:
        """Prints a heading over the steps that follow."""
        self._console.print(f"\n[bold]{escape(text)}[/bold]")

    @contextmanager
    def step(self, title: str) -> Iterator[None]:
        """Prints the title of a step and shows progress while its body runs."""
        self._begun += 1
        place = f"\\[{self._begun}/{self._steps}]"
        self._print(f"\n{place} [bold cyan]{escape(title)}[/bold cyan]")
        with self._console.status(escape(title)):
            yield

    def say(self, text: str) -> None:
        """Prints one line about what happened."""
        self._print(f"      {escape(text)}")

    def check(self, what: str, expected: object, found: object) -> None:
        """Checks that two values are equal. Raises CheckFailed."""
        self.check_that(what, found == expected, expected, found)

    def check_that(self, what: str, holds: bool, expected: object, found: object) -> None:
        """Checks a condition; `expected` and `found` explain its failure. Raises CheckFailed."""
        if not holds:
            self._print(f"   [bold red]✗[/bold red]  {escape(what)}")
            self._print(f"      expected: {escape(str(expected))}")
            self._print(f"      found:    {escape(str(found))}")
            raise CheckFailed(what, expected, found)
        self.checks += 1
        self._print(f"   [green]✓[/green]  {escape(what)}")

    def _print(self, markup: str) -> None:
        self._console.print(markup, highlight=False, soft_wrap=True)
