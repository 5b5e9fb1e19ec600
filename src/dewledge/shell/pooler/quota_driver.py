"""Runs a process's admission and its part in granting on the event loop and the datagrams.

Owns the gate and the grantor of the process and their timer. Relies on the member table for whom
to ask and at which address, and on the configuration in force for the limits. A question to this
process itself goes to its own grantor without a datagram.
"""

from dewledge.core.pooler.rate_limits.gate import QuotaGate
from dewledge.core.pooler.rate_limits.grantor import Grantor
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.core.pooler.rate_limits.slot_voters import SEARCH_SPACING_SECONDS
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.observing.event_log import EventLog
from dewledge.shell.pooler.tables.member_table import MemberTable
from dewledge.shell.shared.event_loop import EventLoop


class QuotaDriver:
    """All methods belong to the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        policy: QuotaPolicy,
        services: PoolServices,
        members: MemberTable,
        peers: PeerSocket,
        log: EventLog,
    ) -> None:
        self._loop = loop
        self._own_name = own_name
        self._members = members
        self._peers = peers
        self._gate = QuotaGate(
            services.scheduler, own_name, policy, self._send, services.scheduler.now()
        )
        self._grantor = Grantor(own_name, policy, log.record)
        services.admission = self._gate
        self._services = services
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

    def configuration_changed(self) -> None:
        """Takes the limits of the configuration in force."""
        limits = self._services.routes.rate_limits
        self._gate.set_limits(limits)
        self._grantor.set_limits(limits)

    def _tick(self) -> None:
        again = self._gate.tick() if self._members.is_known else SEARCH_SPACING_SECONDS
        self._loop.call_later(again, self._tick)

    def _send(self, name: str, question: QuotaQuestion) -> None:
        if name == self._own_name:
            answer = self._grantor.take_question(question, self._loop.now())
            self._loop.call_later(0.0, lambda: self._gate.take_answer(answer))
            return
        member = self._members.members.get(name)
        if member is not None:
            self._peers.send(question, [member.peer_address])

    def _take_question(self, question: QuotaQuestion, sender: str) -> None:
        self._peers.send(self._grantor.take_question(question, self._loop.now()), [sender])

    def _take_answer(self, answer: QuotaAnswer, _sender: str) -> None:
        self._gate.take_answer(answer)
