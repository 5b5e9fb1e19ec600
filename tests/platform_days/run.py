"""Plays days of our own on the users' bench and tells which broke a rule.

    python -m tests.platform_days.run BENCH SITE alone|pairs [--only TEXT] [--jobs N]
    python -m tests.platform_days.run BENCH SITE sites [--only NAME] [--days N]

BENCH and SITE are paths; days and changed sites are written below `reports/`, which git ignores.
"""

import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from tests.platform_days.days import Day, alone, pairs
from tests.platform_days.sites import SITES

FOLDER = Path("reports") / "platform-days"
DAY_LINE = re.compile(r"^(\S+)\s+\d+/\d+\s+([0-9.]+)\s+([0-9.]+)\s+([0-9.]+)", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*)")


def play_day(bench: Path, site: Path, day: Day, seed: int, why: str) -> str:
    """Plays one day and returns a line about it; the whole report stays in the folder."""
    file = FOLDER / f"{site.stem}-{day.name}.toml"
    file.write_text(day.text(seed))
    command = [str(bench), "run", str(site), str(file), "--jobs", "1", "--why", why]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    report = result.stdout + result.stderr
    file.with_suffix(".txt").write_text(report)
    found = DAY_LINE.search(report)
    if found is None:
        return f"{day.name}: not played: {report.strip()[-200:]}"
    broken = BROKEN.search(report)
    verdict = f"BROKEN {broken.group(1)}" if broken else "ok"
    return f"{day.name}: worth {found.group(3)} served {found.group(4)} {verdict}"


def hunt_site(bench: Path, site: Path, name: str, days: int) -> str:
    """Hunts on a changed site and returns what the bench tells of it."""
    file = FOLDER / f"{site.stem}-{name}.toml"
    file.write_text(SITES[name](site.read_text()))
    for other in site.parent.glob("wire.json"):
        (FOLDER / other.name).write_text(other.read_text())
    command = [str(bench), "hunt", str(file), "--days", str(days), "--why", f"site {name}"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    report = result.stdout + result.stderr
    file.with_suffix(".txt").write_text(report)
    lines = [line for line in report.splitlines() if "with a rule broken" in line]
    return f"{name}: {lines[0] if lines else report.strip()[-200:]}"


def main(
    bench: Path,
    site: Path,
    what: Annotated[str, typer.Argument(help="alone, pairs or sites")],
    only: Annotated[str, typer.Option(help="Just names that hold this text.")] = "",
    jobs: Annotated[int, typer.Option(help="Days played at once.")] = 4,
    days: Annotated[int, typer.Option(help="Days of each hunt.")] = 10,
    why: Annotated[str, typer.Option(help="For the journal.")] = "days of our own",
) -> None:
    """Play days of our own."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    started = time.monotonic()
    lines: list[str] = []
    if what == "sites":
        lines = [hunt_site(bench, site, name, days) for name in SITES if only in name]
    else:
        chosen = [day for day in (alone() if what == "alone" else pairs()) if only in day.name]
        with ThreadPoolExecutor(jobs) as pool:
            seeds = range(7_000, 7_000 + len(chosen))
            lines = list(
                pool.map(lambda day, seed: play_day(bench, site, day, seed, why), chosen, seeds)
            )
    print("\n".join(lines))
    print(f"{len(lines)} played in {time.monotonic() - started:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    typer.run(main)
