"""The row in the store with which a serving process announces itself to other processes."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """The peer address of a process and its zone.

    peer_address: where it accepts datagrams and links of peers ("ip:port"). start: identifies the
    current start of the process, so that a restart rewrites the row; empty if restarts should leave
    the row unchanged.
    """

    peer_address: str
    zone: str = ""
    start: str = ""
