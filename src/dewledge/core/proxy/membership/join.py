"""Joining: pulling the table from a seed in bounded parts, and finding members lost from sight."""

from collections.abc import Iterable
from random import Random

from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.ports import MachineState

NOT_WAITING = float("inf")


class Joiner:
    """Where a newcomer asks next. The cursor survives a change of seed, so no part is pulled twice.

    after: the last name pulled. sequence: of the request under way.
    """

    def __init__(self, settings: MembershipSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._seeds: tuple[str, ...] = ()
        self._failures = 0
        self.address: str | None = None
        self.after = ""
        self.sequence = 0
        self.next_at = NOT_WAITING

    def begin(self, seeds: Iterable[str], now: float) -> None:
        """Begins anew with these seeds."""
        self._seeds = tuple(sorted(set(seeds)))
        self.after = ""
        self.address = None
        self._failures = 0
        self.next_at = now if self._seeds else NOT_WAITING

    @property
    def is_done(self) -> bool:
        """Whether there is nothing to ask for."""
        return self.next_at == NOT_WAITING

    @property
    def failures(self) -> int:
        """How many requests in a row went without an answer."""
        return self._failures

    def choose_seed(self, sequence: int, now: float) -> str:
        """Returns the address to ask; unanswered requests go elsewhere, ever more slowly."""
        if self.address is not None:
            self._failures += 1
        self.address = self._random.choice(self._seeds)
        self.sequence = sequence
        backoff = self._settings.join_timeout * 2.0 ** min(self._failures, 10)
        limit = min(backoff, self._settings.join_backoff_limit)
        self.next_at = now + limit * self._random.uniform(0.75, 1.25)
        return self.address

    def advance(self, after: str, complete: bool, sequence: int, now: float) -> str | None:
        """Notes an answer; returns the address to ask for the next part, or None if all is here."""
        self._failures = 0
        self.after = after
        if complete or self.address is None:
            self.next_at = NOT_WAITING
            self.address = None
            return None
        self.sequence = sequence
        self.next_at = now + self._settings.join_timeout
        return self.address


def gossip_addresses(machines: Iterable[MachineState]) -> dict[str, str]:
    """Returns machine name -> UDP address; a machine that names none uses its TCP address."""
    return {
        machine.name: machine.gossip_address or machine.peer_address
        for machine in machines
        if not machine.leaving
    }
