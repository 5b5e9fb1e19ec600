"""Ends the use of the old primary before a new one is promoted, where the platform does not fence.

The claim holder asks a draining primary to step down: its answer proves at once that its use has
ended, and writes pause only from then on. If the primary is unreachable or does not answer, every
process must acknowledge a claim that forbids the primary, or let its lease on it expire.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    DatabaseStatus,
    RegisteredProcesses,
    SendClaim,
    StepDown,
    SteppedDown,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO

CLAIM_SEND_INTERVAL_SECONDS = 0.1
"""Seconds between sends of the claim to processes that have not acknowledged it: a datagram may be
lost."""
STEP_DOWN_INTERVAL_SECONDS = 0.2
"""Seconds between requests to the same database to step down."""
STEP_DOWN_TIMEOUT_SECONDS = 1.0
"""Seconds that the old primary has to step down; after that, the leases on it have to end."""


class LeaseRelease:
    """Ends the leases on a primary during its replacement."""

    def __init__(
        self, local_name: str, replaced: str, may_step_down: bool, has_leases: bool
    ) -> None:
        """may_step_down: whether the old primary is expected to answer a request to step down.

        has_leases: whether processes use the primary under leases.
        """
        self._local_name = local_name
        self._replaced = replaced
        self._may_step_down = may_step_down
        self._has_leases = has_leases
        self._claim_acknowledgements: ClaimAcknowledgements | None = None
        """Acknowledgements of this process's first claim, None before the store holds it.

        A process that knows this claim makes each read prove that the old primary still leads, or
        does not use the old primary at all.
        """
        self._ban_acknowledgements: ClaimAcknowledgements | None = None
        """Acknowledgements of this process's first claim that forbids the old primary."""
        self._claim_sent_at = LONG_AGO
        self._step_down_sent_at = LONG_AGO
        self._first_step_down_sent_at: float | None = None
        self.final_status: DatabaseStatus | None = None
        """Status of the old primary after it stepped down, None before."""

    def on_claim_stored(self, claim: Claim, now: float) -> None:
        """Starts to count acknowledgements of a claim of this process that the store holds."""
        if self._claim_acknowledgements is None:
            self._claim_acknowledgements = self._start_acknowledgements(claim, now)
        if self._ban_acknowledgements is None and not claim.allows(self._replaced):
            is_first = self._claim_acknowledgements.claim.fencing_token == claim.fencing_token
            self._ban_acknowledgements = (
                self._claim_acknowledgements
                if is_first
                else self._start_acknowledgements(claim, now)
            )

    def _start_acknowledgements(self, claim: Claim, now: float) -> ClaimAcknowledgements:
        acknowledgements = ClaimAcknowledgements(claim, now)
        acknowledgements.add(self._local_name, now)
        return acknowledgements

    def on_answer(self, event: ClaimAcknowledged | SteppedDown, now: float) -> None:
        """Applies an acknowledgement, or the old primary's answer to a step-down request."""
        if isinstance(event, SteppedDown):
            is_down = event.status is not None and not event.status.is_primary
            if event.database == self._replaced and is_down:
                self.final_status = event.status
            return
        for pending in (self._claim_acknowledgements, self._ban_acknowledgements):
            if pending is not None:
                pending.apply(event, now)

    def claims_to_send(self, registered: RegisteredProcesses, now: float) -> Sequence[SendClaim]:
        """Returns the claim to send now, if any, to all processes that have not acknowledged it."""
        acknowledgements = self._ban_acknowledgements or self._claim_acknowledgements
        if acknowledgements is None or now < self._claim_sent_at + CLAIM_SEND_INTERVAL_SECONDS:
            return []
        self._claim_sent_at = now
        missing = acknowledgements.missing(registered.names)
        return [SendClaim(tuple(missing))] if missing else []

    @property
    def is_stepping_down(self) -> bool:
        """Whether the old primary may still answer a request to step down."""
        return self._may_step_down and self.final_status is None

    def step_down_requests(
        self, term: int, registered: RegisteredProcesses, now: float
    ) -> Sequence[StepDown]:
        """Returns the request to the old primary to step down, until STEP_DOWN_TIMEOUT_SECONDS.

        The first request waits until no process can hold a lease without knowing this process's
        first claim.
        """
        if not self.is_stepping_down or not self._is_claim_known(registered, now):
            return []
        if self._first_step_down_sent_at is None:
            self._first_step_down_sent_at = now
        if now >= self._first_step_down_sent_at + STEP_DOWN_TIMEOUT_SECONDS:
            self._may_step_down = False
            return []
        if now < self._step_down_sent_at + STEP_DOWN_INTERVAL_SECONDS:
            return []
        self._step_down_sent_at = now
        return [StepDown(self._replaced, term)]

    def _is_claim_known(self, registered: RegisteredProcesses, now: float) -> bool:
        """Returns whether every process that may hold a lease knows this process's first claim."""
        if not self._has_leases:
            return True
        acknowledgements = self._claim_acknowledgements
        return acknowledgements is not None and acknowledgements.is_effective(registered, now)

    def is_complete(self, registered: RegisteredProcesses, now: float) -> bool:
        """Returns whether no process can still use the old primary."""
        if self.final_status is not None:
            return True
        if self._may_step_down or self._ban_acknowledgements is None:
            return False
        return self._ban_acknowledgements.is_effective(registered, now)
