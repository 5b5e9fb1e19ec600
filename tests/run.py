"""Runs every test, prints failures and the known-red list, and closes with one count line."""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Returns test id -> the whole line, for each test listed as a known fault."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    return {line.split(",", 1)[0].strip(): line for line in lines}


def main() -> int:
    """Discovers and runs the tests; the exit code is 0 only if nothing but known faults failed."""
    started = time.monotonic()
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, buffer=True, durations=10).run(suite)
    failed = {case.id() for case, _ in (*result.failures, *result.errors)}
    failed.update(case.id() for case in result.unexpectedSuccesses)
    listed = known_red()
    for line in listed.values():
        print(f"known red: {line}")
    new_failures = sorted(name for name in failed if name.split(" ")[0] not in listed)
    for name in new_failures:
        print(f"failed: {name}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"took {time.monotonic() - started:.0f} s")
    print(f"{passed} passed, {len(failed)} failed, {len(result.skipped)} skipped")
    return 1 if new_failures or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
