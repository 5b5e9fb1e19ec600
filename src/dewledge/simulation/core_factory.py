"""Builds the decision core of a simulated proxy, as the daemon does."""

from random import Random

from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.membership.member import Member

SESSION_KEY = b"the simulation's session key"


def session_codec() -> SessionTokenCodec:
    """Returns the codec that all simulated proxies share."""
    return SessionTokenCodec([SESSION_KEY])


def make_core(me: Member, settings: ProxyCoreSettings, random: Random) -> ProxyCore:
    """Returns a new core."""
    return ProxyCore(me, settings, session_codec(), random)
