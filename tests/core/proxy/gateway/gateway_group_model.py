"""A database group small enough to be looked through: logs, terms, elections, branches."""

from random import Random

from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition, TermStart
from tests.core.proxy.gateway.gateway_harness import DATABASES


class ModelDatabase:
    """One database; an entry is (term, write id)."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 1
        self.primary = False
        self.log: list[tuple[int, int]] = []
        self.starts: list[TermStart] = [TermStart(1, 0)]

    @property
    def end(self) -> LogPosition:
        return LogPosition(self.log[-1][0] if self.log else 0, len(self.log))

    @property
    def ids(self) -> set[int]:
        return {write for _, write in self.log}

    def append(self, write: int) -> LogPosition:
        self.log.append((self.term, write))
        return self.end

    def status(self) -> DatabaseStatus:
        role = DatabaseRole.PRIMARY if self.primary else DatabaseRole.REPLICA
        return DatabaseStatus(self.name, role, self.term, self.end, self.end, tuple(self.starts))

    def follow(self, primary: "ModelDatabase", entries: int) -> None:
        """Takes over the primary's term and log, up to `entries` entries beyond the common part."""
        if primary.term < self.term:
            return
        self.term, self.primary = primary.term, False
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own != other:
                break
            common += 1
        if common < len(self.log) and common == len(primary.log) or common < len(self.log):
            del self.log[common:]
        self.log.extend(primary.log[common : common + entries])
        self.starts = [start for start in primary.starts if start.offset <= len(self.log)]


class ModelGroup:
    """Three databases; those cut off hear nothing of the others, but callers still reach them."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.databases = {name: ModelDatabase(name) for name in DATABASES}
        self.databases[DATABASES[0]].primary = True
        self.cut_off: set[str] = set()

    @property
    def newest_primary(self) -> ModelDatabase:
        primaries = [item for item in self.databases.values() if item.primary]
        return max(primaries, key=lambda item: item.term)

    def replicate(self) -> None:
        """Lets connected replicas follow some of the connected primary's log."""
        connected = self._connected()
        primaries = [item for item in connected if item.primary]
        if not primaries:
            return
        primary = max(primaries, key=lambda item: item.term)
        if any(item.term > primary.term for item in connected):
            return
        for item in connected:
            if item is not primary and self.random.random() < 0.8:
                item.follow(primary, self.random.randrange(6))

    def elect(self) -> None:
        """Holds an election among the connected databases, if they are a majority."""
        voters = self._connected()
        if len(voters) < 2:
            return
        candidate = self.random.choice(voters)
        if any(voter.end > candidate.end for voter in voters):
            candidate = max(voters, key=lambda voter: voter.end)
        term = max(voter.term for voter in voters) + 1
        for voter in voters:
            voter.term, voter.primary = term, False
        candidate.primary = True
        candidate.starts = [*candidate.starts, TermStart(term, len(candidate.log))]

    def change_links(self) -> None:
        """Cuts one database off, or heals all."""
        if self.cut_off or self.random.random() < 0.3:
            self.cut_off = set()
        else:
            self.cut_off = {self.newest_primary.name}

    def _connected(self) -> list[ModelDatabase]:
        return [item for name, item in self.databases.items() if name not in self.cut_off]
