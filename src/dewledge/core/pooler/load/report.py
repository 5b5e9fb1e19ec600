"""The load report on one database, which a connection holder attaches to its replies.

`load_reporter` decides when it is sent, `load_table` evaluates it.
"""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of a database, as counted by the sender. At most 16 bytes in CBOR.

    Attributes:
        waiting: Statements that wait for a slot or a connection.
        urgent_waiting: Those among them with the highest priority.
        running: Statements at the database.
        window: Statements that may be at the database, 0 while no connection can be opened.
        openings: Connections that are being opened.
        service_ms: Usual time for which a statement holds a slot.
    """

    waiting: int
    urgent_waiting: int
    running: int
    window: int
    openings: int
    service_ms: int
