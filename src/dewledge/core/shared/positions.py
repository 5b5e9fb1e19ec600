"""Log positions of a database group, and which positions a new term has cut off."""

from collections.abc import Sequence

import msgspec


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A place in a group's log: the term that wrote it, then its offset (entries, from 0).

    Compared term first, so a position of a later term is always the greater one.
    """

    term: int
    offset: int


class TermStart(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The offset at which a term's primary began: its log holds the earlier terms up to there."""

    term: int
    offset: int


LOG_START = LogPosition(0, 0)
"""Before the first entry of the first term."""


def is_cut_off(position: LogPosition, term_starts: Sequence[TermStart]) -> bool:
    """Tells whether `position` lies on a branch that a later term has left behind.

    That is so when a later term began at a smaller offset than the position's.
    """
    return any(
        start.term > position.term and start.offset < position.offset for start in term_starts
    )


def satisfies(applied: LogPosition, floor: LogPosition, term_starts: Sequence[TermStart]) -> bool:
    """Tells whether a database that has applied `applied` shows everything up to `floor`."""
    return applied >= floor and not is_cut_off(applied, term_starts)
