"""Sees to it that nobody uses the old primary as such by the time a new one is promoted.

Only where the platform does not take the lead from the old one itself. A primary that leaves is
told to step down: its answer is the proof, and the pause for writes begins only then. One that
cannot be reached, or does not answer, may not be used any more by the claim, which every process
must know, or have its right lapse.
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

SEND_AGAIN_SECONDS = 0.1
STEP_DOWN_AGAIN_SECONDS = 0.2
STEP_DOWN_LIMIT_SECONDS = 1.0


class LeaseRelease:
    """The release of one primary, in one succession."""

    def __init__(self, own_name: str, replaced: str, may_step_down: bool) -> None:
        """`may_step_down`: whether the old primary is expected to answer."""
        self._own_name = own_name
        self._replaced = replaced
        self._may_step_down = may_step_down
        self._notice: ClaimAcknowledgements | None = None
        """Of the first own claim: who knows it has each read prove the lead, or uses none."""
        self._recall: ClaimAcknowledgements | None = None
        """Of the first own claim under which the old primary may not be used."""
        self._told_at = LONG_AGO
        self._asked_at = LONG_AGO
        self._asked_since: float | None = None
        self.stepped_down: DatabaseStatus | None = None
        """What the old primary held when it had stepped down."""

    @property
    def is_recalled(self) -> bool:
        """Whether a claim stands under which the old primary may not be used."""
        return self._recall is not None

    def take_claim(self, claim: Claim, now: float) -> None:
        """The own claim stands in the store."""
        if self._notice is None:
            self._notice = self._acknowledgements_of(claim, now)
        if self._recall is None and not claim.allows(self._replaced):
            is_first = self._notice.claim.fencing_token == claim.fencing_token
            self._recall = self._notice if is_first else self._acknowledgements_of(claim, now)

    def _acknowledgements_of(self, claim: Claim, now: float) -> ClaimAcknowledgements:
        recall = ClaimAcknowledgements(claim, now)
        recall.take(self._own_name, now)
        return recall

    def take(self, event: ClaimKnown | SteppedDown, now: float) -> None:
        """Takes what a process or the old primary told."""
        if isinstance(event, SteppedDown):
            is_down = event.status is not None and not event.status.is_primary
            if event.database == self._replaced and is_down:
                self.stepped_down = event.status
            return
        for recall in (self._notice, self._recall):
            if recall is not None and event.fencing_token >= recall.claim.fencing_token:
                recall.take(event.process, now)

    def tell(self, registered: RegisteredProcesses, now: float) -> Sequence[SendClaim]:
        """Returns whom to tell the claim, now and again until all know it."""
        recall = self._recall or self._notice
        if recall is None or now < self._told_at + SEND_AGAIN_SECONDS:
            return []
        self._told_at = now
        missing = recall.missing(registered.names)
        return [SendClaim(tuple(missing))] if missing else []

    def step_down(
        self, term: int, registered: RegisteredProcesses, now: float
    ) -> Sequence[StepDown]:
        """Returns the word to the old primary; gives up on it after a while.

        Before it all know that it leaves: it serves on until then, and single reads afterwards.
        """
        if not self._may_step_down or self.stepped_down is not None:
            return []
        if self._notice is None or not self._notice.is_over(registered, now):
            return []
        if self._asked_since is None:
            self._asked_since = now
        if now >= self._asked_since + STEP_DOWN_LIMIT_SECONDS:
            self._may_step_down = False
            return []
        if now < self._asked_at + STEP_DOWN_AGAIN_SECONDS:
            return []
        self._asked_at = now
        return [StepDown(self._replaced, term)]

    def is_over(self, registered: RegisteredProcesses, now: float) -> bool:
        """Tells whether nobody uses the old primary any more."""
        if self.stepped_down is not None:
            return True
        if self._may_step_down or self._recall is None:
            return False
        return self._recall.is_over(registered, now)
