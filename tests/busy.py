"""Keeps processors busy beside a test run, on purpose.

Tests of real processes judge what happens in time. A test that holds on an idle machine may fail
where other programs compete for the processors; `python -m tests.run --busy 10 ...` plays that.
"""

import contextlib
import multiprocessing
from collections.abc import Iterator

COUNT_BEFORE_LOOK = 1_000_000
"""Turns of an empty loop between two looks at whether the parent still runs: some 50 ms."""


@contextlib.contextmanager
def busy_processors(processes: int) -> Iterator[None]:
    """Keeps `processes` processors busy, as far as there are so many, until the block ends."""
    context = multiprocessing.get_context("spawn")
    spinners = [context.Process(target=_spin, daemon=True) for _ in range(processes)]
    for spinner in spinners:
        spinner.start()
    try:
        yield
    finally:
        for spinner in spinners:
            spinner.terminate()
        for spinner in spinners:
            spinner.join()


def _spin() -> None:
    parent = multiprocessing.parent_process()
    assert parent is not None
    while parent.is_alive():
        for _ in range(COUNT_BEFORE_LOOK):
            pass
