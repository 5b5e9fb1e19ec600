"""A database's copy of the group's log, with the offsets at which terms began."""

from collections.abc import Sequence

from dewledge.core.proxy.calls import Statement
from dewledge.core.shared.positions import LOG_START, LogPosition, TermStart
from dewledge.standin.group_types import LogEntry

FIRST_TERM = 1


def common_offset(
    first_starts: Sequence[TermStart],
    first_length: int,
    second_starts: Sequence[TermStart],
    second_length: int,
) -> int:
    """Returns how many entries two logs surely share, from what terms they hold.

    A term has one primary, so two logs that both hold a term agree in it as far as both go.
    """
    shared = {start.term for start in first_starts} & {start.term for start in second_starts}
    if not shared:
        return 0
    last_shared = max(shared)
    first_end = _end_of_term(last_shared, first_starts, first_length)
    second_end = _end_of_term(last_shared, second_starts, second_length)
    return min(first_end, second_end)


def _end_of_term(term: int, starts: Sequence[TermStart], length: int) -> int:
    later = [start.offset for start in starts if start.term > term]
    return min([length, *later])


class GroupLog:
    """The log of one database. It survives a restart of the database."""

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.term_starts: list[TermStart] = [TermStart(FIRST_TERM, 0)]

    @property
    def position(self) -> LogPosition:
        """Returns the end of the log."""
        return self.position_at(len(self.entries))

    def position_at(self, length: int) -> LogPosition:
        """Returns the position after the first `length` entries."""
        terms = [start.term for start in self.term_starts if start.offset <= length]
        return LogPosition(terms[-1], length) if terms else LOG_START

    def begin_term(self, term: int) -> None:
        """Records that this database became primary of `term`."""
        self.term_starts.append(TermStart(term, len(self.entries)))

    def append(self, statements: tuple[Statement, ...], session: int) -> LogEntry:
        """Adds one committed transaction in the current term."""
        position = LogPosition(self.term_starts[-1].term, len(self.entries) + 1)
        entry = LogEntry(position, statements, session)
        self.entries.append(entry)
        return entry

    def adopt(
        self, first_offset: int, entries: Sequence[LogEntry], term_starts: Sequence[TermStart]
    ) -> int | None:
        """Takes over a piece of the primary's log, dropping what conflicts with it.

        term_starts: of the primary's log up to the end of the piece.
        Returns the number of own entries kept, or None if the piece leaves a gap.
        """
        end = first_offset + len(entries)
        shared = common_offset(self.term_starts, len(self.entries), term_starts, end)
        if first_offset > shared:
            return None
        if self._follows(term_starts):
            shared = max(shared, len(self.entries))
            if end <= shared:
                return shared
        del self.entries[shared:]
        self.entries.extend(entries[shared - first_offset :])
        self.term_starts = [start for start in term_starts if start.offset <= end]
        return shared

    def _follows(self, term_starts: Sequence[TermStart]) -> bool:
        """Tells whether this log already holds the newest of `term_starts`."""
        return bool(term_starts) and self.term_starts[-1] == term_starts[-1]
