"""Keeps this process's rights to use primaries: its word on claims, told, asked for and vouched."""

from collections.abc import Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow, StoreWrite
from dewledge.core.pooler.failover.messages import Claim, ClaimKnown
from dewledge.core.pooler.failover.primary_lease import Fencing
from dewledge.core.pooler.failover.quorum_confirmation import (
    ConfirmationAnswer,
    ConfirmationQuestion,
    QuorumConfirmation,
)
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.links.peer_messages import ClaimAnswer, ClaimNotice
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.tables.coordination_rows import (
    KNOWN_PREFIX,
    TABLE,
    KnownValue,
    encode_value,
    read_known,
)
from dewledge.shell.pooler.tables.member_table import MemberTable

TICK_SECONDS = 0.1
TELL_STORE_AFTER_SECONDS = 0.25
"""A holder that asks directly has done so by then; else the store carries the answer."""


class ClaimKeeper:
    """All methods belong to the loop's thread; the store's calls run on the executor."""

    def __init__(self, context: FailoverContext, members: MemberTable, peers: PeerSocket) -> None:
        self._context = context
        self._own_name = context.own_name
        self._leases = context.leases
        self._groups = context.groups
        self._members = members
        self._peers = peers
        self._events = context.claim_events
        self._confirmation = QuorumConfirmation(context.own_name)
        self._told: dict[str, int] = {}
        """The tokens of which the holder has been told directly, by group."""
        self._known_versions: dict[str, int] = {}
        self._lapsed: set[str] = set()
        self._stopped = False
        self._events.learned.add(self._claim_learned)
        self._events.to_send.add(self._send_to)
        peers.on(ClaimNotice, self._take_notice)
        peers.on(ClaimAnswer, self._take_answer)
        peers.on(ConfirmationQuestion, self._take_question)
        peers.on(ConfirmationAnswer, self._take_confirmation)

    def start(self) -> None:
        """Starts to look after the rights, where the platform does not fence."""
        if self._leases.fencing is Fencing.PROCESSES:
            self._tick()

    def stop(self) -> None:
        """Asks for no more."""
        self._stopped = True

    def store_confirmed(self, at: float) -> None:
        """At `at` the store held no claim that this process does not know.

        Counts only for a process with a row of its own: holders of claims wait for those.
        """
        if self._members.is_registered:
            self._leases.confirm_all(at)
            for group in self._groups.values():
                group.right_confirmed()

    def take_rows(self, rows: Sequence[StoreRow]) -> None:
        """Takes what processes told through the store."""
        for row in rows:
            if not row.key.startswith(KNOWN_PREFIX):
                continue
            if row.key.endswith(f"/{self._own_name}"):
                self._known_versions[row.key] = 0 if row.gone else row.version
            known = None if row.gone else read_known(row)
            if known is not None:
                self._events.known.tell(known.group, ClaimKnown(known.process, known.token))

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._context.loop.now()
        inquiry = self._confirmation.ask(self._leases.by_group, now)
        if inquiry is not None:
            addresses = self._members.addresses
            known = [addresses[name] for name in inquiry.voters if name in addresses]
            self._peers.send(inquiry.question, known)
        self._log_lapses(now)
        self._context.loop.call_later(TICK_SECONDS, self._tick)

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

    def _claim_learned(self, group: str, claim: Claim) -> None:
        """A claim is news: its holder is told that it is known, at last through the store."""
        logger.bind(
            group=group,
            holder=claim.holder,
            replaced=claim.replaced,
            leader="any" if claim.leader is None else claim.leader,
            ordered=claim.ordered,
            token=claim.fencing_token,
        ).info("claim_known")
        if claim.leader is not None and claim.holder != self._own_name:
            delay = TELL_STORE_AFTER_SECONDS
            self._context.loop.call_later(
                delay, lambda: self._tell_store(group, claim.fencing_token)
            )

    def _send_to(self, group: str, processes: Sequence[str]) -> None:
        """Sends the newest claim on a group to some processes."""
        addresses = self._members.addresses
        self._send_claim(group, [addresses[name] for name in processes if name in addresses])

    def _send_claim(self, group: str, addresses: Sequence[str]) -> None:
        claim = self._leases.of(group).claim
        if claim is not None and addresses:
            self._peers.send(ClaimNotice(self._own_name, group, claim), addresses)

    def _take_notice(self, notice: ClaimNotice, sender: str) -> None:
        lease = self._leases.of(notice.group)
        if notice.claim.fencing_token > lease.fencing_token:
            logger.bind(
                group=notice.group, token=notice.claim.fencing_token, sender=notice.sender
            ).info("claim_told")
            self._events.noticed.tell(notice.group, notice.claim)
        if lease.claim is not None and notice.sender == lease.claim.holder:
            self._told[notice.group] = lease.fencing_token
        self._peers.send(ClaimAnswer(self._own_name, notice.group, lease.fencing_token), [sender])

    def _take_answer(self, answer: ClaimAnswer, _sender: str) -> None:
        self._events.known.tell(answer.group, ClaimKnown(answer.sender, answer.token))

    def _take_question(self, question: ConfirmationQuestion, sender: str) -> None:
        answer = self._confirmation.answer(question, self._leases.by_group, self._members.members)
        if answer is None:
            return
        self._peers.send(answer, [sender])
        for group, token in question.tokens.items():
            if answer.tokens.get(group, 0) > token:
                self._send_claim(group, [sender])

    def _take_confirmation(self, answer: ConfirmationAnswer, sender: str) -> None:
        for name in self._confirmation.take(answer, self._leases.by_group):
            group = self._groups.get(name)
            if group is not None:
                group.right_confirmed()
        for name, token in answer.tokens.items():
            if name in self._leases.by_group and token < self._leases.of(name).fencing_token:
                self._send_claim(name, [sender])

    def _tell_store(self, group: str, token: int) -> None:
        if self._stopped or self._told.get(group, 0) >= token:
            return
        if self._leases.of(group).fencing_token != token:
            return
        key = f"{KNOWN_PREFIX}{group}/{self._own_name}"
        value = encode_value(KnownValue(self._own_name, group, token))
        write = StoreWrite(TABLE, key, value, self._known_versions.get(key, 0))
        self._context.executor.submit(self._write_known, write)

    def _write_known(self, write: StoreWrite) -> None:
        """Runs on the executor. If it fails the holder waits for the right to lapse."""
        try:
            self._context.store.write(write)
        except StoreError as error:
            logger.bind(key=write.key, error=error.message).info("claim_answer_not_written")
