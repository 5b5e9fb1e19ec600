"""Log positions of a database group, and which of them a later term discarded."""

from collections.abc import Sequence

import msgspec


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A position in a group's log: the term that wrote the entry, and its offset in entries.

    Ordered by term first, so a position of a later term is always greater.
    """

    term: int
    offset: int


class TermStart(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The offset at which a term's primary started; entries up to it are from earlier terms."""

    term: int
    offset: int


LOG_START = LogPosition(0, 0)
"""The position before the first entry of the first term."""


def is_cut_off(position: LogPosition, term_starts: Sequence[TermStart]) -> bool:
    """Returns whether a later term discarded `position` by starting at a smaller offset."""
    return any(
        start.term > position.term and start.offset < position.offset for start in term_starts
    )


def satisfies(applied: LogPosition, floor: LogPosition, term_starts: Sequence[TermStart]) -> bool:
    """Returns whether a database with the log up to `applied` has all entries up to `floor`."""
    return applied >= floor and not is_cut_off(applied, term_starts)
