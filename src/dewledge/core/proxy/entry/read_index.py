"""Finds the floor for reads of sessions that have none, so that a replica can serve them.

That is for callers whose rules exclude the primary, and by setting for all. A status round that
begins after the read arrived and reaches a majority shows a position at or beyond every write
acknowledged before: with that position as its floor, a replica serves the read as well as the
primary would. (The read index of Raft's follower reads, taken from any gateway of the group.)
"""

from collections.abc import Callable

from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.pending_requests import PendingRequest, RequestState
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest
from dewledge.core.shared.positions import LogPosition

SAME_ROUND_AGES = 1e-6
"""Seconds; ages that differ by less are of the same status round."""


class ReadIndex:
    """One question in flight for each group serves all reads that came before it.

    on_floor: called with (pending, now) once the read's floor is set.
    """

    def __init__(
        self, state: EntryState, on_floor: Callable[[PendingRequest, float], None]
    ) -> None:
        self._state = state
        self._on_floor = on_floor
        self._asked: dict[int, list[PendingRequest]] = {}
        self._asked_of_group: dict[str, int] = {}
        self._next: dict[str, list[PendingRequest]] = {}

    def find(self, pending: PendingRequest, gateway: str, now: float) -> None:
        """Asks for a floor, by way of `gateway`; the caller sets the timer for giving up."""
        pending.state = RequestState.WAITING
        group = pending.request.group
        waiting = self._asked.get(self._asked_of_group.get(group, 0), [])
        following = self._next.setdefault(group, [])
        if pending in waiting:
            # It comes again: the question or its answer was lost.
            following.extend(item for item in waiting if _waits(item))
            waiting.clear()
        elif pending not in following:
            following.append(pending)
        if not any(_waits(item) for item in waiting):
            self._ask(group, gateway)

    def handle_status(
        self, peer: str, message: GroupStatusAnswer, group: EntryGroup, now: float
    ) -> None:
        """Takes the answer to a question asked here; any other is ignored."""
        waiting = self._asked.pop(message.correlation, None)
        if waiting is None:
            return
        name = message.group
        if self._asked_of_group.get(name) == message.correlation:
            del self._asked_of_group[name]
        floor = floor_of(message, len(group.description.databases))
        if floor is None:
            self._next.setdefault(name, [])[:0] = [item for item in waiting if _waits(item)]
        if self._next.get(name):
            self._ask(name, peer)
        if floor is None:
            return
        for pending in waiting:
            if _waits(pending):
                pending.floor = floor
                self._on_floor(pending, now)

    def _ask(self, group: str, gateway: str) -> None:
        correlation = self._state.next_correlation()
        previous = self._asked_of_group.get(group)
        if previous is not None:
            self._asked.pop(previous, None)
        self._asked[correlation] = self._next.pop(group)
        self._asked_of_group[group] = correlation
        self._state.send(gateway, GroupStatusRequest(correlation, group, True))


def floor_of(message: GroupStatusAnswer, group_size: int) -> LogPosition | None:
    """Returns the greatest position in the newest round, or None if that has no majority.

    The gateway answers after a round that began after the question came, so the youngest statuses
    are of that round; older ones may precede writes acknowledged since.
    """
    youngest = min(message.ages, default=0.0)
    in_round = [
        status.received
        for status, age in zip(message.statuses, message.ages, strict=False)
        if age - youngest < SAME_ROUND_AGES
    ]
    if 2 * len(in_round) <= group_size:
        return None
    return max(in_round)


def _waits(pending: PendingRequest) -> bool:
    return pending.state is RequestState.WAITING and pending.floor is None
