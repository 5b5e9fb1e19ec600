"""The tokens reserved for the refused operations of a session.

A refusal may come with a token that the grantor reserves for a retry (token_queue.py). The session
keeps the reservation's key and presents it with the retry.
"""

from collections import deque

import msgspec

from dewledge.core.pooler.rate_limits.token_queue import REDEEM_TIMEOUT_SECONDS

MAX_RESERVATIONS = 64
"""Tokens reserved for one session: as many as it may have statements without an answer."""


class KeptToken(msgspec.Struct, frozen=True):
    """The reservation of a refused operation.

    caller: whose limit the token is from. number: the operation's number in its key at the grantor.
    return_at: when the token is available, in seconds of the steady clock.
    """

    caller: str
    number: int
    return_at: float


class TokenReservations:
    """A session's reservations.

    A retry does not say which refused operation it repeats. Each new operation therefore uses the
    earliest reservation of its caller, even before its time; so no reserved position stays unused
    while another one is added to the queue.
    """

    def __init__(self) -> None:
        self._reservations: deque[KeptToken] = deque(maxlen=MAX_RESERVATIONS)

    def add(self, reservation: KeptToken) -> None:
        """Adds a reservation; drops the oldest if there are too many."""
        self._reservations.append(reservation)

    def redeem(self, caller: str, now: float) -> KeptToken | None:
        """Removes and returns the caller's earliest reservation that has not expired."""
        valid = [
            reservation
            for reservation in self._reservations
            if now <= reservation.return_at + REDEEM_TIMEOUT_SECONDS
        ]
        self._reservations = deque(valid, maxlen=MAX_RESERVATIONS)
        of_caller = [reservation for reservation in valid if reservation.caller == caller]
        if not of_caller:
            return None
        first = min(of_caller, key=lambda reservation: reservation.return_at)
        self._reservations.remove(first)
        return first
