"""Connects the parts of one proxy: what one part reports is told to the others that need it.

What the proxy sends to its own name is routed inwards, without a link.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.assembly.parts import ProxyParts
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.spread import ConfigurationChanged
from dewledge.core.proxy.configuration.store import (
    HEAD_KEY,
    ConfigurationLearned,
    ProposalFinished,
    ReadRow,
    StoreCall,
    StoreCaller,
    StoreReached,
)
from dewledge.core.proxy.effects import LogEvent, SendToPeer
from dewledge.core.proxy.membership.member import Member, MemberState
from dewledge.core.proxy.membership.messages import (
    MembersChanged,
    PeerRevisionSeen,
    StoreContactSeen,
)
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.messages import (
    CancelRequest,
    ConfigurationDelta,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSnapshotMessage,
    GroupStatusAnswer,
    GroupStatusRequest,
    Leaving,
    PeerMessage,
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)

InwardHandler = Callable[[Any, float], Iterable[Any]]


class ProxyRouter:
    """Routes effects and messages between the parts of one proxy.

    configuration, policy, placement: those in force in all parts.
    """

    def __init__(self, parts: ProxyParts) -> None:
        self._parts = parts
        self._me = parts.me.name
        self._outward: list[ProxyEffect] = []
        self._leaving_peers: dict[str, int] = {}
        self._poll_began = 0.0
        self._serving: bool | None = None
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.policy = self._make_policy()
        self.placement = GatewayPlacement((parts.me,), EMPTY_CONFIGURATION)
        self._effect_handlers: dict[type, InwardHandler] = {
            SendToPeer: self._send,
            MembersChanged: self._members_changed,
            PeerRevisionSeen: self._peer_revision_seen,
            StoreContactSeen: self._store_contact_seen,
            ConfigurationChanged: self._configuration_changed,
            ConfigurationLearned: self._configuration_learned,
            StoreReached: self._store_reached,
            StoreCall: self._store_call,
            ProposalFinished: self._proposal_finished,
        }
        self._message_handlers: dict[type, Callable[[str, Any, float], Iterable[Any]]] = {
            StatementRequest: self._statement_request,
            CancelRequest: parts.gateway.handle_cancel,
            GroupStatusRequest: parts.gateway.handle_group_status_request,
            StatementDone: parts.entry.handle_peer_message,
            StatementNotRun: parts.entry.handle_peer_message,
            StatementUnknown: parts.entry.handle_peer_message,
            GroupStatusAnswer: parts.entry.handle_peer_message,
            ConfigurationRequest: parts.spread.handle_peer_message,
            ConfigurationDelta: parts.spread.handle_peer_message,
            ConfigurationSnapshotMessage: parts.spread.handle_peer_message,
            ConfigurationDigest: parts.spread.handle_peer_message,
            Leaving: self._peer_leaves,
        }

    @property
    def is_serving(self) -> bool:
        """Whether new work was taken as of the latest check."""
        return bool(self._serving)

    def finish(self, effects: Iterable[Any], now: float) -> list[ProxyEffect]:
        """Feeds back what concerns the parts, and returns what concerns the outside."""
        waiting = deque(effects)
        while waiting:
            effect = waiting.popleft()
            handler = self._effect_handlers.get(type(effect))
            if handler is None:
                self._outward.append(effect)
            else:
                waiting.extend(handler(effect, now))
        outward, self._outward = self._outward, []
        return outward

    def deliver(self, peer: str, message: PeerMessage, now: float) -> Iterable[Any]:
        """Hands a peer's message to the part it is for."""
        handler = self._message_handlers.get(type(message))
        if handler is None:
            return (LogEvent("message_not_expected", (("peer", peer),)),)
        return handler(peer, message, now)

    def put_in_force(self, now: float) -> list[Any]:
        """Gives the parts the configuration, policy and placement of this moment."""
        members = self._known_members()
        self.placement = GatewayPlacement(members, self.configuration, self.placement)
        in_force = (self.configuration, self.policy, self.placement)
        effects: list[Any] = []
        effects += self._parts.gateway.set_configuration(*in_force, now)
        effects += self._parts.entry.set_configuration(*in_force, now)
        return effects

    def check_serving(self, now: float) -> list[Any]:
        """Tells entry and gateway when contact with store and peers is lost or back."""
        serving = self._parts.isolation.may_serve(now)
        if serving == self._serving:
            return []
        self._serving = serving
        age = round(self._parts.isolation.age(now), 3)
        event = LogEvent("serving_changed", (("serving", str(serving)), ("contact_age", age)))
        effects: list[Any] = [event]
        effects += self._parts.entry.set_serving(serving, now)
        effects += self._parts.gateway.set_serving(serving, now)
        return effects

    def note_members(self, now: float) -> None:
        """Tells the isolation guard how much of the membership is within reach.

        Contact with peers that are known to have a later configuration proves nothing.
        """
        membership = self._parts.membership
        reachable = 0 if self._parts.spread.is_behind else membership.reachable_count
        self._parts.isolation.note_members(reachable, membership.known_count, now)

    # Effects that concern other parts.

    def _send(self, effect: SendToPeer, now: float) -> Iterable[Any]:
        if effect.peer == self._me:
            return self.deliver(self._me, effect.message, now)
        self._outward.append(effect)
        return ()

    def _members_changed(self, effect: MembersChanged, now: float) -> Iterable[Any]:
        self._outward.append(effect)
        effects: list[Any] = self.put_in_force(now)
        effects += self._parts.spread.set_members(effect.members, now)
        names = [item.name for item in effect.members]
        effects += self._parts.poller.set_members(names, now)
        return effects

    def _peer_revision_seen(self, effect: PeerRevisionSeen, now: float) -> Iterable[Any]:
        return self._parts.spread.handle_peer_revision(effect.peer, effect.revision, now)

    def _store_contact_seen(self, effect: StoreContactSeen, _now: float) -> Iterable[Any]:
        if self.configuration.revision >= effect.revision:
            self._parts.isolation.note_store_contact(effect.at)
        return ()

    def _store_call(self, effect: StoreCall, now: float) -> Iterable[Any]:
        if effect.caller is StoreCaller.POLLER and effect.operation == ReadRow(HEAD_KEY):
            self._poll_began = now
        self._outward.append(effect)
        return ()

    def _store_reached(self, _effect: StoreReached, _now: float) -> Iterable[Any]:
        self._parts.isolation.note_store_contact(self._poll_began)
        self._parts.membership.note_store_contact(self._poll_began)
        return ()

    def _configuration_learned(self, effect: ConfigurationLearned, now: float) -> Iterable[Any]:
        effects: list[Any] = []
        for change in effect.changes:
            if change.revision == self._parts.spread.configuration.revision + 1:
                effects += self._parts.spread.adopt_change(change, now)
        return [*effects, *self._parts.spread.adopt_snapshot(effect.configuration, now)]

    def _proposal_finished(self, effect: ProposalFinished, now: float) -> Iterable[Any]:
        self._outward.append(effect)
        if effect.outcome is not Outcome.DONE or effect.change is None:
            return ()
        return self._parts.spread.adopt_change(effect.change, now)

    def _configuration_changed(self, effect: ConfigurationChanged, now: float) -> Iterable[Any]:
        if effect.configuration.revision <= self.configuration.revision:
            return ()
        self.configuration = effect.configuration
        self.policy = self._make_policy()
        self._parts.membership.local_revision = self.configuration.revision
        self._parts.poller.note_configuration(self.configuration)
        self._outward.append(effect)
        return self.put_in_force(now)

    # Messages that are not for one part alone.

    def _statement_request(self, peer: str, request: StatementRequest, now: float) -> Iterable[Any]:
        return self._parts.gateway.handle_request(peer, request, now)

    def _peer_leaves(self, peer: str, _message: Leaving, now: float) -> Iterable[Any]:
        for member in self._parts.membership.members:
            if member.name == peer:
                self._leaving_peers[peer] = member.incarnation
        return self.put_in_force(now)

    def _known_members(self) -> tuple[Member, ...]:
        """Returns the members, those that said so themselves as leaving."""
        members = self._parts.membership.members or (self._parts.me,)
        if not self._leaving_peers:
            return members
        return tuple(
            msgspec.structs.replace(member, state=max(member.state, MemberState.LEAVING))
            if self._leaving_peers.get(member.name) == member.incarnation
            else member
            for member in members
        )

    def _make_policy(self) -> AccessPolicy:
        digest = self._parts.settings.bootstrap_operator_token_sha256
        return AccessPolicy(self.configuration, digest)
