"""The requests of one group that wait for a primary, and what is known of the failover."""

import msgspec

from dewledge.core.pending_requests import PendingRequest, RequestState

EXPECTED_DURATION_GAIN = 0.3
EXPECTED_SHARE_TO_WAIT_FOR = 0.5
"""A request is refused at once if its deadline falls before this share of a usual failover."""


class PrimaryClaim(msgspec.Struct, frozen=True):
    """A database that is believed to be primary in a term."""

    database: str
    term: int


class FailoverWait:
    """A bounded queue of requests, oldest first.

    A claim is doubted after the claimed primary refused a request or fell silent. Then it gets one
    request for trial at a time, so that a false claim costs one request and not the whole queue.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._requests: dict[int, PendingRequest] = {}
        self._doubted: PrimaryClaim | None = None
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

    def doubts(self, claim: PrimaryClaim) -> bool:
        """Tells whether the claim is doubted."""
        return claim == self._doubted

    def note_doubt(self, claim: PrimaryClaim) -> None:
        """Notes that the claimed primary refused a request, or is silent."""
        self._doubted = claim
        self._trial = None

    def note_accepted(self) -> None:
        """Notes that the claimed primary did a request."""
        self._doubted = None
        self._trial = None

    def take(self, claim: PrimaryClaim) -> list[PendingRequest]:
        """Takes the requests to send to this primary now, oldest first."""
        if claim == self._doubted:
            return self._take_for_trial()
        taken = list(self._requests.values())
        self._requests.clear()
        return taken

    def _take_for_trial(self) -> list[PendingRequest]:
        in_trial = self._trial is not None and self._trial.state is RequestState.IN_FLIGHT
        if in_trial or not self._requests:
            return []
        oldest = next(iter(self._requests))
        self._trial = self._requests.pop(oldest)
        return [self._trial]

    def floored_reads(self) -> list[PendingRequest]:
        """Returns the waiting reads that a replica could serve as well."""
        return [item for item in self._requests.values() if item.is_read and item.floor]
