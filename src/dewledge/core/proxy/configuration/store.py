"""How the configuration lies in the platform's store, and the calls the core makes to it.

Rows of the table service:

- ``configuration/head``: the newest revision. Every accepted change moves it by compare-and-set.
- ``revision/<n>`` and ``change/<change_id>``: the change set, written in the same transaction.
- ``configuration/snapshot``: the newest snapshot. Never needed for a change to be accepted.

Objects: ``snapshots/<slot>``, a whole configuration, so that a newcomer need not read every
revision. Old ones are overwritten, since the platform's objects cannot be deleted.
"""

from enum import StrEnum

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.resources import Resource
from dewledge.core.proxy.ports import Row, RowWrite
from dewledge.errors import ErrorCode, Finding

HEAD_KEY = "configuration/head"
SNAPSHOT_KEY = "configuration/snapshot"

SNAPSHOT_SLOTS = 7
"""Snapshots that are kept; prime, so that regular distances between revisions use all slots."""


def change_key(change_id: str) -> str:
    """Returns the key of the row that says whether a change was accepted."""
    return f"change/{change_id}"


def revision_key(revision: int) -> str:
    """Returns the key of the row that holds a revision's change set."""
    return f"revision/{revision}"


def snapshot_object(revision: int) -> str:
    """Returns the name of a snapshot in the object store.

    A snapshot of another revision may be found under it, when a proxy that was frozen wrote late.
    It is as true, only older or newer; whoever reads it goes by the revision inside.
    """
    return f"snapshots/{revision % SNAPSHOT_SLOTS}"


class HeadRow(msgspec.Struct, frozen=True):
    """The value of the head row, and of the snapshot row."""

    revision: int
    change_id: str = ""


NO_REVISION = HeadRow(0)


class ReadRow(msgspec.Struct, frozen=True):
    """Read one row; the value reported is a Row."""

    key: str


class Transact(msgspec.Struct, frozen=True):
    """Write all rows or none; the value reported is a tuple of Rows."""

    writes: tuple[RowWrite, ...]


class PutObject(msgspec.Struct, frozen=True):
    """Write an object; the value reported is None."""

    name: str
    data: bytes


class GetObject(msgspec.Struct, frozen=True):
    """Read an object; the value reported is bytes, or None if there is none."""

    name: str


StoreOperation = ReadRow | Transact | PutObject | GetObject
StoreValue = Row | tuple[Row, ...] | bytes | None


class StoreCaller(StrEnum):
    """Which state machine made a call and takes its result."""

    ACCEPTANCE = "acceptance"
    POLLER = "poller"


class StoreCall(msgspec.Struct, frozen=True):
    """Effect: call the platform and report one StoreResult with the same caller and call_id.

    timeout: seconds the call may take.
    """

    caller: StoreCaller
    call_id: int
    operation: StoreOperation
    timeout: float


class StoreResult(msgspec.Struct, frozen=True):
    """Event: how a StoreCall ended.

    code: None on success; REVISION_CONFLICT for StoreConditionFailed, else the StoreError's code.
    unknown: the call may have taken effect (StoreOutcomeUnknown, or a timeout after sending).
    retry_after: seconds, as the platform asked for.
    """

    caller: StoreCaller
    call_id: int
    value: StoreValue = None
    code: ErrorCode | None = None
    unknown: bool = False
    retry_after: float | None = None


class LabelChange(msgspec.Struct, frozen=True):
    """Sets and removes labels of one resource, whatever its labels are by then."""

    key: ResourceKey
    put: tuple[tuple[str, str], ...] = ()
    removed: tuple[str, ...] = ()


class ProposedChange(msgspec.Struct, frozen=True):
    """What an operator asks for.

    change_id: unique; the same one may be proposed again, on any proxy, and takes effect once.
    base_revision: accepted only as the next change after this one; None for any.
    """

    change_id: str
    author: str
    base_revision: int | None = None
    put: tuple[Resource, ...] = ()
    deleted: tuple[ResourceKey, ...] = ()
    labels: tuple[LabelChange, ...] = ()


class ProposalFinished(msgspec.Struct, frozen=True):
    """Effect: the one final answer to a proposal.

    DONE carries the accepted `change`; the spread adopts it. NOT_RUN changed nothing and never
    will. UNKNOWN: the change may stand or still come to stand; proposing it again, or looking it
    up, tells.

    code: REVISION_CONFLICT for a lost race, then `winner` is the change that was first, if it
    could be read. findings: what is wrong with the change, all of it.
    """

    change_id: str
    outcome: Outcome
    change: ChangeSet | None = None
    code: ErrorCode | None = None
    message: str = ""
    winner: ChangeSet | None = None
    findings: tuple[Finding, ...] = ()

    @property
    def revision(self) -> int | None:
        """The accepted revision, or None."""
        return self.change.revision if self.change else None


class ChangeLookedUp(msgspec.Struct, frozen=True):
    """Effect: whether a change stands.

    accepted: None if the store could not be asked. False means: not so far; a proposal of it that
    is still under way may yet be accepted.
    """

    change_id: str
    accepted: bool | None
    change: ChangeSet | None = None


class ConfigurationLearned(msgspec.Struct, frozen=True):
    """Effect: the store holds a newer configuration than this proxy knew.

    changes: the consecutive change sets that led to it from the known one; empty if it came as a
    snapshot, which the spread then adopts as a whole.
    """

    configuration: Configuration
    changes: tuple[ChangeSet, ...] = ()


class StoreReached(msgspec.Struct, frozen=True):
    """Effect: the store has just answered; for the isolation guard."""
