"""Applies rows and steps one by one, so that the failure of one does not end those after it."""

from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow


def apply_each(rows: Iterable[StoreRow], apply: Callable[[StoreRow], None]) -> None:
    """Applies each row; logs those whose application fails, by key."""
    for row in rows:
        try:
            apply(row)
        except Exception as error:
            logger.bind(key=row.key, revision=row.version, error=repr(error)).error(
                "row_not_applied"
            )


def run_each(steps: Sequence[Callable[[], None]]) -> None:
    """Runs each step in order; logs those that fail."""
    for step in steps:
        try:
            step()
        except Exception as error:
            logger.bind(error=repr(error)).exception("table_step_failed")
