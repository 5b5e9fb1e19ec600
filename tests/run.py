"""Runs every test, prints failures and the known-red list, and closes with one count line.

Test modules are spread over a few processes, longest first. DEWLEDGE_TEST_JOBS sets how many; names
of modules as arguments run just these. `--busy N` keeps N processors busy meanwhile; `--times N`
runs each module N times, to see whether a test holds.
"""

import argparse
import io
import os
import sys
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

from loguru import logger

from tests.busy import busy_processors

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
SLOWEST_SHOWN = 10
STANDARD_ERROR = 2
"""The descriptor."""
LOG_LINES_SHOWN = 400
"""Of a module with a failed test: the last ones hold what led to it."""
DEFAULT_JOBS = 4
SLOW_STARTS = (
    "unfenced",
    "core.pooler.rate_limits.test_random_days",
    "core.pooler.rate_limits.test_admission",
    "core.pooler.test_random_days",
    "processes",
    "contracts",
    "bench",
    "test_",
)
"""How names of slow modules start: those that take longest run first, so that none is left to run
alone at the end. Each of the first four took 20 s to 46 s on the machine of the checks."""


@dataclass
class ModuleReport:
    """What one test module gave; durations in seconds by test id."""

    module: str
    tests_run: int = 0
    failed: set[str] = field(default_factory=set)
    skipped: int = 0
    durations: dict[str, float] = field(default_factory=dict)
    output: str = ""


class TimedResult(unittest.TextTestResult):
    """Also notes how long each test took, in seconds."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.durations: dict[str, float] = {}
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().stopTest(test)
        self.durations[test.id()] = time.monotonic() - self._started


def find_modules() -> list[str]:
    """Returns the names of all test modules, slow ones first."""
    found = []
    for path in sorted((ROOT / "tests").rglob("test_*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found.append(".".join(parts))
    return sorted(found, key=_slowness)


def _slowness(module: str) -> int:
    name = module.removeprefix("tests.")
    for rank, start in enumerate(SLOW_STARTS):
        if name.startswith(start):
            return rank
    return len(SLOW_STARTS)


def known_red() -> dict[str, str]:
    """Returns test id -> the whole line, for each test listed as a known fault."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    return {line.split(",", 1)[0].strip(): line for line in lines}


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Returns the ids of tests that failed; a failed row of a table counts as its test."""
    cases = [case for case, _ in (*result.failures, *result.errors)]
    cases.extend(result.unexpectedSuccesses)
    return {getattr(case, "test_case", case).id() for case in cases}


def run_module(module: str) -> ModuleReport:
    """Runs the tests of one module; what the code under test logs is shown only if one fails."""
    stream = io.StringIO()
    with tempfile.TemporaryFile("w+") as log, caught_standard_error(log):
        suite = unittest.defaultTestLoader.loadTestsFromName(module)
        runner = unittest.TextTestRunner(stream, verbosity=1, buffer=True, resultclass=TimedResult)
        result = runner.run(suite)
        logger.complete()
        failed = failed_tests(result)
        output = stream.getvalue() + end_of(log) if failed else ""
    return ModuleReport(
        module, result.testsRun, failed, len(result.skipped), result.durations, output
    )


@contextmanager
def caught_standard_error(log: TextIO) -> Iterator[None]:
    """Sends this process's standard error, and that of processes it starts, into a file.

    At the level of the descriptor: loguru's own handler and child processes write past sys.stderr.
    """
    sys.stderr.flush()
    kept = os.dup(STANDARD_ERROR)
    os.dup2(log.fileno(), STANDARD_ERROR)
    try:
        yield
    finally:
        sys.stderr.flush()
        os.dup2(kept, STANDARD_ERROR)
        os.close(kept)


def end_of(log: TextIO) -> str:
    """Returns the last lines of what a module logged."""
    log.seek(0)
    lines = log.read().splitlines()
    left_out = max(len(lines) - LOG_LINES_SHOWN, 0)
    return "\n".join((f"log, {left_out} lines before it left out:", *lines[left_out:]))


def run_modules(modules: list[str], jobs: int) -> list[ModuleReport]:
    """Runs modules in `jobs` processes; tells each one's end, and what a failed one printed."""
    reports = []
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for future in as_completed([pool.submit(run_module, module) for module in modules]):
            report = future.result()
            reports.append(report)
            verdict = f"{len(report.failed)} FAILED" if report.failed else "ok"
            print(f"{report.module}: {report.tests_run} run, {verdict}", flush=True)
            if report.output:
                print(report.output, flush=True)
    return reports


def print_summary(reports: list[ModuleReport], seconds: float) -> int:
    """Prints what is slow, red and new; returns the exit code."""
    durations = {name: time for report in reports for name, time in report.durations.items()}
    for name, taken in sorted(durations.items(), key=lambda item: -item[1])[:SLOWEST_SHOWN]:
        print(f"slow: {taken:6.1f} s {name}")
    failures = Counter(name for report in reports for name in report.failed)
    listed = known_red()
    for line in listed.values():
        print(f"known red: {line}")
    new_failures = sorted(failures.keys() - listed.keys())
    for name in new_failures:
        print(f"failed: {name}, {failures[name]} times")
    tests_run = sum(report.tests_run for report in reports)
    skipped = sum(report.skipped for report in reports)
    print(f"took {seconds:.0f} s")
    failed = failures.total()
    print(f"{tests_run - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if new_failures or tests_run == 0 else 0


def main() -> int:
    """Runs the tests; the exit code is 0 only if nothing but known faults failed."""
    options = parse_options(sys.argv[1:])
    jobs = int(os.environ.get("DEWLEDGE_TEST_JOBS", DEFAULT_JOBS))
    modules = (options.modules or find_modules()) * options.times
    started = time.monotonic()
    with busy_processors(options.busy):
        reports = run_modules(modules, jobs)
    return print_summary(reports, time.monotonic() - started)


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Reads the command line: modules, busy (processes), times (runs of each module)."""
    parser = argparse.ArgumentParser(prog="python -m tests.run", description="Runs the tests.")
    parser.add_argument("modules", nargs="*", help="names of test modules; all when none is given")
    parser.add_argument("--busy", type=int, default=0, help="processors kept busy meanwhile")
    parser.add_argument("--times", type=int, default=1, help="how often each module is run")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
