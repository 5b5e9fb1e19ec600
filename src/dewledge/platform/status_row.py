"""Parses the row with which a database answers a STATUS statement."""

from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.pooler.statements.statements import Reply
from dewledge.errors import ProtocolError
from dewledge.platform.wire_codec import parse_position

MIN_FIELDS = 3


def parse_status(reply: Reply) -> DatabaseStatus | None:
    """Returns the status in a reply to a STATUS statement, None if the reply has no valid one."""
    if reply.failure is not None or not reply.rows:
        return None
    fields = reply.rows[0].split(" ")
    if len(fields) < MIN_FIELDS or not fields[1].isdigit():
        return None
    try:
        received = parse_position(fields[2])
    except ProtocolError:
        return None
    if received is None:
        return None
    return DatabaseStatus(fields[0] == "primary", int(fields[1]), received)
