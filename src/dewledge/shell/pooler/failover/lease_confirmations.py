"""Keeps this process's leases on primaries confirmed: by the store's tables, else by a quorum.

Owns the questions to voters and the log of lapses; what a confirmation is worth decides
core/pooler/failover/quorum_confirmation.py. Relies on the members' table for addresses and for
whether this process has a row: a confirmation counts only for a process that holders of claims wait
for. All methods belong to the loop's thread.
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

TICK_SECONDS = 0.1
"""Seconds between two looks at the age of confirmations."""


class LeaseConfirmations:
    """The confirmations of one process, and its answers to others that ask for theirs."""

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
        self._confirmation = QuorumConfirmation(context.own_name)
        self._lapsed: set[str] = set()
        self._stopped = False
        peers.on(ConfirmationQuestion, self._take_question)
        peers.on(ConfirmationAnswer, self._take_confirmation)

    def start(self) -> None:
        """Starts to look after the leases, where the platform does not fence."""
        if self._leases.fencing is Fencing.PROCESSES:
            self._tick()

    def stop(self) -> None:
        """Asks for no more."""
        self._stopped = True

    def store_confirmed(self, at: float) -> None:
        """At `at` the store held no claim that this process does not know."""
        if self._members.is_registered:
            self._leases.confirm_all(at)
            for group in self._groups.values():
                group.on_lease_renewed()

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._loop.now()
        inquiry = self._confirmation.next_poll(self._leases.by_group, now)
        if inquiry is not None:
            addresses = self._members.addresses
            known = [addresses[name] for name in inquiry.voters if name in addresses]
            self._peers.send(inquiry.question, known)
        self._log_lapses(now)
        self._loop.call_later(TICK_SECONDS, self._tick)

    def _log_lapses(self, now: float) -> None:
        for name in self._groups:
            lease = self._leases.of(name)
            is_lapsed = not lease.is_confirmed(now)
            if is_lapsed == (name in self._lapsed):
                continue
            age_ms = int((now - lease.confirmed_at) * 1000) if lease.confirmed_at > 0 else -1
            logger.bind(group=name, token=lease.fencing_token, age_ms=age_ms).info(
                "lead_right_lapsed" if is_lapsed else "lead_right_regained"
            )
            self._lapsed ^= {name}

    def _take_question(self, question: ConfirmationQuestion, sender: str) -> None:
        answer = self._confirmation.answer_question(
            question, self._leases.by_group, self._members.members
        )
        if answer is None:
            return
        self._peers.send(answer, [sender])
        for group, fencing_token in question.tokens.items():
            if answer.tokens.get(group, 0) > fencing_token:
                self._send_claim(group, [sender])

    def _take_confirmation(self, answer: ConfirmationAnswer, sender: str) -> None:
        for name in self._confirmation.on_answer(answer, self._leases.by_group):
            group = self._groups.get(name)
            if group is not None:
                group.on_lease_renewed()
        for name, fencing_token in answer.tokens.items():
            is_known = name in self._leases.by_group
            if is_known and fencing_token < self._leases.of(name).fencing_token:
                self._send_claim(name, [sender])
