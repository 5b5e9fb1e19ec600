"""Connects the rate-limit gate and grantor of a process to timers and datagrams.

Passes received datagrams to the gate and the grantor, and keeps them up to date with the member
table and the configured limits. A request to this process's own grantor bypasses the network.
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
    """Runs the gate's timer and exchanges requests and answers with the grantors of all processes.

    Call only from the event loop's thread.
    """

    def __init__(
        self,
        loop: EventLoop,
        process_name: str,
        gate: QuotaGate,
        grantor: Grantor,
        members: MemberTable,
        peers: PeerSocket,
    ) -> None:
        """`gate`: admits operations in this process; its requests are passed to `send`."""
        self._loop = loop
        self._process_name = process_name
        self._members = members
        self._peers = peers
        self._gate = gate
        self._grantor = grantor
        peers.on(QuotaQuestion, self._handle_question)
        peers.on(QuotaAnswer, self._handle_answer)

    def start(self) -> None:
        """Starts the gate's timer; the gate votes for grantors once the members are known."""
        self._tick()

    def on_members_changed(self) -> None:
        """Passes the current members to the gate and the grantor."""
        names = frozenset(self._members.members)
        self._gate.set_members(names)
        self._grantor.set_members(names)

    def on_configuration_changed(self, routes: RouteTable) -> None:
        """Applies the rate limits of a new configuration."""
        limits = routes.rate_limits
        self._gate.set_limits(limits)
        self._grantor.set_limits(limits)

    def _tick(self) -> None:
        delay = self._gate.tick() if self._members.is_known else SEARCH_INTERVAL_SECONDS
        self._loop.call_later(delay, self._tick)

    def send(self, name: str, question: QuotaQuestion) -> None:
        """Sends a request of the gate to the named process, or to the local grantor."""
        if name == self._process_name:
            answer = self._grantor.answer_question(question, self._loop.now())
            self._loop.call_later(0.0, lambda: self._gate.handle_answer(answer))
            return
        member = self._members.members.get(name)
        if member is not None:
            self._peers.send(question, [member.peer_address])

    def _handle_question(self, question: QuotaQuestion, sender: str) -> None:
        self._peers.send(self._grantor.answer_question(question, self._loop.now()), [sender])

    def _handle_answer(self, answer: QuotaAnswer, _sender: str) -> None:
        self._gate.handle_answer(answer)
