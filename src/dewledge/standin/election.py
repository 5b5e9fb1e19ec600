"""Elections in the group model, by majority, as in Raft with a probe round before the vote."""

from collections.abc import Callable

from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.group_messages import GroupMessage, VoteReply, VoteRequest

Send = Callable[[str, str, GroupMessage, float], None]
"""Sends (source, target, message, now)."""

StepDown = Callable[[DatabaseNode], None]
"""Told when a primary becomes a replica, so that its open transactions end."""


class Election:
    """Handles votes for all databases of one group; the state is in the nodes."""

    def __init__(self, names: tuple[str, ...], send: Send, step_down: StepDown) -> None:
        self._names = names
        self._majority = len(names) // 2 + 1
        self._send = send
        self._step_down = step_down

    def seek(self, node: DatabaseNode, now: float) -> None:
        """Asks the others whether they would vote for `node`, without disturbing the term."""
        node.votes = {node.name}
        node.delay_election(now)
        self._request_votes(node, node.term + 1, True, now)
        if len(node.votes) >= self._majority:
            self._stand(node, now)

    def adopt_term(self, node: DatabaseNode, term: int) -> None:
        """Moves to a newer term, as a replica without a vote."""
        was_primary = node.is_primary
        node.term = term
        node.voted_for = None
        node.votes = set()
        node.role = DatabaseRole.REPLICA
        if was_primary:
            self._step_down(node)

    def handle_request(self, node: DatabaseNode, request: VoteRequest, now: float) -> None:
        """Answers a candidate."""
        if request.probe:
            granted = self._would_vote(node, request, now)
        else:
            granted = self._vote(node, request, now)
        reply = VoteReply(request.term, node.name, granted, request.probe, node.term)
        self._send(node.name, request.candidate, reply, now)

    def handle_reply(self, node: DatabaseNode, reply: VoteReply, now: float) -> bool:
        """Counts a vote. Returns True if `node` has just become primary."""
        if reply.current_term > node.term:
            self.adopt_term(node, reply.current_term)
            return False
        expected_term = node.term + 1 if reply.probe else node.term
        standing = node.voted_for == node.name
        if node.is_primary or not reply.granted or reply.term != expected_term:
            return False
        if not reply.probe and not standing:
            return False
        node.votes.add(reply.voter)
        if len(node.votes) < self._majority:
            return False
        if reply.probe:
            self._stand(node, now)
            return node.is_primary
        self._become_primary(node)
        return True

    def _stand(self, node: DatabaseNode, now: float) -> None:
        node.term += 1
        node.voted_for = node.name
        node.votes = {node.name}
        node.delay_election(now)
        if len(node.votes) >= self._majority:
            self._become_primary(node)
            return
        self._request_votes(node, node.term, False, now)

    def _become_primary(self, node: DatabaseNode) -> None:
        node.role = DatabaseRole.PRIMARY
        node.apply_up_to(len(node.log.entries))
        node.log.begin_term(node.term)
        node.learn_term_starts(())
        length = len(node.log.entries)
        node.sent_lengths = {name: length for name in self._names if name != node.name}

    def _request_votes(self, node: DatabaseNode, term: int, probe: bool, now: float) -> None:
        request = VoteRequest(term, node.name, node.log.position, probe)
        for name in self._names:
            if name != node.name:
                self._send(node.name, name, request, now)

    def _would_vote(self, node: DatabaseNode, request: VoteRequest, now: float) -> bool:
        if node.is_primary or request.term <= node.term:
            return False
        if now - node.last_heartbeat < node.timing.election_timeout:
            return False
        return request.position >= node.log.position

    def _vote(self, node: DatabaseNode, request: VoteRequest, now: float) -> bool:
        if request.term > node.term:
            self.adopt_term(node, request.term)
        if request.term < node.term or request.position < node.log.position:
            return False
        if node.voted_for not in (None, request.candidate):
            return False
        node.voted_for = request.candidate
        node.delay_election(now)
        return True
