"""How long an operation is held for its token: while it can still be served in its time after it.

Nothing here is a share of a latency target. The grantor tells the moment of the operation's own
token, so what is held gets it; what could not be served after it is refused at once. Before a line
that stands it is refused too if it would be late; the grantor decides that (token_queue.py).
"""

from collections import deque

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.rate_limits.token_queue import CLAIM_SECONDS
from dewledge.core.shared.service_rate import UsualTime

SERVING_SMOOTHING = 0.05
"""Of the running mean of serving times: the last some tens of operations count."""
FIRST_SERVING_SECONDS = 0.2
"""Taken to be usual until one was measured: some round trips between regions and a connection."""
FIXED_HOLD_SECONDS = 0.15
"""Where tokens are not kept: an operation waits so long for one, whatever it has left."""
LEAST_COME_BACK_SECONDS = 0.02


class TokenPatience:
    """What this process knows of how long operations take once they are admitted."""

    def __init__(self) -> None:
        self._usual = UsualTime(SERVING_SMOOTHING)

    @property
    def serving_seconds(self) -> float:
        """What most operations need from their token to their answer."""
        return self._usual.seconds or FIRST_SERVING_SECONDS

    def note_served(self, seconds: float) -> None:
        """Takes in the time from an operation's token to its first statement's answer."""
        self._usual.note(seconds)

    def hold_seconds(self, statement_timeout: float) -> float:
        """Returns how long an operation may be held, so that it can be served after that."""
        return max(statement_timeout - self.serving_seconds, 0.0)

    def bears_seconds(self, target_latency: float, statement_timeout: float) -> float:
        """Returns how long it may be held and still be answered in time and within its target."""
        return self.hold_seconds(min(target_latency, statement_timeout))


def judge(now: float, until: float, token_in: float, refuses: bool = False) -> Verdict:
    """Decides on an operation whose token comes in `token_in` seconds; it may be held to `until`.

    refuses: the grantor would not have it held. Times of the process's steady clock, in seconds.
    """
    seconds = max(token_in, LEAST_COME_BACK_SECONDS)
    if not refuses and now + seconds <= until:
        return WaitUntil(now + seconds)
    return Refuse(RefusalCause.OVER_LIMIT, seconds)


MAX_KEPT = 64
"""Of one session: as many as it may have statements without an answer."""


class KeptToken(msgspec.Struct, frozen=True):
    """What a session keeps of an operation that was refused and whose token is kept.

    caller: whose limit it is. place: its number at this process. return_at: steady clock, seconds.
    """

    caller: str
    place: int
    return_at: float


class KeptTokens:
    """Those of one session. Which of its operations comes back is not told, so each that comes has
    the earliest place that the session has, also before its moment: it waits there, and no place
    is left to nobody while another is added.
    """

    def __init__(self) -> None:
        self._kept: deque[KeptToken] = deque(maxlen=MAX_KEPT)

    def keep(self, kept: KeptToken) -> None:
        """Keeps one more; the oldest goes if there are too many."""
        self._kept.append(kept)

    def claim(self, caller: str, now: float) -> KeptToken | None:
        """Returns the one of the caller whose moment is first, and keeps it no more."""
        alive = [kept for kept in self._kept if now <= kept.return_at + CLAIM_SECONDS]
        self._kept = deque(alive, maxlen=MAX_KEPT)
        own = [kept for kept in alive if kept.caller == caller]
        if not own:
            return None
        first = min(own, key=lambda kept: kept.return_at)
        self._kept.remove(first)
        return first
