"""How a change is accepted, looked up and caught up with: the store calls in their order.

A change is accepted by one transaction that moves the head row from the version that was read,
and creates the rows of the change and of the revision. Whoever moves the head first wins; every
other transaction built on the same head fails, now and forever.
"""

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.acceptance_change import resolve_change
from dewledge.core.proxy.configuration.codec import (
    decode_change,
    decode_content,
    decode_snapshot,
    encode_change,
    encode_content,
    encode_snapshot,
)
from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.store import (
    HEAD_KEY,
    NO_REVISION,
    SNAPSHOT_KEY,
    ChangeLookedUp,
    ConfigurationLearned,
    GetObject,
    HeadRow,
    ProposalFinished,
    ProposedChange,
    PutObject,
    ReadRow,
    Transact,
    change_key,
    revision_key,
    snapshot_object,
)
from dewledge.core.proxy.configuration.store_task import StoreGaveUp, StoreSteps
from dewledge.core.proxy.ports import Row, RowWrite
from dewledge.errors import (
    DewledgeError,
    ErrorCode,
    ProtocolError,
    StoreConditionFailed,
    StoreError,
)

MAX_REVISIONS_READ = 32
"""Revisions; catching up over more revisions starts from the snapshot, if there is a newer one."""


class Head(msgspec.Struct, frozen=True):
    """The head row as read: its value and the version a compare-and-set expects."""

    value: HeadRow
    version: int


class Acceptance(msgspec.Struct, frozen=True):
    """The end of a proposal, and what was learned on the way."""

    finished: ProposalFinished
    learned: ConfigurationLearned | None = None


def accept_change(proposal: ProposedChange, known: Configuration) -> StoreSteps[Acceptance]:
    """Has a change accepted, or says truly why not. Raises nothing."""
    try:
        return (yield from _accept_change(proposal, known))
    except StoreGaveUp as error:
        outcome = Outcome.UNKNOWN if error.may_stand else Outcome.NOT_RUN
        return _refused(proposal, error, outcome)
    except DewledgeError as error:
        return _refused(proposal, error, Outcome.NOT_RUN)


def _accept_change(proposal: ProposedChange, known: Configuration) -> StoreSteps[Acceptance]:
    # The head is read first: a transaction of the same change that was built on an older head and
    # is not found after this read can no longer take effect, so what is refused below stays so.
    head = yield from read_head()
    try:
        accepted = yield from read_change(proposal.change_id)
    except ProtocolError as error:
        return _refused(proposal, error, Outcome.UNKNOWN)  # there is a row, so it may stand
    if accepted:
        return _already_accepted(proposal, accepted)

    if head.value.revision < known.revision:
        raise StoreError(f"the store is at {head.value.revision}, behind {known.revision}")
    base_revision = proposal.base_revision
    if base_revision is not None and base_revision != head.value.revision:
        return (yield from _lost_race(proposal, base_revision + 1))

    learned = None
    if head.value.revision > known.revision:
        learned = yield from catch_up(known, head.value)
        known = learned.configuration

    resolved = resolve_change(proposal, known)
    if resolved.findings:
        code = resolved.findings[0].code
        finished = ProposalFinished(
            proposal.change_id,
            Outcome.NOT_RUN,
            code=code,
            message="the change was checked and refused",
            findings=resolved.findings,
        )
        return Acceptance(finished, learned)

    try:
        yield _transaction(resolved.change, head)
    except StoreConditionFailed:
        return (yield from _resolve_conflict(proposal, resolved.change.revision))
    finished = ProposalFinished(proposal.change_id, Outcome.DONE, resolved.change)
    return Acceptance(finished, learned)


def _transaction(change: ChangeSet, head: Head) -> Transact:
    data = encode_change(change)
    new_head = HeadRow(change.revision, change.change_id)
    return Transact(
        (
            RowWrite(HEAD_KEY, head.version, encode_content(new_head)),
            RowWrite(change_key(change.change_id), 0, data),
            RowWrite(revision_key(change.revision), 0, data),
        )
    )


def _resolve_conflict(proposal: ProposedChange, revision: int) -> StoreSteps[Acceptance]:
    """Tells a lost race from an own attempt, or one on another proxy, that had taken effect."""
    try:
        accepted = yield from read_change(proposal.change_id)
    except DewledgeError as error:
        return _refused(proposal, error, Outcome.UNKNOWN)
    if accepted:
        return _already_accepted(proposal, accepted)
    return (yield from _lost_race(proposal, revision))


