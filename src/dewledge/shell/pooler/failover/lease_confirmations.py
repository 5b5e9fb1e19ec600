"""Renews this process's leases on primaries, by reads of the store or by a quorum of voters.

Sends and answers the confirmation requests and logs expired leases;
core/pooler/failover/quorum_confirmation.py decides what answers confirm. A confirmation by the
store counts only while this process has a row in the member table, because holders of claims wait
only for processes with a row. All methods run on the loop's thread.
"""

from collections.abc import Callable, Sequence

from loguru import logger

from dewledge.core.pooler.failover.primary_lease import Fencing
from dewledge.core.pooler.failover.quorum_confirmation import (
    ConfirmationAnswer,
    ConfirmationQuestion,
    QuorumConfirmation,
)
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.tables.member_table import MemberTable

TICK_INTERVAL_SECONDS = 0.1
"""Seconds between checks whether leases need a confirmation or have expired."""


class LeaseConfirmations:
    """Renews the leases of one process and answers the confirmation requests of others."""

    def __init__(
        self,
        context: FailoverContext,
        members: MemberTable,
        peers: PeerSocket,
        send_claim: Callable[[str, Sequence[str]], None],
    ) -> None:
        """`send_claim`: sends the newest claim on a group to addresses."""
        self._loop = context.loop
        self._leases = context.leases
        self._groups = context.groups
        self._members = members
        self._peers = peers
        self._send_claim = send_claim
        self._confirmation = QuorumConfirmation(context.own_name, context.leases.eras)
        self._expired: set[str] = set()
        self._stopped = False
        peers.on(ConfirmationQuestion, self._on_question)
        peers.on(ConfirmationAnswer, self._on_answer)

    def start(self) -> None:
        """Starts to renew the leases, if fencing depends on the processes (Fencing.PROCESSES)."""
        if self._leases.fencing is Fencing.PROCESSES:
            self._tick()

    def stop(self) -> None:
        """Stops sending confirmation requests."""
        self._stopped = True

    def store_confirmed(self, at: float) -> None:
        """Confirms all leases if this process is registered in the member table.

        `at`: time at which the store held no claim unknown to this process.
        """
        if self._members.is_registered:
            self._leases.confirm_all(at)
            for group in self._groups.values():
                group.on_lease_renewed()

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._loop.now()
        inquiry = self._confirmation.next_poll(self._leases.by_group, now, self._members.members)
        if inquiry is not None:
            addresses = self._members.addresses
            voter_addresses = [addresses[name] for name in inquiry.voters if name in addresses]
            self._peers.send(inquiry.question, voter_addresses)
        self._log_expirations(now)
        self._loop.call_later(TICK_INTERVAL_SECONDS, self._tick)

    def _log_expirations(self, now: float) -> None:
        for name in self._groups:
            lease = self._leases.of(name)
            is_expired = not lease.is_confirmed(now)
            if is_expired == (name in self._expired):
                continue
            age_ms = int((now - lease.confirmed_at) * 1000) if lease.confirmed_at > 0 else -1
            logger.bind(group=name, token=lease.fencing_token, age_ms=age_ms).info(
                "lead_right_lapsed" if is_expired else "lead_right_regained"
            )
            self._expired ^= {name}

    def _on_question(self, question: ConfirmationQuestion, sender: str) -> None:
        # Learned before the answer: from then on no claim of a former era is acknowledged.
        self._leases.eras.learn(question.era, self._loop.now())
        answer = self._confirmation.answer_question(
            question, self._leases.by_group, self._members.members
        )
        if answer is not None:
            self._peers.send(answer, [sender])
        for group, fencing_token in question.tokens.items():
            lease = self._leases.by_group.get(group)
            if lease is not None and lease.fencing_token > fencing_token:
                self._send_claim(group, [sender])

    def _on_answer(self, answer: ConfirmationAnswer, sender: str) -> None:
        for name in self._confirmation.on_answer(answer, self._leases.by_group):
            group = self._groups.get(name)
            if group is not None:
                group.on_lease_renewed()
        for name, fencing_token in answer.tokens.items():
            has_lease = name in self._leases.by_group
            if has_lease and fencing_token < self._leases.of(name).fencing_token:
                self._send_claim(name, [sender])
