"""Sends claims (the lock rows of groups) to other processes and acknowledges theirs.

Owns what was acknowledged to whom. Relies on the datagrams between processes, and on the store
where the holder of a claim cannot be reached: there the acknowledgement is a row. What the
acknowledgements decide is in core/pooler/failover/claim_acknowledgements.py;
lease_confirmations.py keeps the leases that claims end. All methods belong to the loop's thread;
the store's calls run on the executor.
"""

from collections.abc import Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow, StoreWrite
from dewledge.core.pooler.failover.messages import Claim, ClaimAcknowledged
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.lease_confirmations import LeaseConfirmations
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

STORE_AFTER_SECONDS = 0.25
"""Seconds until a claim whose holder has not asked directly is acknowledged through the store."""


class ClaimKeeper:
    """The claims of one process's groups, between it and the others."""

    def __init__(self, context: FailoverContext, members: MemberTable, peers: PeerSocket) -> None:
        self._context = context
        self._own_name = context.own_name
        self._leases = context.leases
        self._members = members
        self._peers = peers
        self._events = context.claim_events
        self._confirmations = LeaseConfirmations(context, members, peers, self._send_claim)
        self._acknowledged: dict[str, int] = {}
        """The fencing tokens that were acknowledged to the holder directly, by group."""
        self._known_versions: dict[str, int] = {}
        """The versions of this process's rows of acknowledgements, by key."""
        self._stopped = False
        self._events.learned.add(self._claim_learned)
        self._events.to_send.add(self._send_to)
        peers.on(ClaimNotice, self._take_notice)
        peers.on(ClaimAnswer, self._take_answer)

    def start(self) -> None:
        """Starts to look after the leases."""
        self._confirmations.start()

    def stop(self) -> None:
        """Asks for no more, and writes no more to the store."""
        self._stopped = True
        self._confirmations.stop()

    def store_confirmed(self, at: float) -> None:
        """At `at` the store held no claim that this process does not know."""
        self._confirmations.store_confirmed(at)

    def take_rows(self, rows: Sequence[StoreRow]) -> None:
        """Takes acknowledgements that came through the store."""
        for row in rows:
            if not row.key.startswith(KNOWN_PREFIX):
                continue
            if row.key.endswith(f"/{self._own_name}"):
                self._known_versions[row.key] = 0 if row.gone else row.version
            known = None if row.gone else read_known(row)
            if known is not None:
                self._events.known.tell(known.group, ClaimAcknowledged(known.process, known.token))

    def _claim_learned(self, group: str, claim: Claim) -> None:
        """Logs a newer claim, and acknowledges it through the store if nothing else does."""
        logger.bind(
            group=group,
            holder=claim.holder,
            replaced=claim.replaced,
            leader="any" if claim.leader is None else claim.leader,
            ordered=claim.ordered,
            token=claim.fencing_token,
        ).info("claim_known")
        if claim.leader is not None and claim.holder != self._own_name:
            fencing_token = claim.fencing_token
            self._context.loop.call_later(
                STORE_AFTER_SECONDS, lambda: self._acknowledge_by_store(group, fencing_token)
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
        fencing_token = notice.claim.fencing_token
        if fencing_token > lease.fencing_token:
            logger.bind(group=notice.group, token=fencing_token, sender=notice.sender).info(
                "claim_told"
            )
            self._events.noticed.tell(notice.group, notice.claim)
        if lease.claim is not None and notice.sender == lease.claim.holder:
            self._acknowledged[notice.group] = lease.fencing_token
        answer = ClaimAnswer(self._own_name, notice.group, lease.fencing_token)
        self._peers.send(answer, [sender])

    def _take_answer(self, answer: ClaimAnswer, _sender: str) -> None:
        self._events.known.tell(answer.group, ClaimAcknowledged(answer.sender, answer.token))

    def _acknowledge_by_store(self, group: str, fencing_token: int) -> None:
        if self._stopped or self._acknowledged.get(group, 0) >= fencing_token:
            return
        if self._leases.of(group).fencing_token != fencing_token:
            return
        key = f"{KNOWN_PREFIX}{group}/{self._own_name}"
        value = encode_value(KnownValue(self._own_name, group, fencing_token))
        write = StoreWrite(TABLE, key, value, self._known_versions.get(key, 0))
        self._context.executor.submit(self._write_known, write)

    def _write_known(self, write: StoreWrite) -> None:
        """Runs on the executor. If it fails the holder waits until the leases have lapsed."""
        try:
            self._context.store.write(write)
        except StoreError as error:
            logger.bind(key=write.key, error=error.message).info("claim_answer_not_written")
