"""What the primary of one group owes this entry, and when its silence becomes suspect."""

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.entry.pending_requests import PendingRequest
from dewledge.core.proxy.entry.settings import EntrySettings

LATENCY_GAIN = 0.125
"""Weight of the newest answer in the average latency: that of TCP's smoothed round-trip time."""
LATENCY_DEVIATION_GAIN = 0.25
"""Weight of the newest answer in the deviation of the latency: that of RFC 6298."""


class PrimaryWatch:
    """Unanswered requests to the primary, and the mean time in which it acknowledges writes.

    Only writes tell: a primary that is cut off from its group may well answer reads.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._primary: str | None = None
        self._unanswered: dict[int, PendingRequest] = {}
        self._unanswered_writes: dict[int, PendingRequest] = {}
        self._answered_at = float("-inf")
        self._latency = 0.0
        self._latency_deviation = 0.0

    @property
    def owes_answers(self) -> bool:
        """Whether any request to the primary is unanswered."""
        return bool(self._unanswered)

    def note_sent(self, pending: PendingRequest, primary: str) -> None:
        """Notes a request sent to the primary."""
        if primary != self._primary:
            self.take_stranded(primary)
        self._unanswered[pending.correlation] = pending
        if is_write(pending):
            self._unanswered_writes[pending.correlation] = pending

    def note_ended(self, pending: PendingRequest) -> None:
        """Notes that an attempt was answered or given up."""
        self._unanswered.pop(pending.correlation, None)
        self._unanswered_writes.pop(pending.correlation, None)

    def note_acknowledged(self, pending: PendingRequest, now: float) -> None:
        """Notes that the primary did a write."""
        self._answered_at = now
        error = now - pending.sent_at - self._latency
        self._latency += LATENCY_GAIN * error
        deviation_error = abs(error) - self._latency_deviation
        self._latency_deviation += LATENCY_DEVIATION_GAIN * deviation_error

    def suspect_at(self, primary: str | None) -> float | None:
        """Returns when the primary's silence becomes suspect, or None if it owes nothing."""
        oldest = next(iter(self._unanswered_writes.values()), None)
        if oldest is None or primary != self._primary:
            return None
        margin = self._settings.suspect_deviations * self._latency_deviation
        patience = max(self._settings.suspect_after, self._latency + margin)
        return max(oldest.sent_at, self._answered_at) + patience

    def take_stranded(self, primary: str | None) -> list[PendingRequest]:
        """Returns, once, the unanswered requests to a primary that `primary` has replaced."""
        if primary is None or primary == self._primary:
            return []
        stranded = list(self._unanswered.values())
        self._unanswered.clear()
        self._unanswered_writes.clear()
        self._primary = primary
        return stranded


def is_write(pending: PendingRequest) -> bool:
    """Tells whether a request is a write of its own, whose answer says that it is confirmed."""
    request = pending.request
    return request.operation is Operation.EXECUTE and request.access is Access.WRITE
