"""The ticket that preserves the arrival time of a refused operation until its client retries.

A retry at the promised time keeps the arrival time of the first attempt, and thereby its position
in queues, because the operation has already waited.
"""

import msgspec

MAX_OPERATION_AGE_SECONDS = 12.0
"""Maximum age of an operation since its first attempt: the longest timeout that clients use."""
MAX_RETRY_DELAY_SECONDS = 1.0
"""A retry that is later than promised by more than this counts as a new operation. An early retry
keeps its arrival time, as if it had stayed in the queue, and gains nothing by it."""


class Ticket(msgspec.Struct, frozen=True):
    """Stored in the session of a refused client; times of this process's steady clock in seconds.

    Attributes:
        arrived: When the operation was first attempted.
        return_at: The promised retry time.
        priority: Priority of its route at the first attempt, 0 is the most urgent.
    """

    arrived: float
    return_at: float
    priority: int


def effective_arrival(ticket: Ticket | None, priority: int, now: float) -> float:
    """Returns the arrival time of an operation: that of its ticket if it applies, otherwise now."""
    if ticket is None or ticket.priority != priority:
        return now
    is_punctual = now <= ticket.return_at + MAX_RETRY_DELAY_SECONDS
    is_young = now - ticket.arrived <= MAX_OPERATION_AGE_SECONDS
    return ticket.arrived if is_punctual and is_young else now
