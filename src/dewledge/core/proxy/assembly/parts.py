"""The state machines that make up one proxy, and their settings."""

from random import Random
from typing import Any, Protocol

import msgspec

from dewledge.core.proxy.configuration.acceptance import AcceptanceSettings, ConfigurationAcceptance
from dewledge.core.proxy.configuration.poller import ConfigurationPoller, PollerSettings
from dewledge.core.proxy.configuration.spread import ConfigurationSpread, SpreadSettings
from dewledge.core.proxy.entry.entry import Entry
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.gateway.gateway import Gateway
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.membership.isolation import IsolationGuard, IsolationSettings
from dewledge.core.proxy.membership.machine_list_reader import MachineListReader
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.settings import MembershipSettings


class ProxyCoreSettings(msgspec.Struct, frozen=True):
    """Settings of the parts.

    bootstrap_operator_token_sha256: digest of a token that operates with any configuration.
    machine_list_interval: seconds between two reads of the machine list by a lone proxy.
    """

    entry: EntrySettings = EntrySettings()
    gateway: GatewaySettings = GatewaySettings()
    membership: MembershipSettings = MembershipSettings()
    spread: SpreadSettings = SpreadSettings()
    isolation: IsolationSettings = IsolationSettings()
    acceptance: AcceptanceSettings = AcceptanceSettings()
    poller: PollerSettings = PollerSettings()
    bootstrap_operator_token_sha256: str | None = None
    machine_list_interval: float = 30.0


class TimedPart(Protocol):
    """A part that wants to be called at a time."""

    def tick(self, now: float) -> list[Any]:
        """Does what is due."""

    def next_wake(self) -> float | None:
        """Returns when `tick` is next due, or None."""


class ProxyParts:
    """The parts of one proxy, not yet connected."""

    def __init__(
        self,
        me: Member,
        settings: ProxyCoreSettings,
        session_codec: SessionTokenCodec,
        random: Random,
    ) -> None:
        self.me = me
        self.settings = settings
        self.random = random
        self.entry = Entry(me.name, me.zone, settings.entry, session_codec, random)
        self.gateway = Gateway(me.name, settings.gateway, random)
        self.membership = Membership(me, settings.membership, random)
        self.spread = ConfigurationSpread(me.name, random, settings.spread)
        self.isolation = IsolationGuard(settings.isolation)
        self.acceptance = ConfigurationAcceptance(settings.acceptance, random)
        self.poller = ConfigurationPoller(me.name, settings.poller, random)
        self.machine_list = MachineListReader(settings.machine_list_interval, random)

    @property
    def timed(self) -> tuple[TimedPart, ...]:
        """The parts that are to be ticked."""
        return (
            self.entry,
            self.gateway,
            self.membership,
            self.spread,
            self.acceptance,
            self.poller,
            self.machine_list,
        )
