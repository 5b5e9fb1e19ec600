"""One proxy as one state machine: entry, gateway, membership and configuration put together.

The daemon, the simulator and embedding programs drive it alike: give it an event and `now`, carry
out the effects it returns.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.assembly.parts import ProxyCoreSettings, ProxyParts
from dewledge.core.proxy.assembly.router import ProxyRouter
from dewledge.core.proxy.calls import CallerRequest, Outcome
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.store import (
    ProposalFinished,
    ProposedChange,
    StoreCaller,
    StoreResult,
)
from dewledge.core.proxy.effects import SendToPeer
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.core.proxy.jobs import JobResult, StatusReading
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.messages import Leaving, PeerMessage
from dewledge.core.proxy.ports import MachineState
from dewledge.errors import ErrorCode

MAX_PEERS_TOLD_OF_LEAVING = 64
"""Peers told directly that this proxy leaves; the others learn it from membership and redirects."""


class ProxyCore:
    """The whole decision core of one proxy. Every event returns the effects to carry out."""

    def __init__(
        self,
        me: Member,
        settings: ProxyCoreSettings,
        session_codec: SessionTokenCodec,
        random: Random,
    ) -> None:
        self.me = me.name
        self._random = random
        self._parts = ProxyParts(me, settings, session_codec, random)
        self._timed = self._parts.timed
        self._router = ProxyRouter(self._parts)
        self.is_leaving = False

    # What the shell may ask.

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self._router.configuration

    @property
    def policy(self) -> AccessPolicy:
        """Who may do what, under the configuration in force."""
        return self._router.policy

    @property
    def placement(self) -> GatewayPlacement:
        """Which proxy is gateway of which database, as seen here."""
        return self._router.placement

    @property
    def members(self) -> tuple[Member, ...]:
        """The members that are not gone, this one included, sorted by name."""
        return self._parts.membership.members

    @property
    def has_configuration(self) -> bool:
        """Whether any revision has been learned: before that, nothing can be served."""
        return self.configuration.revision > 0

    @property
    def is_serving(self) -> bool:
        """Whether new work was taken as of the latest event."""
        return self._router.is_serving and not self.is_leaving

    @property
    def is_idle(self) -> bool:
        """Whether neither entry nor gateway has anything unfinished."""
        return self._parts.entry.in_flight == 0 and self._parts.gateway.is_idle

    def database_reports(self) -> tuple[DatabaseReport, ...]:
        """Returns the figures of the databases this proxy is gateway of, or stands by for."""
        return self._parts.gateway.reports()

    @property
    def in_flight(self) -> int:
        """The callers' requests taken and not yet answered."""
        return self._parts.entry.in_flight

    # Start, time and end.

    def start(self, seeds: Iterable[str], now: float) -> list[ProxyEffect]:
        """Begins to take part. seeds: gossip addresses, which may be out of date."""
        known_seeds = tuple(seeds)
        effects: list[Any] = self._router.put_in_force(now)
        effects += self._parts.membership.start(known_seeds, now)
        effects += self._parts.poller.start(bool(known_seeds), now)
        effects += self._parts.machine_list.start(now)
        effects += self._router.check_serving(now)
        return self._router.finish(effects, now)

    def tick(self, now: float) -> list[ProxyEffect]:
        """Does what is due. Call it at `next_wake`, or earlier without harm."""
        return self._handle(now, self._tick)

    def next_wake(self) -> float | None:
        """Returns when `tick` is next due, or None."""
        wakes = [wake for part in self._timed if (wake := part.next_wake()) is not None]
        return min(wakes, default=None)

    def leave(self, now: float) -> list[ProxyEffect]:
        """Begins a planned stop: no new work, gateway roles handed over, the rest finished."""
        self.is_leaving = True
        return self._handle(now, self._leave)

    def stop(self, now: float) -> list[ProxyEffect]:
        """Announces the end of the process; the last call."""
        return self._router.finish(self._parts.membership.stop(now), now)

    # Events from callers and operators.

    def handle_call(self, request: CallerRequest, now: float) -> list[ProxyEffect]:
        """Takes one caller's request; ends with one AnswerCaller."""
        return self._handle(now, self._parts.entry.handle_call, request)

    def handle_caller_gone(self, request_id: int, now: float) -> list[ProxyEffect]:
        """Notes that a caller no longer waits for its answer."""
        return self._handle(now, self._parts.entry.handle_caller_gone, request_id)

    def propose(self, change: ProposedChange, now: float) -> list[ProxyEffect]:
        """Asks for a change of configuration; ends with one ProposalFinished."""
        if not self._parts.isolation.may_accept(now):
            message = "this proxy does not reach a majority of its peers"
            code = ErrorCode.NO_MAJORITY
            return [ProposalFinished(change.change_id, Outcome.NOT_RUN, None, code, message)]
        return self._handle(now, self._parts.acceptance.propose, change, self.configuration)

    def look_up_change(self, change_id: str, now: float) -> list[ProxyEffect]:
        """Asks the store whether a change stands; ends with one ChangeLookedUp."""
        return self._handle(now, self._parts.acceptance.look_up, change_id)

    # Events from peers.

    def handle_peer_message(self, peer: str, message: PeerMessage, now: float) -> list[ProxyEffect]:
        """Takes a message from a peer's link."""
        return self._handle(now, self._router.deliver, peer, message)

    def handle_peer_connected(self, peer: str, incarnation: int, now: float) -> list[ProxyEffect]:
        """Notes a link on which `peer` will send requests, and which process of it that is."""
        return self._handle(now, self._parts.gateway.handle_peer_connected, peer, incarnation)

    def handle_outbound_lost(
        self, peer: str, unsent_requests: Iterable[int], now: float
    ) -> list[ProxyEffect]:
        """Notes the end of the link for requests to `peer`.

        unsent_requests: correlations of statement requests of which no byte had left.
        """
        return self._handle(now, self._outbound_lost, peer, unsent_requests)

    def handle_requests_unsent(
        self, peer: str, unsent_requests: Iterable[int], now: float
    ) -> list[ProxyEffect]:
        """Notes that requests to `peer` never left, and nothing of the others sent to it.

        unsent_requests: their correlations; none if it was another message that could not leave.
        """
        return self._handle(
            now, self._parts.entry.handle_requests_unsent, peer, tuple(unsent_requests)
        )

    def handle_inbound_lost(self, peer: str, now: float) -> list[ProxyEffect]:
        """Notes the end of the link that brought requests from `peer`."""
        return self._handle(now, self._parts.gateway.handle_peer_lost, peer)

    def handle_datagram(self, data: bytes, address: str, now: float) -> list[ProxyEffect]:
        """Takes a datagram of membership."""
        outward = self._handle(now, self._parts.membership.handle_datagram, data, address)
        # Only now is it known whether the sender has a later configuration.
        self._router.note_members(now)
        return outward

    # Events from the platform and the databases.

    def handle_machine_list(
        self, machines: tuple[MachineState, ...] | None, now: float
    ) -> list[ProxyEffect]:
        """Takes the answer to ReadMachineList; None if there was none."""
        self._parts.machine_list.handle_answer(len(self.members), now)
        if machines is None:
            return []
        return self._handle(now, self._parts.membership.update_machine_list, machines)

    def handle_store_result(self, result: StoreResult, now: float) -> list[ProxyEffect]:
        """Takes the result of a StoreCall."""
        is_poll = result.caller is StoreCaller.POLLER
        caller = self._parts.poller if is_poll else self._parts.acceptance
        return self._handle(now, caller.handle_store_result, result)

    def handle_connection_opened(self, connection_id: int, now: float) -> list[ProxyEffect]:
        """Notes that a back-end connection is open."""
        return self._handle(now, self._parts.gateway.handle_connection_opened, connection_id)

    def handle_connection_failed(
        self, connection_id: int, code: ErrorCode, now: float
    ) -> list[ProxyEffect]:
        """Notes that a back-end connection could not be opened."""
        return self._handle(now, self._parts.gateway.handle_connection_failed, connection_id, code)

    def handle_job_result(self, result: JobResult, now: float) -> list[ProxyEffect]:
        """Takes the result of a job."""
        return self._handle(now, self._parts.gateway.handle_job_result, result)

    def handle_status_reading(
        self, round_id: int, reading: StatusReading, now: float
    ) -> list[ProxyEffect]:
        """Takes one reading of a status round."""
        return self._handle(now, self._parts.gateway.handle_status_reading, round_id, reading)

    # Parts of the above.

    def _handle(
        self, now: float, handler: Callable[..., Iterable[Any]], *arguments: Any
    ) -> list[ProxyEffect]:
        """The way of every event but `start` and `stop`.

        Any of them may be the first after a freeze, so what it leads to must find out beforehand
        that the contacts are stale: the database that it would begin work on may be drained by now.
        """
        effects: list[Any] = self._router.check_serving(now)
        effects += handler(*arguments, now)
        return self._router.finish(effects, now)

    def _tick(self, now: float) -> list[Any]:
        effects: list[Any] = []
        for part in self._timed:
            wake = part.next_wake()
            if wake is not None and wake <= now:
                effects += part.tick(now)
        self._router.note_members(now)
        effects += self._router.check_serving(now)
        return effects

    def _leave(self, now: float) -> list[Any]:
        effects: list[Any] = list(self._parts.membership.leave(now))
        effects += [SendToPeer(peer, Leaving(self.me)) for peer in self._peers_to_tell()]
        effects += self._parts.entry.leave(now)
        effects += self._parts.gateway.leave(now)
        return effects

    def _outbound_lost(self, peer: str, unsent_requests: Iterable[int], now: float) -> list[Any]:
        entry = self._parts.entry
        effects: list[Any] = list(entry.handle_requests_unsent(peer, tuple(unsent_requests), now))
        effects += entry.handle_peer_lost(peer, now)
        effects += self._parts.membership.note_peer_lost(peer, now)
        return effects

    def _peers_to_tell(self) -> list[str]:
        peers = [member.name for member in self.members if member.name != self.me]
        if len(peers) <= MAX_PEERS_TOLD_OF_LEAVING:
            return peers
        return self._random.sample(peers, MAX_PEERS_TOLD_OF_LEAVING)
