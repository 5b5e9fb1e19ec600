"""The rate-limit tokens that are kept for a session's refused operations, until they come back.

Owns the keys that a refusal left. Relies on the grantor to keep the token itself (token_queue.py).
"""

from collections import deque

import msgspec

from dewledge.core.pooler.rate_limits.token_queue import REDEEM_TIMEOUT_SECONDS

MAX_RESERVATIONS = 64
"""Tokens kept for one session: as many as it may have statements without an answer."""


class KeptToken(msgspec.Struct, frozen=True):
    """What a session keeps of an operation that was refused and whose token is kept.

    caller: whose limit it is. number: the operation's, in its key at the grantor. return_at: steady
    clock, seconds.
    """

    caller: str
    number: int
    return_at: float


class KeptTokens:
    """Those of one session. Which of its operations comes back is not told, so each that comes has
    the earliest key that the session has, also before its moment: it waits in that position, and no
    position is left to nobody while another is added.
    """

    def __init__(self) -> None:
        self._reservations: deque[KeptToken] = deque(maxlen=MAX_RESERVATIONS)

    def keep(self, kept: KeptToken) -> None:
        """Keeps one more; the oldest goes if there are too many."""
        self._reservations.append(kept)

    def redeem(self, caller: str, now: float) -> KeptToken | None:
        """Returns the one of the caller whose moment is first, and keeps it no more."""
        alive = [
            kept for kept in self._reservations if now <= kept.return_at + REDEEM_TIMEOUT_SECONDS
        ]
        self._reservations = deque(alive, maxlen=MAX_RESERVATIONS)
        own = [kept for kept in alive if kept.caller == caller]
        if not own:
            return None
        first = min(own, key=lambda kept: kept.return_at)
        self._reservations.remove(first)
        return first
