"""Builds the decision core of a simulated proxy, as the daemon does."""

from random import Random

from dewledge.core.member import Member
from dewledge.core.proxy_core import ProxyCore
from dewledge.core.proxy_parts import ProxyCoreSettings
from dewledge.core.session_token import SessionTokenCodec

SESSION_KEY = b"the simulation's session key"


def session_codec() -> SessionTokenCodec:
    """Returns the codec that all simulated proxies share."""
    return SessionTokenCodec([SESSION_KEY])


def make_core(me: Member, settings: ProxyCoreSettings, random: Random) -> ProxyCore:
    """Returns a new core."""
    return ProxyCore(me, settings, session_codec(), random)
