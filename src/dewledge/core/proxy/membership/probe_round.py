"""One probe after the other: a direct ping, then indirect ones through others, then suspicion."""

from random import Random

from dewledge.core.proxy.membership.messages import News, Ping, PingRequest
from dewledge.core.proxy.membership.outbox import Outbox
from dewledge.core.proxy.membership.probe import Prober
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.membership.table import MemberTable
from dewledge.core.proxy.membership.view import MemberView


class ProbeRound:
    """Sends what the prober plans, and suspects who answered nobody."""

    def __init__(
        self,
        prober: Prober,
        table: MemberTable,
        view: MemberView,
        outbox: Outbox,
        settings: MembershipSettings,
        random: Random,
    ) -> None:
        self._prober = prober
        self._table = table
        self._view = view
        self._outbox = outbox
        self._settings = settings
        self._random = random

    def next_deadline(self) -> float:
        """Returns when `tick` is next due."""
        probe = self._prober.current
        return self._prober.next_at if probe is None else min(probe.indirect_at, probe.ends_at)

    def tick(self, now: float) -> None:
        """Ends the probe that is under way, has others ask, or begins the next one."""
        probe = self._prober.current
        if probe is not None and now >= probe.ends_at:
            target = self._prober.fail(now)
            if target is not None:
                self._suspect(target.name, now)
        elif probe is not None and now >= probe.indirect_at:
            probe.indirect_at = probe.ends_at
            helpers = self._table.random_living(
                self._random, self._view.me.name, self._settings.indirect_probes + 1
            )
            helpers = [item for item in helpers if item.name != probe.target.name]
            for helper in helpers[: self._settings.indirect_probes]:
                request = PingRequest(probe.sequence, probe.target.name)
                self._outbox.send(helper.gossip_address, request, now)
                probe.asked += 1
        if self._prober.current is None and now >= self._prober.next_at:
            self._begin_probe(now)

    def _begin_probe(self, now: float) -> None:
        probe = self._prober.begin(self._table, now)
        if probe is not None:
            ping = Ping(probe.sequence, probe.target.name)
            doubts = self._view.doubts_about(probe.target.name)
            self._outbox.send(probe.target.gossip_address, ping, now, doubts)

    def _suspect(self, name: str, now: float) -> None:
        member = self._table.get(name)
        if member is not None and not member.is_gone:
            self._outbox.log("member_suspect", member=name, zone=member.zone)
            self._view.suspect(member, now)
            doubts = self._view.doubts_about(name)
            self._outbox.send_alone(member.gossip_address, News(), doubts)
