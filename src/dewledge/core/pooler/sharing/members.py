"""A process that serves, as the others know it from its row in the store."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Where a process takes peers' datagrams and links ("ip:port"), and its zone.

    start: another for each start of the process, which so writes its row anew; empty where a row
    need not show that its process has started since, and stands from one start to the next.
    """

    peer_address: str
    zone: str = ""
    start: str = ""
