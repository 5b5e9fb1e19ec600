"""Whether this process may serve: a proxy cut off from everything may have missed a change.

A proxy serves while it has had word, within a bound, from the store or from a majority of the
members it knows. Every contact carries the time at which it was made, so a process that was frozen
finds its contacts stale when it thaws and refuses new work until it has made new ones.
"""

import msgspec

DEFAULT_ISOLATION_BOUND = 5.0
"""Seconds without contact after which new work is refused."""

NEVER = float("-inf")


class IsolationSettings(msgspec.Struct, frozen=True):
    """bound: seconds for which a contact counts."""

    bound: float = DEFAULT_ISOLATION_BOUND


class IsolationGuard:
    """Remembers the latest contacts and answers whether they are recent enough."""

    def __init__(self, settings: IsolationSettings | None = None) -> None:
        self._settings = settings or IsolationSettings()
        self._store_contact = NEVER
        self._majority_contact = NEVER
        self._last_note: float | None = None

    def note_store_contact(self, at: float) -> None:
        """Notes that the store answered a question asked at `at` (when it was asked)."""
        self._store_contact = max(self._store_contact, at)

    def note_members(self, reachable: int, known: int, now: float) -> None:
        """Notes how many of the known members, this one included, are reachable.

        The first note after a gap longer than the bound is not believed: its figures may date from
        before this process was frozen.
        """
        gap = 0.0 if self._last_note is None else now - self._last_note
        self._last_note = now
        if gap <= self._settings.bound and is_majority(reachable, known):
            self._majority_contact = now

    def age(self, now: float) -> float:
        """Returns seconds since the latest contact of either kind; infinite if there was none."""
        return now - max(self._store_contact, self._majority_contact)

    def may_serve(self, now: float) -> bool:
        """Tells whether new work may be taken."""
        return self.age(now) <= self._settings.bound

    def may_accept(self, now: float) -> bool:
        """Tells whether changes of configuration may be proposed to the store from here."""
        return now - self._majority_contact <= self._settings.bound


def is_majority(reachable: int, known: int) -> bool:
    """Tells whether `reachable` is more than half of `known`."""
    return 2 * reachable > known
