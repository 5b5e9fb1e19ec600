"""A process that serves, as the others know it."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Where a process takes peers' datagrams and links ("ip:port"), and its zone.

    start: another for each start of the process, which so writes its row anew.
    """

    peer_address: str
    zone: str = ""
    start: str = ""
