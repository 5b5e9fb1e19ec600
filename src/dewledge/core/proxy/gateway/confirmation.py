"""What a status round proves about an operation: pure judgement of readings.

The caller of this module sees to it that the round began late enough: after a write's result,
after a read's arrival. docs/design/write-confirmation.md has the argument for each rule.
"""

from collections.abc import Iterable
from enum import Enum, auto

import msgspec

from dewledge.core.proxy.configuration.resources import Confirmation
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition, is_cut_off


class Verdict(Enum):
    """CONFIRMED: proved. UNDECIDED: another round may prove it. SUPERSEDED: a later term is there.

    EXPIRED: the deadline came first.
    """

    CONFIRMED = auto()
    UNDECIDED = auto()
    SUPERSEDED = auto()
    EXPIRED = auto()


class Claim(msgspec.Struct, frozen=True):
    """An operation's result that waits for its proof.

    position: the commit position of a write, the applied position of a read.
    term_before: a term in which the database was seen before the operation started, 0 if never.
    write: its effect has to be held, not only its primary to be in office.
    """

    database: str
    position: LogPosition
    term_before: int
    write: bool

    @property
    def term(self) -> int:
        """The least term in which the database can have been when it ran the operation."""
        return max(self.position.term, self.term_before)

    @property
    def needs_primary_reading(self) -> bool:
        """Whether the database itself must be seen as primary of that term.

        A write whose position carries the term was written by that term's primary. Otherwise
        only the database's own word, before and after, shows that it was in that term throughout.
        """
        return not self.write or self.position.term < self.term


def majority_of(group_size: int) -> int:
    """Returns how many databases of a group are a majority."""
    return group_size // 2 + 1


def highest_term(statuses: Iterable[DatabaseStatus]) -> int:
    """Returns the highest term seen, 0 without any status."""
    return max((status.term for status in statuses), default=0)


def primary_of(statuses: Iterable[DatabaseStatus], group_size: int) -> str | None:
    """Returns the primary of the highest term if a majority of the group is in that term."""
    known = list(statuses)
    term = highest_term(known)
    in_term = [status for status in known if status.term == term]
    if len(in_term) < majority_of(group_size):
        return None
    primaries = [status.database for status in in_term if status.role is DatabaseRole.PRIMARY]
    return primaries[0] if primaries else None


def holds(status: DatabaseStatus, position: LogPosition, term: int) -> bool:
    """Tells whether a database in `term` surely holds the entry at `position`.

    Its log must end in the position's own term or in `term`: a log that ends in any other one may
    be a branch, where an offset as large says nothing.
    """
    if status.term != term or status.received.term not in (position.term, term):
        return False
    if status.received.offset < position.offset:
        return False
    return not is_cut_off(position, status.term_starts)


class RoundEvidence:
    """The readings of one round as they are now, to judge any number of claims by.

    What the claims have in common is worked out once: under load a round has dozens of them.
    """

    __slots__ = ("_in_term", "_statuses", "highest_term", "majority", "policy")

    def __init__(
        self, statuses: Iterable[DatabaseStatus], group_size: int, policy: Confirmation
    ) -> None:
        self._statuses = list(statuses)
        self._in_term: dict[int, list[DatabaseStatus]] = {}
        self.highest_term = highest_term(self._statuses)
        self.majority = majority_of(group_size)
        self.policy = policy

    def statuses_in(self, term: int) -> list[DatabaseStatus]:
        """Returns the readings of databases that are in `term`."""
        found = self._in_term.get(term)
        if found is None:
            found = [status for status in self._statuses if status.term == term]
            self._in_term[term] = found
        return found


def judge(claim: Claim, evidence: RoundEvidence) -> Verdict:
    """Tells what the readings of one round prove about a claim."""
    term = claim.term
    if evidence.highest_term > term:
        return Verdict.SUPERSEDED
    in_term = evidence.statuses_in(term)
    if len(in_term) < evidence.majority:
        return Verdict.UNDECIDED
    if claim.needs_primary_reading:
        own = [status for status in in_term if status.database == claim.database]
        if not own:
            return Verdict.UNDECIDED
        if own[0].role is not DatabaseRole.PRIMARY:
            return Verdict.SUPERSEDED
    if not claim.write or evidence.policy is Confirmation.MAJORITY_TERM:
        return Verdict.CONFIRMED
    holders = sum(1 for status in in_term if holds(status, claim.position, term))
    return Verdict.CONFIRMED if holders >= evidence.majority else Verdict.UNDECIDED
