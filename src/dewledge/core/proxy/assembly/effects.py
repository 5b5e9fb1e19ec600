"""The effects of a whole proxy: those of its parts that concern the outside."""

import msgspec

from dewledge.core.proxy.configuration.spread import ConfigurationChanged
from dewledge.core.proxy.configuration.store import ChangeLookedUp, ProposalFinished, StoreCall
from dewledge.core.proxy.effects import Effect
from dewledge.core.proxy.membership.messages import MembersChanged, SendDatagram


class ReadMachineList(msgspec.Struct, frozen=True):
    """Read the platform's machine list; reported to `ProxyCore.handle_machine_list`."""


ProxyEffect = (
    Effect
    | SendDatagram
    | MembersChanged
    | ConfigurationChanged
    | StoreCall
    | ReadMachineList
    | ProposalFinished
    | ChangeLookedUp
)
"""MembersChanged and ConfigurationChanged are told for information: addresses, metrics, waiters."""
