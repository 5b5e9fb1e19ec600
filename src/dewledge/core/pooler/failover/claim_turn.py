"""When one process may write the claim to replace a primary, and under which claim it acts already.

Inputs: the newest claim known and when it was seen, the processes that judge the group in order of
rank, refusals of the store. Decision: the moment of the next write; whether another process is left
to replace the primary; the fencing token of an earlier own claim that is good enough. Reason: two
processes that write together cost a conflict at the store and a second replacement, so processes
take turns by rank; the conditional write lets one through whatever they decide here.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease

CLAIM_AGAIN_SECONDS = 0.3
"""Seconds until a claim that the store refused is written again."""
CLAIM_LIMIT_SECONDS = 1.5
"""Seconds until a claim whose write brought no answer is written again: longer than a call to the
store may take (CALL_LIMIT_SECONDS, 1 s)."""
FOLLOW_LIMIT_SECONDS = 3.0
"""Seconds that the holder of a claim has before another process acts: what a holder that is killed
or frozen costs (docs/design/primary-lease.md, the cases)."""
CLAIM_STEP_SECONDS = 0.08
"""Seconds between the writes of two processes next to each other in rank, so that the second can
see the claim of the first before it writes."""
OTHER_HOLDER_SECONDS = 0.5
"""Seconds that the last holder of the claim has before others while it is a judge: turns between
holders stay rare."""


class ClaimTurn:
    """The turns of one process at the claim on one group."""

    def __init__(self, own_name: str, lease: PrimaryLease) -> None:
        self._own_name = own_name
        self._lease = lease
        self._seen_at = LONG_AGO
        self._write_at = 0.0
        self._spent_fencing_token = 0
        """A token that the platform refused; this process acts again only under a later one."""

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def see_claim(self, now: float) -> None:
        """The newest claim known is another one now."""
        self._seen_at = now

    def spend(self, fencing_token: int) -> None:
        """The platform refused a fencing token."""
        self._spent_fencing_token = fencing_token

    def holder_at_work(self, replaced: str, now: float) -> str | None:
        """Returns the process that may be replacing the same primary just now, None for none."""
        claim = self._lease.claim
        if not self._is_unfenced or claim is None or claim.holder == self._own_name:
            return None
        if now >= self._seen_at + FOLLOW_LIMIT_SECONDS:
            return None
        return claim.holder if claim.replaced and claim.replaced == replaced else None

    def begin(self, members: Sequence[str], now: float) -> None:
        """Sets the moment of the first write: by rank, and after the last holder."""
        claim = self._lease.claim
        names = list(members)
        rank = names.index(self._own_name) if self._own_name in names else len(names)
        delay = CLAIM_STEP_SECONDS * rank
        if claim is not None and claim.holder != self._own_name:
            delay += OTHER_HOLDER_SECONDS if claim.holder in names else 0.0
        elif claim is not None:
            delay = 0.0
        self._write_at = now + delay

    def is_due(self, now: float) -> bool:
        """Tells whether the claim may be written."""
        return now >= self._write_at

    def note_write(self, now: float) -> None:
        """The claim is being written."""
        self._write_at = now + CLAIM_LIMIT_SECONDS

    def note_refusal(self, now: float) -> None:
        """The claim was not written, or it is not known whether it was."""
        self._write_at = now + CLAIM_AGAIN_SECONDS

    @property
    def held_fencing_token(self) -> int:
        """Of an earlier own claim under which this process may act, 0 for none."""
        claim = self._lease.claim
        if self._is_unfenced or claim is None or claim.holder != self._own_name:
            return 0
        return claim.fencing_token if claim.fencing_token > self._spent_fencing_token else 0
