"""Sends claims (the lock rows of groups) to other processes and acknowledges claims of others.

Claims and acknowledgements travel as datagrams. If the holder of a claim has not sent it to this
process directly, the acknowledgement is written to the store as a row instead. The rules for
acknowledgements are in core/pooler/failover/claim_acknowledgements.py; leases are renewed in
lease_confirmations.py. All methods run on the loop's thread, except `_write_acknowledgement`, which
runs on the executor.
"""

from collections.abc import Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow, StoreWrite
from dewledge.core.pooler.failover.messages import Claim, ClaimAcknowledged
from dewledge.core.pooler.store_versions import combine
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.lease_confirmations import LeaseConfirmations
from dewledge.shell.pooler.links.peer_messages import ClaimAnswer, ClaimNotice
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.tables.coordination_rows import (
    ACKNOWLEDGEMENT_PREFIX,
    TABLE,
    AcknowledgementValue,
    encode_value,
    read_acknowledgement,
)
from dewledge.shell.pooler.tables.isolation import apply_each
from dewledge.shell.pooler.tables.member_table import MemberTable

STORE_FALLBACK_DELAY_SECONDS = 0.25
"""Seconds that a new claim's holder has to send it directly, before the store is used instead."""


class ClaimKeeper:
    """Exchanges claims and acknowledgements with other processes, for all groups of a process."""

    def __init__(self, context: FailoverContext, members: MemberTable, peers: PeerSocket) -> None:
        self._context = context
        self._own_name = context.own_name
        self._leases = context.leases
        self._members = members
        self._peers = peers
        self._events = context.claim_events
        self._confirmations = LeaseConfirmations(context, members, peers, self._send_claim)
        self._acknowledged_tokens: dict[str, int] = {}
        """For each group, the fencing token last acknowledged to the claim's holder by datagram."""
        self._acknowledgement_versions: dict[str, int] = {}
        """Versions of this process's acknowledgement rows in the store, by key; 0 if removed."""
        self._stopped = False
        self._events.learned.add(self._on_claim_learned)
        self._events.to_send.add(self._send_newest_claim)
        peers.on(ClaimNotice, self._on_claim_notice)
        peers.on(ClaimAnswer, self._on_claim_answer)

    def start(self) -> None:
        """Starts to renew the leases."""
        self._confirmations.start()

    def stop(self) -> None:
        """Stops renewing leases and acknowledging claims through the store."""
        self._stopped = True
        self._confirmations.stop()

    def store_confirmed(self, at: float) -> None:
        """Confirms all leases if this process is registered in the member table.

        `at`: time at which the store held no claim unknown to this process.
        """
        self._confirmations.store_confirmed(at)

    def apply_rows(self, rows: Sequence[StoreRow]) -> None:
        """Applies acknowledgements read from the store."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row: StoreRow) -> None:
        if not row.key.startswith(ACKNOWLEDGEMENT_PREFIX):
            return
        if row.key.endswith(f"/{self._own_name}"):
            self._acknowledgement_versions[row.key] = 0 if row.gone else row.version
        known = None if row.gone else read_acknowledgement(row)
        if known is not None:
            event = ClaimAcknowledged(known.process, known.token, known.holder)
            self._events.acknowledged.notify(known.group, event)

    def _on_claim_learned(self, group: str, claim: Claim) -> None:
        """Logs a newer claim and schedules its acknowledgement through the store."""
        logger.bind(
            group=group,
            holder=claim.holder,
            replaced=claim.replaced,
            leader="any" if claim.leader is None else claim.leader,
            ordered=claim.ordered,
            token=claim.fencing_token,
            term=claim.term,
            restates=claim.restates,
        ).info("claim_known")
        if claim.leader is not None and claim.holder != self._own_name:
            fencing_token = claim.fencing_token
            self._context.loop.call_later(
                STORE_FALLBACK_DELAY_SECONDS,
                lambda: self._acknowledge_through_store(group, fencing_token),
            )

    def _send_newest_claim(self, group: str, processes: Sequence[str]) -> None:
        """Sends the newest claim on a group to the named processes."""
        addresses = self._members.addresses
        self._send_claim(group, [addresses[name] for name in processes if name in addresses])

    def _send_claim(self, group: str, addresses: Sequence[str]) -> None:
        claim = self._leases.of(group).claim
        if claim is not None and addresses:
            self._peers.send(ClaimNotice(self._own_name, group, claim), addresses)

    def _on_claim_notice(self, notice: ClaimNotice, sender: str) -> None:
        lease = self._leases.of(notice.group)
        fencing_token = notice.claim.fencing_token
        if fencing_token != lease.fencing_token:
            is_accepted = lease.accepts(notice.claim)
            logger.bind(
                group=notice.group,
                token=fencing_token,
                known=lease.fencing_token,
                accepted=is_accepted,
                sender=notice.sender,
            ).info("claim_told")
            self._events.received.notify(notice.group, notice.claim)
            if not is_accepted and lease.overlooked_claim is None:
                # The sender's claim is outdated, or restates an older one than this process knows.
                self._send_claim(notice.group, [sender])
        if lease.claim is None or not lease.may_acknowledge:
            return
        if notice.sender == lease.claim.holder:
            self._acknowledged_tokens[notice.group] = lease.fencing_token
        token, holder = lease.fencing_token, lease.claim.holder
        self._peers.send(ClaimAnswer(self._own_name, notice.group, token, holder), [sender])

    def _on_claim_answer(self, answer: ClaimAnswer, _sender: str) -> None:
        event = ClaimAcknowledged(answer.sender, answer.token, answer.holder)
        self._events.acknowledged.notify(answer.group, event)

    def _acknowledge_through_store(self, group: str, fencing_token: int) -> None:
        if self._stopped or self._acknowledged_tokens.get(group, 0) >= fencing_token:
            return
        lease = self._leases.of(group)
        if lease.claim is None or lease.fencing_token != fencing_token or not lease.may_acknowledge:
            return
        key = f"{ACKNOWLEDGEMENT_PREFIX}{group}/{self._own_name}"
        holder = lease.claim.holder
        value = encode_value(AcknowledgementValue(self._own_name, group, fencing_token, holder))
        version = max(self._acknowledgement_versions.get(key, 0), combine(lease.eras.table, 0))
        write = StoreWrite(TABLE, key, value, version)
        self._context.executor.submit(self._write_acknowledgement, write)

    def _write_acknowledgement(self, write: StoreWrite) -> None:
        """Writes an acknowledgement row, on the executor.

        A failed write is only logged: the claim's holder then waits until leases have expired.
        """
        try:
            self._context.store.write(write)
        except StoreError as error:
            logger.bind(key=write.key, error=error.message).info("claim_answer_not_written")
