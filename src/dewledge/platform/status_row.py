"""Parses the row with which a database answers the statements on its role and replication."""

from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.pooler.statements.statements import Reply
from dewledge.errors import ProtocolError
from dewledge.platform.wire_codec import is_number, parse_position

MIN_FIELDS = 3
STOPPED_TERM_FIELD = 3


def parse_status(reply: Reply) -> DatabaseStatus | None:
    """Returns the status in a reply to one of these statements, None if it has no valid one."""
    if reply.failure is not None or not reply.rows:
        return None
    fields = reply.rows[0].split(" ")
    if len(fields) < MIN_FIELDS or not is_number(fields[1]):
        return None
    try:
        received = parse_position(fields[2])
    except ProtocolError:
        return None
    if received is None:
        return None
    stopped = fields[STOPPED_TERM_FIELD] if len(fields) > STOPPED_TERM_FIELD else ""
    stopped_term = int(stopped) if is_number(stopped) else 0
    return DatabaseStatus(fields[0] == "primary", int(fields[1]), received, stopped_term)
