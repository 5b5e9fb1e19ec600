"""Finding members lost from sight: the dead, maybe only cut off, and listed strangers."""

from random import Random

from dewledge.core.proxy.membership.dialogue import MembershipDialogue
from dewledge.core.proxy.membership.join import Joiner, gossip_addresses
from dewledge.core.proxy.membership.member import Member, MemberState, claim_of
from dewledge.core.proxy.membership.messages import News, Ping
from dewledge.core.proxy.membership.outbox import Outbox
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.membership.sync import TableSync
from dewledge.core.proxy.membership.table import MemberTable
from dewledge.core.proxy.ports import MachineState

FORGET_INTERVAL = 60.0
"""Seconds between two looks for members that were gone for so long that they are forgotten."""
ATTEMPTS_PER_MEMBER = 8.0
"""Attempts to reach one lost member by all others together, in each reconnect interval."""


class Reconnector:
    """Knocks at the door of members that are gone, and in the end forgets them.

    seeds: where to join anew once nobody is left. next_at: when the next attempt is due.
    """

    def __init__(
        self,
        table: MemberTable,
        outbox: Outbox,
        dialogue: MembershipDialogue,
        sync: TableSync,
        joiner: Joiner,
        settings: MembershipSettings,
        random: Random,
    ) -> None:
        self.seeds: tuple[str, ...] = ()
        self.next_at = 0.0
        self._table = table
        self._outbox = outbox
        self._dialogue = dialogue
        self._sync = sync
        self._joiner = joiner
        self._settings = settings
        self._random = random
        self._listed: dict[str, str] = {}
        self._forget_at = 0.0

    def begin(self, seeds: tuple[str, ...], now: float) -> None:
        """Takes the seeds of this process."""
        self.seeds = seeds
        self.next_at = now + self._random.random() * self._settings.reconnect_interval
        self._forget_at = now + FORGET_INTERVAL

    def update_machine_list(
        self, machines: tuple[MachineState, ...], me: Member, now: float
    ) -> None:
        """Takes the platform's lagging list; a member that is alone joins through it."""
        self._listed = gossip_addresses(machines)
        self._listed.pop(me.name, None)
        if self._table.living_count <= 1 and self._listed:
            self.seeds = tuple(sorted({*self.seeds, *self._listed.values()}))
            if self._joiner.is_done:
                self._joiner.begin(self.seeds, now)

    def tick(self, me: Member, now: float) -> None:
        """Makes the next attempt when it is due, and forgets what is long gone."""
        if now >= self.next_at:
            interval = self._settings.reconnect_interval
            self.next_at = now + interval * self._random.uniform(0.75, 1.25)
            self._attempt(me, now)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL
            self._forget(now)

    def _attempt(self, me: Member, now: float) -> None:
        strangers = [name for name in self._listed if self._table.get(name) is None]
        gone = self._table.random_gone(self._random)
        if strangers and self._is_my_turn(len(strangers)):
            address = self._listed[self._random.choice(strangers)]
            self._outbox.send_alone(address, News(), (claim_of(me, with_location=True),))
            self._sync.request(address)
        if gone is not None and gone.state is MemberState.DEAD:
            if self._is_my_turn(len(self._table.gone())):
                self._knock(gone)
        elif self._table.living_count <= 1 and self.seeds and self._joiner.is_done:
            self._joiner.begin(self.seeds, now)

    def _is_my_turn(self, lost: int) -> bool:
        """Spreads the attempts, so that one dead member is not tried by hundreds."""
        share = ATTEMPTS_PER_MEMBER * lost / max(1, self._table.living_count)
        return self._random.random() < share

    def _knock(self, member: Member) -> None:
        sequence = self._dialogue.begin_reconnect()
        ping = Ping(sequence, member.name)
        self._outbox.send_alone(member.gossip_address, ping, (claim_of(member),))

    def _forget(self, now: float) -> None:
        settings = self._settings
        for name, since in self._table.gone().items():
            listed = name in self._listed or not self._listed
            keep = settings.forget_after if listed else settings.forget_unlisted_after
            if now - since > keep:
                self._table.forget(name)
