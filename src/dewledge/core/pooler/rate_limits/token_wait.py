"""Decides whether an operation waits for its token or is refused at once.

The grantor reports when the operation's token will be available. The operation is held until then
if its statement can still be served within its timeout, given how long statements take after their
token; otherwise holding it would only use up its client's time. In a persistent queue the grantor
also refuses operations that would miss their latency target (token_queue.py).
"""

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.rate_limits.retry_times import retry_seconds
from dewledge.core.shared.service_rate import TypicalMaxTime

SERVING_SMOOTHING_RATIO = 0.05
"""Ratio: weight of a new serving time in the running mean, which covers some tens of operations."""
DEFAULT_SERVING_SECONDS = 0.2
"""Seconds assumed as the serving time before the first one is recorded: some round trips between
regions and a connection."""
FIXED_HOLD_SECONDS = 0.15
"""Seconds that an operation waits for a token where tokens are not reserved, whatever its
timeout."""


class HoldTimes:
    """How long operations may be held, given how long admitted operations take to serve."""

    def __init__(self) -> None:
        self._serving_time = TypicalMaxTime(SERVING_SMOOTHING_RATIO)

    @property
    def serving_seconds(self) -> float:
        """The seconds from the token to the answer that most operations do not exceed."""
        return self._serving_time.seconds or DEFAULT_SERVING_SECONDS

    def record_served(self, seconds: float) -> None:
        """Records the time from an operation's token to its first statement's answer."""
        self._serving_time.record(seconds)

    def hold_seconds(self, statement_timeout: float) -> float:
        """Returns how long an operation may be held and still be served before its timeout."""
        return max(statement_timeout - self.serving_seconds, 0.0)

    def max_wait_seconds(self, target_latency: float, statement_timeout: float) -> float:
        """Returns how long an operation may be held and still meet its timeout and latency
        target."""
        return self.hold_seconds(min(target_latency, statement_timeout))


def hold_or_refuse(
    now: float, hold_until: float, token_delay: float, refuses: bool = False
) -> Verdict:
    """Decides on an operation whose token is available in `token_delay` seconds.

    hold_until: the latest time for which it may be held. refuses: the grantor asked not to hold it.
    Times are in seconds of the process's steady clock.
    """
    seconds = retry_seconds(token_delay)
    if not refuses and now + seconds <= hold_until:
        return WaitUntil(now + seconds)
    return Refuse(RefusalCause.OVER_LIMIT, seconds)
