"""Which operation asks for a token."""

import msgspec


class PlaceKey(msgspec.Struct, frozen=True):
    """An operation that asks for a token: the process that took it, and its number there."""

    asker: str
    number: int
