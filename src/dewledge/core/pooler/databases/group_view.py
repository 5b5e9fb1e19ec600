"""What a process knows of one database group: databases, roles, who leads, who leaves.

Immutable; each event gives the next view. Inputs are the databases' own entries in the store, with
the store's revision, and what databases said of themselves in answers. It decides which database is
the primary by these words (`GroupView.primary`); whether this process may use it is decided in
`databases/group` and `failover/primary_lease`.
"""

from enum import StrEnum

import msgspec

LONG_AGO = -1e9
"""Seconds of the steady clock; earlier than any moment of a running process."""


class DatabaseRole(StrEnum):
    """How a database sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class DatabaseRecord(msgspec.Struct, frozen=True):
    """One database as it registers itself.

    revision: of the store's entry; a later one is newer.
    """

    id: str
    group: str
    address: str
    zone: str
    role: DatabaseRole
    draining: bool
    slots: int
    revision: int


class GroupView(msgspec.Struct, frozen=True):
    """The databases of one group.

    claims: for each database that calls itself primary, the revision at which it began to.
    refuted: databases that refused work as not being primary, with the revision of that record.
    draining_since: when this process learned that a database leaves (steady clock, seconds).
    departed: databases whose entries went away.
    """

    name: str
    databases: dict[str, DatabaseRecord] = {}
    claims: dict[str, int] = {}
    refuted: dict[str, int] = {}
    draining_since: dict[str, float] = {}
    departed: frozenset[str] = frozenset()

    @property
    def primary(self) -> DatabaseRecord | None:
        """The database that last began to call itself primary and was not refuted since."""
        candidates = [
            (revision, name)
            for name, revision in self.claims.items()
            if name in self.databases and self.refuted.get(name) != self.databases[name].revision
        ]
        return self.databases[max(candidates)[1]] if candidates else None

    def with_record(self, record: DatabaseRecord, now: float) -> "GroupView":
        """Returns the view after a database registered or changed its entry.

        One that is first seen leaving may have begun to long ago: it gets no new work.
        """
        known = self.databases.get(record.id)
        if known is not None and known.revision >= record.revision:
            return self
        claims = dict(self.claims)
        if record.role is DatabaseRole.PRIMARY:
            claims.setdefault(record.id, record.revision)
        else:
            claims.pop(record.id, None)
        since = dict(self.draining_since)
        if record.draining:
            since.setdefault(record.id, now if known is not None else LONG_AGO)
        else:
            since.pop(record.id, None)
        databases = {**self.databases, record.id: record}
        return msgspec.structs.replace(
            self,
            databases=databases,
            claims=claims,
            draining_since=since,
            departed=self.departed - {record.id},
        )

    def with_departure(self, database_id: str, revision: int, now: float) -> "GroupView":
        """Returns the view after an entry went away: the database may serve on, but it leaves."""
        record = self.databases.get(database_id)
        if record is None or record.revision >= revision:
            return self
        leaving = msgspec.structs.replace(record, draining=True, revision=revision)
        view = self.with_record(leaving, now)
        return msgspec.structs.replace(view, departed=view.departed | {database_id})

    def with_leader(self, database_id: str) -> "GroupView":
        """Returns the view after a process reported that a database leads.

        Its own entry may tell so later; another that begins to call itself primary counts more.
        """
        record = self.databases.get(database_id)
        if record is None or record.draining or record == self.primary:
            return self
        newest = max(known.revision for known in self.databases.values())
        refuted = {name: at for name, at in self.refuted.items() if name != database_id}
        return msgspec.structs.replace(
            self, claims={**self.claims, database_id: newest}, refuted=refuted
        )

    def without(self, database_id: str) -> "GroupView":
        """Returns the view without a database that has left for good."""
        databases = {name: known for name, known in self.databases.items() if name != database_id}
        claims = {name: since for name, since in self.claims.items() if name != database_id}
        since = {name: at for name, at in self.draining_since.items() if name != database_id}
        return msgspec.structs.replace(
            self, databases=databases, claims=claims, draining_since=since
        )

    def takes_work(self, database_id: str, now: float, bound: float) -> bool:
        """Tells whether new work may go to a database: not later than `bound` after it leaves."""
        since = self.draining_since.get(database_id)
        return since is None or now < since + bound

    def with_refuted(self, database_id: str) -> "GroupView":
        """Returns the view after a database refused work because it is not the primary."""
        record = self.databases.get(database_id)
        if record is None:
            return self
        refuted = {**self.refuted, database_id: record.revision}
        return msgspec.structs.replace(self, refuted=refuted)
