"""The load before one database, as a process that holds connections tells it with its answers.

One message type; when it is sent is decided in `load_reporter`, what follows from it in
`load_table`.
"""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load before one database, as the sender counts it.

    waiting: statements that wait for a slot or a connection; urgent_waiting: those of the highest
    priority among them. running: statements at the database. window: how many may be there, 0
    while no connection can be opened.
    openings: connections being opened. service_ms: usual time that a statement holds a slot.
    Small whole numbers: at most 16 bytes of cbor2.
    """

    waiting: int
    urgent_waiting: int
    running: int
    window: int
    openings: int
    service_ms: int
