"""What membership answers to each kind of datagram."""

from dewledge.core.proxy.membership.contact import ContactPings
from dewledge.core.proxy.membership.join import Joiner
from dewledge.core.proxy.membership.member import claim_of
from dewledge.core.proxy.membership.messages import (
    Ack,
    Envelope,
    Nack,
    PeerRevisionSeen,
    Ping,
    PingRequest,
    PullAnswer,
    PullRequest,
    StoreContactSeen,
    SyncAnswer,
    SyncRequest,
)
from dewledge.core.proxy.membership.outbox import Outbox
from dewledge.core.proxy.membership.probe import Prober
from dewledge.core.proxy.membership.relay import Relay, RelayBook
from dewledge.core.proxy.membership.settings import MembershipSettings, direct_probe_time
from dewledge.core.proxy.membership.sync import TableSync
from dewledge.core.proxy.membership.view import MemberView

NEVER = float("-inf")
NO_SEQUENCE = -1
"""Number that no ping has as its sequence number; those in use are not negative."""


class MembershipDialogue:
    """Takes in envelopes and answers them.

    store_contact: when the store last confirmed our revision, as far as we know.
    """

    def __init__(
        self,
        view: MemberView,
        outbox: Outbox,
        prober: Prober,
        sync: TableSync,
        joiner: Joiner,
        contact_pings: ContactPings,
        settings: MembershipSettings,
    ) -> None:
        self.store_contact = NEVER
        self._reconnect_sequence = NO_SEQUENCE
        self._contact_pings = contact_pings
        self._view = view
        self._outbox = outbox
        self._prober = prober
        self._sync = sync
        self._joiner = joiner
        self._settings = settings
        self._relays = RelayBook()

    def handle(self, envelope: Envelope, address: str, now: float) -> None:
        """Takes in the claims of a datagram, then its body."""
        refutations = self._view.refutations
        for claim in envelope.claims:
            self._view.take(claim, now)
        refuted = self._view.refutations > refutations
        if refuted:
            self._prober.health.change(1)
        self._handle_body(envelope, address, refuted, now)
        if self._view.table.get(envelope.sender) is not None:
            self._note_revision(envelope)

    def expire_relays(self, now: float) -> None:
        """Tells those who asked for a ping that it was not answered."""
        for relay in self._relays.expire(now):
            self._outbox.send(relay.address, Nack(relay.sequence), now)

    def begin_reconnect(self) -> int:
        """Returns the sequence number for a ping to a member that is gone.

        Its answer is followed by an exchange of tables.
        """
        self._reconnect_sequence = self._prober.next_sequence()
        return self._reconnect_sequence

    def next_deadline(self) -> float:
        """Returns when the next relayed ping is late, or infinity."""
        return self._relays.next_deadline()

    def _handle_body(self, envelope: Envelope, address: str, refuted: bool, now: float) -> None:
        match envelope.body:
            case Ping() as ping:
                self._answer_ping(ping, envelope.sender, address, refuted, now)
            case Ack() as ack:
                self._take_ack(ack, envelope, address, now)
            case PingRequest() as request:
                self._relay(request, address, now)
            case Nack(sequence=sequence):
                self._prober.refuse(sequence)
            case PullRequest() as request:
                self._sync.answer_pull(request, address)
            case PullAnswer() as answer:
                self._take_pull(answer, now)
            case SyncRequest() as request:
                self._sync.answer_sync(request, address, self._prober.next_sequence())
            case SyncAnswer() as answer:
                for member in self._sync.take_sync(answer, address, now):
                    self._prober.hurry(member.name)
            case _:
                pass

    def _note_revision(self, envelope: Envelope) -> None:
        if envelope.revision != self._outbox.revision:
            self._outbox.add(PeerRevisionSeen(envelope.sender, envelope.revision))

    def _answer_ping(
        self, ping: Ping, sender: str, address: str, refuted: bool, now: float
    ) -> None:
        if ping.target != self._view.me.name:
            return
        first = self._view.doubts_about(sender)
        if refuted:
            first += (claim_of(self._view.me),)
        age = None if self.store_contact == NEVER else max(0.0, now - self.store_contact)
        self._outbox.send(address, Ack(ping.sequence, age), now, first)

    def _take_ack(self, ack: Ack, envelope: Envelope, address: str, now: float) -> None:
        probe = self._prober.acknowledge(ack.sequence, now)
        if probe is not None:
            self._view.note_answer(probe.target.name)
            if ack.store_age is not None and envelope.sender == probe.target.name:
                self._note_store_contact(probe.sent_at - ack.store_age, envelope.revision)
            return
        contact = self._contact_pings.answered(ack.sequence, now)
        relay = self._relays.answered(ack.sequence)
        if contact is not None and contact.name == envelope.sender:
            self._prober.contacts.note_extra(contact.name, now)
            if ack.store_age is not None:
                self._note_store_contact(contact.sent_at - ack.store_age, envelope.revision)
        elif relay is not None:
            self._outbox.send(relay.address, Ack(relay.sequence), now)
        elif ack.sequence == self._reconnect_sequence:
            self._reconnect_sequence = NO_SEQUENCE
            self._sync.request(address)

    def _note_store_contact(self, at: float, revision: int) -> None:
        """Counts a peer's word from the store, if we hold what the store held then.

        `at` is reckoned from when our ping was sent, so delays on the way only make it older.
        """
        if at > self.store_contact and revision <= self._outbox.revision:
            self.store_contact = at
            self._outbox.add(StoreContactSeen(at, revision))

    def _relay(self, request: PingRequest, address: str, now: float) -> None:
        target = self._view.table.get(request.target)
        sequence = self._prober.next_sequence()
        deadline = now + direct_probe_time(self._settings)
        relay = Relay(address, request.sequence, deadline)
        if target is None or target.is_gone or not self._relays.add(sequence, relay):
            self._outbox.send(address, Nack(request.sequence), now)
            return
        doubts = self._view.doubts_about(target.name)
        self._outbox.send(target.gossip_address, Ping(sequence, target.name), now, doubts)

    def _take_pull(self, answer: PullAnswer, now: float) -> None:
        if answer.sequence != self._joiner.sequence or self._joiner.is_done:
            return
        self._sync.take_pull(answer, now)
        after = answer.entries[-1].name if answer.entries else self._joiner.after
        sequence = self._prober.next_sequence()
        address = self._joiner.advance(after, answer.complete, sequence, now)
        if address is None:
            self._outbox.log("membership_joined", members=self._view.table.living_count)
            return
        claims = (claim_of(self._view.me, with_location=True),)
        self._outbox.send_alone(address, PullRequest(sequence, after), claims)
