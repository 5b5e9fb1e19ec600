"""Membership: who takes part, found out by probing, news and table exchange (SWIM and Lifeguard).

Each second a member probes one other, directly and then through helpers; whoever stays silent
becomes suspect, and dead unless it refutes. What is learnt rides on every datagram and is pushed to
a few random members while it is new. Nobody is asked by everybody and nobody keeps a special role.
"""

from collections.abc import Iterable
from random import Random

from dewledge.core.proxy.membership.broadcast import BroadcastQueue, ByteBudget
from dewledge.core.proxy.membership.contact import ContactPings
from dewledge.core.proxy.membership.dialogue import MembershipDialogue
from dewledge.core.proxy.membership.isolation import is_majority
from dewledge.core.proxy.membership.join import Joiner
from dewledge.core.proxy.membership.member import Member, MemberState, claim_of
from dewledge.core.proxy.membership.messages import (
    MembersChanged,
    MembershipEffect,
    News,
    Ping,
    PullRequest,
    decode_datagram,
)
from dewledge.core.proxy.membership.outbox import Outbox
from dewledge.core.proxy.membership.probe import Prober
from dewledge.core.proxy.membership.probe_round import ProbeRound
from dewledge.core.proxy.membership.reconnect import Reconnector
from dewledge.core.proxy.membership.settings import (
    MembershipSettings,
    estimate_reachable,
    silence_limit,
    transmit_limit,
)
from dewledge.core.proxy.membership.sync import TableSync
from dewledge.core.proxy.membership.table import MemberTable
from dewledge.core.proxy.membership.view import MemberView
from dewledge.core.proxy.ports import MachineState
from dewledge.errors import ProtocolError

LONGEST_SLEEP = 1.0
"""Seconds: `next_wake` is never further away, so that a longer gap shows a frozen process."""

FAREWELL_FANOUT = 6
"""Members that a leaving proxy tells directly; gossip tells the others."""
FAILURES_BEFORE_LOG = 10
"""Tries to join that fail before the log says so: one seed that is down is no news."""


