"""A process that serves, as the others know it from its row in the store."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """Where a process takes peers' datagrams and links ("ip:port"), and its zone.

    start: differs at each start of the process, so that it writes its row anew; empty where a row
    need not show a new start and is kept from one start to the next.
    """

    peer_address: str
    zone: str = ""
    start: str = ""
