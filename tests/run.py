"""Runs every test, prints failures and the known-red list, and closes with one count line."""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
SLOWEST_SHOWN = 10


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


def main() -> int:
    """Discovers and runs the tests; the exit code is 0 only if nothing but known faults failed."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(verbosity=1, buffer=True, resultclass=TimedResult)
    started = time.monotonic()
    result = runner.run(suite)
    slowest = sorted(result.durations.items(), key=lambda item: -item[1])[:SLOWEST_SHOWN]
    for name, seconds in slowest:
        print(f"slow: {seconds:6.1f} s {name}")
    listed = known_red()
    for line in listed.values():
        print(f"known red: {line}")
    failed = failed_tests(result)
    new_failures = sorted(failed - listed.keys())
    for name in new_failures:
        print(f"failed: {name}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"took {time.monotonic() - started:.0f} s")
    print(f"{passed} passed, {len(failed)} failed, {len(result.skipped)} skipped")
    return 1 if new_failures or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
