"""Runs a process's admission and its part in granting on the event loop and the datagrams.

Owns the timer of the process's gate and takes datagrams to gate and grantor. Relies on the member
table for whom to ask and at which address, and on the configuration in force for the limits. A
question to this process itself goes to its own grantor without a datagram.
"""

from dewledge.core.pooler.rate_limits.gate import QuotaGate
from dewledge.core.pooler.rate_limits.grantor import Grantor
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.core.pooler.rate_limits.slot_voters import SEARCH_INTERVAL_SECONDS
from dewledge.core.pooler.sessions.routes import RouteTable
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.tables.member_table import MemberTable
from dewledge.shell.shared.event_loop import EventLoop


class QuotaDriver:
    """All methods belong to the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        gate: QuotaGate,
        grantor: Grantor,
        members: MemberTable,
        peers: PeerSocket,
    ) -> None:
        """`gate`: admits operations here; its questions come to `send`."""
        self._loop = loop
        self._own_name = own_name
        self._members = members
        self._peers = peers
        self._gate = gate
        self._grantor = grantor
        peers.on(QuotaQuestion, self._take_question)
        peers.on(QuotaAnswer, self._take_answer)

    def start(self) -> None:
        """Starts to vote, once the members are known."""
        self._tick()

    def members_changed(self) -> None:
        """The members are known, or are others now."""
        names = frozenset(self._members.members)
        self._gate.set_members(names)
        self._grantor.set_members(names)

    def configuration_changed(self, routes: RouteTable) -> None:
        """Takes the limits of the configuration in force."""
        limits = routes.rate_limits
        self._gate.set_limits(limits)
        self._grantor.set_limits(limits)

    def _tick(self) -> None:
        again = self._gate.tick() if self._members.is_known else SEARCH_INTERVAL_SECONDS
        self._loop.call_later(again, self._tick)

    def send(self, name: str, question: QuotaQuestion) -> None:
        """Sends a question of the gate to the process of this name, or asks the own grantor."""
        if name == self._own_name:
            answer = self._grantor.answer_question(question, self._loop.now())
            self._loop.call_later(0.0, lambda: self._gate.handle_answer(answer))
            return
        member = self._members.members.get(name)
        if member is not None:
            self._peers.send(question, [member.peer_address])

    def _take_question(self, question: QuotaQuestion, sender: str) -> None:
        self._peers.send(self._grantor.answer_question(question, self._loop.now()), [sender])

    def _take_answer(self, answer: QuotaAnswer, _sender: str) -> None:
        self._gate.handle_answer(answer)