def _lost_race(proposal: ProposedChange, revision: int) -> StoreSteps[Acceptance]:
    try:
        winner = yield from _read_change_row(revision_key(revision))
    except DewledgeError:
        winner = None  # that the race is lost is known without it
    if winner:
        message = f"change {winner.change_id} of {winner.author} was first, at {winner.revision}"
    else:
        message = "the configuration is not at the revision this change was made for"
    finished = ProposalFinished(
        proposal.change_id,
        Outcome.NOT_RUN,
        code=ErrorCode.REVISION_CONFLICT,
        message=message,
        winner=winner,
    )
    return Acceptance(finished)


def _already_accepted(proposal: ProposedChange, accepted: ChangeSet) -> Acceptance:
    if _is_same(proposal, accepted):
        return Acceptance(ProposalFinished(proposal.change_id, Outcome.DONE, accepted))
    finished = ProposalFinished(
        proposal.change_id,
        Outcome.NOT_RUN,
        code=ErrorCode.IDEMPOTENCY_MISMATCH,
        message="this change id was used for another change",
        winner=accepted,
    )
    return Acceptance(finished)


def _is_same(proposal: ProposedChange, accepted: ChangeSet) -> bool:
    """Tells whether `accepted` is what became of `proposal`; labels are compared by resource."""
    put_count = len(proposal.put)
    relabelled = [ResourceKey(item.kind, item.name) for item in accepted.put[put_count:]]
    return (
        proposal.author == accepted.author
        and proposal.put == accepted.put[:put_count]
        and proposal.deleted == accepted.deleted
        and [change.key for change in proposal.labels] == relabelled
    )


def _refused(proposal: ProposedChange, error: DewledgeError, outcome: Outcome) -> Acceptance:
    finished = ProposalFinished(proposal.change_id, outcome, code=error.code, message=error.message)
    return Acceptance(finished)


def look_up_change(change_id: str) -> StoreSteps[ChangeLookedUp]:
    """Tells whether a change was accepted. Raises nothing."""
    try:
        change = yield from read_change(change_id)
    except DewledgeError:
        return ChangeLookedUp(change_id, None)
    return ChangeLookedUp(change_id, change is not None, change)


def catch_up(known: Configuration, head: HeadRow) -> StoreSteps[ConfigurationLearned]:
    """Reads what leads from `known` to `head`.

    Raises StoreGaveUp, or ProtocolError if a row is missing or cannot be read.
    """
    snapshot = None
    if head.revision - known.revision > MAX_REVISIONS_READ:
        snapshot = yield from _read_snapshot()
    from_snapshot = snapshot is not None and snapshot.revision > known.revision
    if snapshot is not None and from_snapshot:
        known = snapshot
    changes = []
    while known.revision < head.revision:
        revision = known.revision + 1
        change = yield from _read_change_row(revision_key(revision))
        if change is None or change.revision != revision:
            raise ProtocolError(f"the row of revision {revision} is missing or wrong")
        known = known.with_change(change)
        changes.append(change)
    return ConfigurationLearned(known, () if from_snapshot else tuple(changes))


def write_snapshot(configuration: Configuration, at_least: int) -> StoreSteps[int]:
    """Writes a snapshot if the newest is `at_least` revisions old; returns the newest's revision.

    Raises StoreGaveUp, StoreConditionFailed if another proxy has just written one, ProtocolError.
    """
    row = yield from _read_row(SNAPSHOT_KEY)
    newest = _decode_head(row).value.revision
    if configuration.revision - newest < at_least:
        return newest
    revision = configuration.revision
    yield PutObject(snapshot_object(revision), encode_snapshot(configuration))
    value = encode_content(HeadRow(revision))
    yield Transact((RowWrite(SNAPSHOT_KEY, row.version, value),))
    return revision


def read_head() -> StoreSteps[Head]:
    """Reads the head row. Raises StoreGaveUp, ProtocolError."""
    row = yield from _read_row(HEAD_KEY)
    return _decode_head(row)


def read_change(change_id: str) -> StoreSteps[ChangeSet | None]:
    """Reads a change by its id; None if it is not accepted. Raises StoreGaveUp, ProtocolError."""
    return (yield from _read_change_row(change_key(change_id)))


def _read_change_row(key: str) -> StoreSteps[ChangeSet | None]:
    row = yield from _read_row(key)
    return decode_change(row.value) if row.version else None


def _read_row(key: str) -> StoreSteps[Row]:
    value = yield ReadRow(key)
    if not isinstance(value, Row):
        raise ProtocolError(f"reading row {key} gave no row")
    return value


def _decode_head(row: Row) -> Head:
    value = decode_content(row.value, HeadRow) if row.version else NO_REVISION
    return Head(value, row.version)


def _read_snapshot() -> StoreSteps[Configuration | None]:
    row = yield from _read_row(SNAPSHOT_KEY)
    revision = _decode_head(row).value.revision
    if revision == NO_REVISION.revision:
        return None
    data = yield GetObject(snapshot_object(revision))
    return decode_snapshot(data) if isinstance(data, bytes) else None
