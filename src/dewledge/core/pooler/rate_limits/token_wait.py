"""How long an operation is held for its token: while it can still be served in its time after it.

Inputs: the statement's timeout and the route's target latency (seconds), the measured time from a
token to the first answer (running mean of this process, seconds), and the grantor's answer: in how
many seconds the operation's own token comes (one round trip old). Decision: hold it until then, or
refuse it now. Reason: the grantor tells the moment of the operation's own token, so what is held
gets it; what could not be served after it would only use up its client's time. Nothing here is a
share of a latency target. Before a standing queue it is refused too if it would be late; the
grantor decides that (token_queue.py).
"""

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.rate_limits.return_times import retry_seconds
from dewledge.core.shared.service_rate import UsualTime

SERVING_SMOOTHING_RATIO = 0.05
"""Ratio; share of a new time in the running mean of serving times: the last some tens of operations
count."""
DEFAULT_SERVING_SECONDS = 0.2
"""Seconds of serving taken to be usual until one was measured: some round trips between regions and
a connection."""
FIXED_HOLD_SECONDS = 0.15
"""Seconds that an operation waits for a token where tokens are not kept, whatever it has left."""


class HoldTimes:
    """For how long operations may be held, from how long they take once they are admitted."""

    def __init__(self) -> None:
        self._serving_time = UsualTime(SERVING_SMOOTHING_RATIO)

    @property
    def serving_seconds(self) -> float:
        """What most operations need from their token to their answer."""
        return self._serving_time.seconds or DEFAULT_SERVING_SECONDS

    def record_served(self, seconds: float) -> None:
        """Takes in the time from an operation's token to its first statement's answer."""
        self._serving_time.note(seconds)

    def hold_seconds(self, statement_timeout: float) -> float:
        """Returns how long an operation may be held, so that it can be served after that."""
        return max(statement_timeout - self.serving_seconds, 0.0)

    def max_wait_seconds(self, target_latency: float, statement_timeout: float) -> float:
        """Returns how long it may be held and still be answered in time and within its target."""
        return self.hold_seconds(min(target_latency, statement_timeout))


def hold_or_refuse(
    now: float, hold_until: float, token_delay: float, refuses: bool = False
) -> Verdict:
    """Decides on an operation whose token comes in `token_in` seconds; it may be held to `until`.

    refuses: the grantor would not have it held. Times of the process's steady clock, in seconds.
    """
    seconds = retry_seconds(token_delay)
    if not refuses and now + seconds <= hold_until:
        return WaitUntil(now + seconds)
    return Refuse(RefusalCause.OVER_LIMIT, seconds)