class Membership:
    """One member's state. Give it datagrams and time, carry out the effects it returns.

    local_revision: the configuration revision in force here; shown to peers in every datagram.
    """

    def __init__(self, me: Member, settings: MembershipSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._table = MemberTable()
        budget = ByteBudget(settings.claim_bytes_per_second)
        queue = BroadcastQueue(budget, self._transmit_limit)
        self._outbox = Outbox(me.name, settings.shared_key, queue)
        self._prober = Prober(me.name, settings, random)
        self._view = MemberView(
            me, settings, self._table, queue, self._prober.include, self._prober.contacts.forget
        )
        self._probe_round = ProbeRound(
            self._prober, self._table, self._view, self._outbox, settings, random
        )
        self._sync = TableSync(self._view, self._outbox)
        self._joiner = Joiner(settings, random)
        self._contact_pings = ContactPings()
        self._dialogue = MembershipDialogue(
            self._view,
            self._outbox,
            self._prober,
            self._sync,
            self._joiner,
            self._contact_pings,
            settings,
        )
        self._reconnector = Reconnector(
            self._table, self._outbox, self._dialogue, self._sync, self._joiner, settings, random
        )
        self._has_majority = True
        self._last_call: float | None = None
        self._report_at = 0.0
        self._gossip_at = 0.0
        self._sync_at = 0.0

    @property
    def me(self) -> Member:
        """This member, with its present incarnation and state."""
        return self._view.me

    @property
    def members(self) -> tuple[Member, ...]:
        """The members that are not gone, this one included, sorted by name."""
        return self._table.living()

    @property
    def is_joined(self) -> bool:
        """Whether the table of a seed has been pulled whole, or there is no seed to ask."""
        return self._joiner.is_done

    @property
    def reachable_count(self) -> int:
        """Estimated members within reach, this one included, as of the latest call."""
        contacts = self._prober.contacts
        if (self._last_call or 0.0) - contacts.answered_at > silence_limit(self._settings):
            return 1
        return estimate_reachable(self._table.living_count, contacts.answered, contacts.asked)

    @property
    def known_count(self) -> int:
        """Members that count for a majority: all but those that announced their own end.

        Before anybody has been met, the seeds count too, so that a newcomer alone is no majority.
        """
        known = self._table.known_count
        return known if known > 1 else max(known, len(self._reconnector.seeds) + 1)

    @property
    def local_revision(self) -> int:
        """The configuration revision in force here."""
        return self._outbox.revision

    @local_revision.setter
    def local_revision(self, revision: int) -> None:
        self._outbox.revision = revision

    def note_store_contact(self, at: float) -> None:
        """Notes that the store confirmed `local_revision` as its head when asked at `at`."""
        self._dialogue.store_contact = max(self._dialogue.store_contact, at)

    def start(self, seeds: Iterable[str], now: float) -> list[MembershipEffect]:
        """Joins through `seeds` (UDP addresses, which may be out of date)."""
        settings = self._settings
        self._last_call = now
        others = tuple(seed for seed in seeds if seed != self.me.gossip_address)
        self._view.announce(self.me.state, now)
        self._joiner.begin(others, now)
        self._reconnector.begin(others, now)
        self._prober.next_at = now + self._random.random() * settings.probe_interval
        self._sync_at = now + self._random.random() * settings.sync_interval
        return self.tick(now)

    def handle_datagram(self, data: bytes, address: str, now: float) -> list[MembershipEffect]:
        """Takes in a datagram from `address`; anything malformed is dropped and logged."""
        self._observe(now)
        try:
            envelope = decode_datagram(data, self._settings.shared_key)
        except ProtocolError as error:
            self._outbox.log("datagram_dropped", address=address, reason=error.message)
            return self._outbox.drain()
        if envelope.sender != self.me.name:
            self._dialogue.handle(envelope, address, now)
        return self._finish(now)

    def tick(self, now: float) -> list[MembershipEffect]:
        """Does what is due. Call it at `next_wake`, or earlier without harm."""
        self._observe(now)
        self._probe_round.tick(now)
        self._dialogue.expire_relays(now)
        for member in self._view.expire_suspicions(now):
            self._outbox.log("member_dead", member=member.name, zone=member.zone)
        self._gossip(now)
        self._join(now)
        self._exchange(now)
        self._reconnector.tick(self.me, now)
        self._has_majority = is_majority(self.reachable_count, self.known_count)
        self._look_for_contact(now)
        return self._finish(now)

    def next_wake(self) -> float:
        """Returns when `tick` is next due."""
        times = [
            self._probe_round.next_deadline(),
            self._view.suspicions.next_deadline(),
            self._dialogue.next_deadline(),
            self._joiner.next_at,
            self._sync_at,
            self._reconnector.next_at,
        ]
        if self._view.queue:
            times.append(self._gossip_at)
        if not self._has_majority:
            times.append(self._contact_pings.next_at)
        if self._view.changed:
            times.append(self._report_at)
        if self._last_call is not None:
            times.append(self._last_call + LONGEST_SLEEP)
        return min(times)

    def update_machine_list(
        self, machines: tuple[MachineState, ...], now: float
    ) -> list[MembershipEffect]:
        """Takes the platform's lagging list as a source of seeds, never of truth."""
        self._reconnector.update_machine_list(machines, self.me, now)
        return self.tick(now)

    def note_peer_lost(self, name: str, now: float) -> list[MembershipEffect]:
        """Takes a broken link to a peer as a reason to probe it at once."""
        self._prober.hurry(name)
        if self._prober.current is None:
            self._prober.next_at = now
        return self.tick(now)

    def leave(self, now: float) -> list[MembershipEffect]:
        """Announces a planned stop; the process goes on answering until `stop`."""
        self._view.announce(MemberState.LEAVING, now)
        self._push(now, FAREWELL_FANOUT)
        return self.tick(now)

    def stop(self, now: float) -> list[MembershipEffect]:
        """Announces the end; nothing is to be called after it."""
        self._view.announce(MemberState.LEFT, now)
        self._push(now, FAREWELL_FANOUT)
        return self._outbox.drain()

    def _transmit_limit(self) -> int:
        return transmit_limit(self._settings, self._table.living_count)

    def _observe(self, now: float) -> None:
        """Notices that this process was frozen, and believes none of its older impressions."""
        last, self._last_call = self._last_call, now
        if last is None or now - last <= self._settings.pause_threshold:
            return
        self._outbox.log("process_was_paused", seconds=round(now - last, 3))
        self._prober.abandon(now)
        self._view.suspicions.restart(self._table.living_count, now)
        self._sync_at = now

    def _gossip(self, now: float) -> None:
        if not self._view.queue or now < self._gossip_at:
            return
        self._gossip_at = now + self._settings.gossip_interval
        self._push(now, self._settings.gossip_fanout)

    def _push(self, now: float, fanout: int) -> None:
        """Sends queued news to random members."""
        for member in self._table.random_living(self._random, self.me.name, fanout):
            claims = self._view.queue.take(now)
            if not claims:
                return
            self._outbox.send_alone(member.gossip_address, News(), claims)

    def _join(self, now: float) -> None:
        if self._joiner.is_done or now < self._joiner.next_at:
            return
        if self._joiner.failures == FAILURES_BEFORE_LOG:
            self._outbox.log("join_unanswered", attempts=self._joiner.failures)
        address = self._joiner.choose_seed(self._prober.next_sequence(), now)
        request = PullRequest(self._joiner.sequence, self._joiner.after)
        self._outbox.send_alone(address, request, (claim_of(self.me, with_location=True),))

    def _look_for_contact(self, now: float) -> None:
        """Pings one more member while no majority is in reach."""
        if self._has_majority or now < self._contact_pings.next_at:
            return
        self._contact_pings.next_at = now + self._settings.contact_interval
        for member in self._table.random_living(self._random, self.me.name, 1):
            sequence = self._prober.next_sequence()
            self._contact_pings.add(sequence, member.name, now)
            self._outbox.send_alone(member.gossip_address, Ping(sequence, member.name))

    def _exchange(self, now: float) -> None:
        """Compares tables with a random member."""
        if now >= self._sync_at:
            interval = self._settings.sync_interval
            self._sync_at = now + interval * self._random.uniform(0.75, 1.25)
            for member in self._table.random_living(self._random, self.me.name, 1):
                self._sync.request(member.gossip_address)

    def _finish(self, now: float) -> list[MembershipEffect]:
        if self._view.changed and now >= self._report_at:
            self._view.changed = False
            self._report_at = now + self._settings.change_report_interval
            self._outbox.add(MembersChanged(self._table.living()))
        return self._outbox.drain()
