"""The requests of one group that wait for a primary, and what is known of the failover."""

from dewledge.core.proxy.entry.group_description import GroupDescription
from dewledge.core.proxy.entry.pending_requests import PendingRequest, RequestState
from dewledge.core.proxy.entry.primary_doubt import DoubtReason, PrimaryClaim, PrimaryDoubt

EXPECTED_DURATION_GAIN = 0.3
"""Weight of the newest failover in the moving average of durations."""
EXPECTED_SHARE_TO_WAIT_FOR = 0.5
"""Ratio; a request is refused at once if its deadline falls before this share of a usual
failover."""


class FailoverWait:
    """A bounded queue of requests, oldest first.

    doubt: holds requests back from a primary that is not trusted; one at a time is let through to
    test the primary.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._requests: dict[int, PendingRequest] = {}
        self.doubt = PrimaryDoubt()
        self._trial: PendingRequest | None = None
        self._expected_duration: float | None = None
        self.started_at: float | None = None
        self.next_probe_at = 0.0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return len(self._requests) >= self._limit

    def start(self, now: float) -> bool:
        """Starts the wait; returns False if it was under way."""
        if self.started_at is not None:
            return False
        self.started_at = now
        return True

    def end(self, now: float) -> float:
        """Ends the wait and returns how long it was, in seconds."""
        duration = 0.0 if self.started_at is None else now - self.started_at
        self.started_at = None
        return duration

    def learn_duration(self, duration: float) -> None:
        """Takes in how long a failover lasted."""
        if self._expected_duration is None:
            self._expected_duration = duration
            return
        change = duration - self._expected_duration
        self._expected_duration += EXPECTED_DURATION_GAIN * change

    def remaining(self, now: float) -> float:
        """Returns the seconds after which the failover is usually over; 0 if nothing is known."""
        if self._expected_duration is None or self.started_at is None:
            return 0.0
        return max(0.0, self.started_at + self._expected_duration - now)

    def is_hopeless(self, until: float, now: float) -> bool:
        """Tells whether waiting until `until` is too short for any usual failover."""
        return until - now < EXPECTED_SHARE_TO_WAIT_FOR * self.remaining(now)

    def add(self, pending: PendingRequest) -> None:
        """Adds a request at the end."""
        self._requests[pending.request.request_id] = pending

    def discard(self, pending: PendingRequest) -> None:
        """Removes a request, if it is there."""
        self._requests.pop(pending.request.request_id, None)

    def note_doubt(self, claim: PrimaryClaim, reason: DoubtReason, now: float) -> None:
        """Starts to doubt the claimed primary."""
        self.doubt.note(claim, reason, now)
        self._trial = None

    def take(self, claim: PrimaryClaim, description: GroupDescription) -> list[PendingRequest]:
        """Takes the requests to send to this primary now, oldest first."""
        taken = [
            item for item in self._requests.values() if not self.doubt.covers(claim, item.is_read)
        ]
        for pending in taken:
            self.discard(pending)
        if self._requests and self.doubt.allows_trial(claim, description):
            taken.extend(self._take_for_trial())
        return taken

    def _take_for_trial(self) -> list[PendingRequest]:
        if self._trial is not None and self._trial.state is RequestState.IN_FLIGHT:
            return []
        self._trial = next(iter(self._requests.values()))
        self.discard(self._trial)
        return [self._trial]

    def floored_reads(self) -> list[PendingRequest]:
        """Returns the waiting reads that a replica could serve as well."""
        return [item for item in self._requests.values() if item.is_read and item.floor]
