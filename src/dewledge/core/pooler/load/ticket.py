"""The arrival time that a refused caller keeps in its session until it comes back.

Inputs: the ticket of the session, the priority of the operation that comes now, the steady clock in
seconds. Decision (`arrival_of`): an operation that comes back as it was told keeps the arrival of
its first try, and so its position in queues. Reason: who was refused has waited already.
"""

import msgspec

LIFETIME_SECONDS = 12.0
"""Seconds since the operation first came: the longest time that clients give an operation."""
LATE_SECONDS = 1.0
"""Seconds; one who comes later than told by more than this counts as new: it may be another
operation. One who comes sooner stands by its arrival as if it had stayed, so nobody gains by it."""


class Ticket(msgspec.Struct, frozen=True):
    """Kept in the session that was refused; times of this process's steady clock, in seconds.

    arrived: when the operation first came. return_at: the moment it was told to come back.
    priority: of its route when it came, 0 the most urgent.
    """

    arrived: float
    return_at: float
    priority: int


def arrival_of(ticket: Ticket | None, priority: int, now: float) -> float:
    """Returns when the operation that comes now first came, by the ticket of its session."""
    if ticket is None or ticket.priority != priority:
        return now
    is_punctual = now <= ticket.return_at + LATE_SECONDS
    is_young = now - ticket.arrived <= LIFETIME_SECONDS
    return ticket.arrived if is_punctual and is_young else now
