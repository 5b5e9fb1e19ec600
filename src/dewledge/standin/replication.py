"""Replication in the group model: asynchronous, so a primary commits whether it is heard or not."""

from collections.abc import Callable

from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.election import Election, Send
from dewledge.standin.group_log import common_offset
from dewledge.standin.group_messages import Append, AppendRejected
from dewledge.standin.group_schedule import Schedule


class Replication:
    """Carries the primary's log to the replicas; the state is in the nodes."""

    def __init__(self, schedule: Schedule, election: Election, send: Send) -> None:
        self._schedule = schedule
        self._election = election
        self._send = send

    def send_log(self, node: DatabaseNode, now: float) -> None:
        """Sends each replica what it was not yet sent; without news this is a heartbeat."""
        for replica in node.sent_lengths:
            self._send_append(node, replica, now)

    def handle_append(self, node: DatabaseNode, append: Append, now: float) -> None:
        """Takes over a piece of the log, now or after the replica's lag."""
        if append.term < node.term:
            self._reject(node, append.primary, now)
            return
        if append.term > node.term:
            self._election.adopt_term(node, append.term)
        node.heard_from_primary(now)
        node.learn_term_starts(append.term_starts)
        self._after(node.faults.receive_lag, lambda time: self._receive(node, append, time), now)

    def handle_rejected(self, node: DatabaseNode, rejected: AppendRejected, now: float) -> None:
        """Steps down for a newer term, or goes back to what the replica has in common."""
        if rejected.term > node.term:
            self._election.adopt_term(node, rejected.term)
            return
        if not node.is_primary:
            return
        node.sent_lengths[rejected.replica] = common_offset(
            node.log.term_starts, len(node.log.entries), rejected.term_starts, rejected.length
        )
        self._send_append(node, rejected.replica, now)

    def _send_append(self, node: DatabaseNode, replica: str, now: float) -> None:
        first_offset = node.sent_lengths[replica]
        append = Append(
            term=node.term,
            primary=node.name,
            first_offset=first_offset,
            entries=tuple(node.log.entries[first_offset:]),
            term_starts=tuple(node.log.term_starts),
        )
        node.sent_lengths[replica] = len(node.log.entries)
        self._send(node.name, replica, append, now)

    def _receive(self, node: DatabaseNode, append: Append, now: float) -> None:
        if node.faults.halted or node.term != append.term:
            return
        kept = node.log.adopt(append.first_offset, append.entries, append.term_starts)
        if kept is None:
            self._reject(node, append.primary, now)
            return
        node.undo_down_to(kept)
        length = len(node.log.entries)
        if length == node.applied_length:
            return
        self._after(node.faults.apply_lag, lambda time: self._apply(node, length), now)

    def _apply(self, node: DatabaseNode, length: int) -> None:
        if not node.faults.halted:
            node.apply_up_to(length)

    def _reject(self, node: DatabaseNode, primary: str, now: float) -> None:
        rejected = AppendRejected(
            node.term, node.name, len(node.log.entries), tuple(node.log.term_starts)
        )
        self._send(node.name, primary, rejected, now)

    def _after(self, delay: float, action: Callable[[float], None], now: float) -> None:
        if delay > 0:
            self._schedule.add(now + delay, action)
        else:
            action(now)
