"""A process that serves, as the others know it."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Where a process takes peers' datagrams and links ("ip:port"), and its zone."""

    peer_address: str
    zone: str = ""
