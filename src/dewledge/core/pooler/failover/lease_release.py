"""Ends the use of the old primary before a new one is promoted, where the platform does not fence.

Adds to the lease's rule (primary_lease.py) what the holder of the claim does and waits for; it
does not say who may use a primary now. Inputs: the own claims as they stand in the store,
acknowledgements of processes, the old primary's answer to the request to step down. Decision: what
to send to whom, and whether the use has ended. Reason: a primary that leaves answers, and its
answer is proof at once; the pause for writes begins only then. For one that cannot be reached or
does not answer, every process has to know a claim that forbids it, or its lease has to lapse.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimKnown,
    DatabaseStatus,
    RegisteredProcesses,
    SendClaim,
    StepDown,
    SteppedDown,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO

CLAIM_SEND_INTERVAL_SECONDS = 0.1
"""Seconds between two sendings of the claim to processes that have not acknowledged it: a datagram
may be lost."""
STEP_DOWN_INTERVAL_SECONDS = 0.2
"""Seconds between two requests to step down to one database."""
STEP_DOWN_TIMEOUT_SECONDS = 1.0
"""Seconds that the old primary has to step down; after that its leases have to end."""


class LeaseRelease:
    """The release of one primary, in one failover."""

    def __init__(self, local_name: str, replaced: str, may_step_down: bool) -> None:
        """`may_step_down`: whether the old primary is expected to answer."""
        self._local_name = local_name
        self._replaced = replaced
        self._may_step_down = may_step_down
        self._first_claim: ClaimAcknowledgements | None = None
        """Of the first own claim: who knows it has each read prove the lead, or uses none."""
        self._first_ban: ClaimAcknowledgements | None = None
        """Of the first own claim under which the old primary may not be used."""
        self._claim_sent_at = LONG_AGO
        self._step_down_sent_at = LONG_AGO
        self._first_step_down_sent_at: float | None = None
        self.final_status: DatabaseStatus | None = None
        """What the old primary held when it had stepped down."""

    def on_claim_stored(self, claim: Claim, now: float) -> None:
        """The own claim stands in the store."""
        if self._first_claim is None:
            self._first_claim = self._start_acknowledgements(claim, now)
        if self._first_ban is None and not claim.allows(self._replaced):
            is_first = self._first_claim.claim.fencing_token == claim.fencing_token
            self._first_ban = (
                self._first_claim if is_first else self._start_acknowledgements(claim, now)
            )

    def _start_acknowledgements(self, claim: Claim, now: float) -> ClaimAcknowledgements:
        acknowledgements = ClaimAcknowledgements(claim, now)
        acknowledgements.add(self._local_name, now)
        return acknowledgements

    def on_answer(self, event: ClaimKnown | SteppedDown, now: float) -> None:
        """Takes an acknowledgement of a process, or the old primary's answer."""
        if isinstance(event, SteppedDown):
            is_down = event.status is not None and not event.status.is_primary
            if event.database == self._replaced and is_down:
                self.final_status = event.status
            return
        for known in (self._first_claim, self._first_ban):
            if known is not None and event.fencing_token >= known.claim.fencing_token:
                known.add(event.process, now)

    def claims_to_send(self, registered: RegisteredProcesses, now: float) -> Sequence[SendClaim]:
        """Returns to whom the claim is to be sent, again until all have acknowledged it."""
        acknowledgements = self._first_ban or self._first_claim
        if acknowledgements is None or now < self._claim_sent_at + CLAIM_SEND_INTERVAL_SECONDS:
            return []
        self._claim_sent_at = now
        missing = acknowledgements.missing(registered.names)
        return [SendClaim(tuple(missing))] if missing else []

    def step_down_requests(
        self, term: int, registered: RegisteredProcesses, now: float
    ) -> Sequence[StepDown]:
        """Returns the request to the old primary to step down, none any more after a second.

        It is sent once all processes know that the primary leaves: it serves until then, and
        single reads afterwards.
        """
        if not self._may_step_down or self.final_status is not None:
            return []
        if self._first_claim is None or not self._first_claim.is_over(registered, now):
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

    def is_complete(self, registered: RegisteredProcesses, now: float) -> bool:
        """Tells whether no process uses the old primary any more."""
        if self.final_status is not None:
            return True
        if self._may_step_down or self._first_ban is None:
            return False
        return self._first_ban.is_over(registered, now)
