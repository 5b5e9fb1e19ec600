"""An immutable view of a database group: its databases, their roles, the primary, draining.

Each change returns a new view. It is built from the databases' entries in the store, ordered by the
store's revision, and from answers in which a database refused to act as primary.
`GroupView.primary` is the primary by these reports; `databases/group` and `failover/primary_lease`
decide whether this process may use it.
"""

from enum import StrEnum

import msgspec

from dewledge.core.pooler.store_versions import era_of

LONG_AGO = -1e9
"""Seconds of the steady clock; earlier than any time in the life of the process."""


class DatabaseRole(StrEnum):
    """The role that a database reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class DatabaseRecord(msgspec.Struct, frozen=True):
    """The entry with which a database registers itself in the store.

    address: "ip:port". draining: whether it is about to stop. slots: statements that it runs at
    once, 0 if not reported. revision: the store's revision of the entry; higher is newer.
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
    """The databases of a group, by database id.

    claims: for each database that is reported as primary, the revision at which this began.
    refuted: for each database that refused work as not primary, the revision of its record then.
    draining_since: when this process learned that a database drains (steady clock, seconds).
    departed_since: for each database whose entry was removed from the store, when this process
    learned it (steady clock, seconds).
    """

    name: str
    databases: dict[str, DatabaseRecord] = {}
    claims: dict[str, int] = {}
    refuted: dict[str, int] = {}
    draining_since: dict[str, float] = {}
    departed_since: dict[str, float] = {}

    @property
    def primary(self) -> DatabaseRecord | None:
        """The database with the newest unrefuted claim to be primary, None if there is none."""
        candidates = [
            (revision, name)
            for name, revision in self.claims.items()
            if name in self.databases and self.refuted.get(name) != self.databases[name].revision
        ]
        return self.databases[max(candidates)[1]] if candidates else None

    def with_record(self, record: DatabaseRecord, now: float) -> "GroupView":
        """Returns the view after a database registered or changed its entry.

        A database that is already draining in its first record gets no new work, since it may have
        started to drain at any time before.
        """
        previous = self.databases.get(record.id)
        if previous is not None and previous.revision >= record.revision:
            return self
        claims = dict(self.claims)
        if record.role is DatabaseRole.PRIMARY:
            # Revisions of two eras of the store do not tell which database became primary later.
            since = claims.get(record.id, -1)
            if era_of(since) < era_of(record.revision) or since < 0:
                claims[record.id] = record.revision
        else:
            claims.pop(record.id, None)
        draining_since = dict(self.draining_since)
        if record.draining:
            draining_since.setdefault(record.id, now if previous is not None else LONG_AGO)
        else:
            draining_since.pop(record.id, None)
        databases = {**self.databases, record.id: record}
        departed = {name: at for name, at in self.departed_since.items() if name != record.id}
        return msgspec.structs.replace(
            self,
            databases=databases,
            claims=claims,
            draining_since=draining_since,
            departed_since=departed,
        )

    def with_departure(self, database_id: str, revision: int, now: float) -> "GroupView":
        """Returns the view after an entry was removed: the database counts as draining."""
        record = self.databases.get(database_id)
        if record is None or record.revision >= revision:
            return self
        leaving = msgspec.structs.replace(record, draining=True, revision=revision)
        view = self.with_record(leaving, now)
        departed = {**view.departed_since, database_id: now}
        return msgspec.structs.replace(view, departed_since=departed)

    def with_leader(self, database_id: str) -> "GroupView":
        """Returns the view after a process reported that a database is primary.

        The report may arrive before the database's entry names it primary. A later claim of another
        database takes precedence. Ignored for a database that is unknown or draining.
        """
        record = self.databases.get(database_id)
        if record is None or record.draining or record == self.primary:
            return self
        newest = max(each.revision for each in self.databases.values())
        refuted = {name: at for name, at in self.refuted.items() if name != database_id}
        return msgspec.structs.replace(
            self, claims={**self.claims, database_id: newest}, refuted=refuted
        )

    def without(self, database_id: str) -> "GroupView":
        """Returns the view without a database that was removed permanently."""
        databases = {name: record for name, record in self.databases.items() if name != database_id}
        claims = {name: since for name, since in self.claims.items() if name != database_id}
        since = {name: at for name, at in self.draining_since.items() if name != database_id}
        return msgspec.structs.replace(
            self, databases=databases, claims=claims, draining_since=since
        )

    def accepts_work(self, database_id: str, now: float, bound: float) -> bool:
        """Tells whether a database is not draining, or has been for less than `bound` seconds."""
        since = self.draining_since.get(database_id)
        return since is None or now < since + bound

    def with_refuted(self, database_id: str) -> "GroupView":
        """Returns the view after a database refused a statement because it is not the primary."""
        record = self.databases.get(database_id)
        if record is None:
            return self
        refuted = {**self.refuted, database_id: record.revision}
        return msgspec.structs.replace(self, refuted=refuted)
