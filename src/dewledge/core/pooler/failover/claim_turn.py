"""When one process may write the claim to replace a primary, and under which claim it acts already.

Inputs: the newest claim known and when it was seen, the processes that judge the group in order of
rank, refusals of the store. Decision: the moment of the next write; whether another process is left
to replace the primary; the fencing token of an earlier own claim that is good enough. Reason: two
processes that write together cost a conflict at the store and a second replacement, so processes
take turns by rank; the conditional write lets one through whatever they decide here.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease

CLAIM_RETRY_SECONDS = 0.3
"""Seconds until a claim that the store refused is written again."""
CLAIM_WRITE_TIMEOUT_SECONDS = 1.5
"""Seconds until a claim whose write brought no answer is written again: longer than a call to the
store may take (CALL_LIMIT_SECONDS, 1 s)."""
CLAIM_HOLDER_TIMEOUT_SECONDS = 3.0
"""Seconds that the holder of a claim has before another process acts: what a holder that is killed
or frozen costs (docs/design/primary-lease.md, the cases)."""
CLAIM_RANK_DELAY_SECONDS = 0.08
"""Seconds between the writes of two processes next to each other in rank, so that the second can
see the claim of the first before it writes."""
LAST_HOLDER_HEAD_START_SECONDS = 0.5
"""Seconds that the last holder of the claim has before others while it is a judge: turns between
holders stay rare."""


class ClaimTurn:
    """The turns of one process at the claim on one group."""

    def __init__(self, local_name: str, lease: PrimaryLease) -> None:
        self._local_name = local_name
        self._lease = lease
        self._claim_learned_at = LONG_AGO
        self._next_write_at = 0.0
        self._refused_fencing_token = 0
        """A token that the platform refused; this process acts again only under a later one."""

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def on_newer_claim(self, now: float) -> None:
        """The newest claim known is another one now."""
        self._claim_learned_at = now

    def on_token_refused(self, fencing_token: int) -> None:
        """The platform refused a fencing token."""
        self._refused_fencing_token = fencing_token

    def active_holder(self, replaced: str, now: float) -> str | None:
        """Returns the process that may be replacing the same primary just now, None for none."""
        claim = self._lease.claim
        if not self._is_unfenced or claim is None or claim.holder == self._local_name:
            return None
        if now >= self._claim_learned_at + CLAIM_HOLDER_TIMEOUT_SECONDS:
            return None
        return claim.holder if claim.replaced and claim.replaced == replaced else None

    def schedule_first_write(self, judges: Sequence[str], now: float) -> None:
        """Sets the moment of the first write: by rank, and after the last holder."""
        claim = self._lease.claim
        names = list(judges)
        rank = names.index(self._local_name) if self._local_name in names else len(names)
        delay = CLAIM_RANK_DELAY_SECONDS * rank
        if claim is not None and claim.holder != self._local_name:
            delay += LAST_HOLDER_HEAD_START_SECONDS if claim.holder in names else 0.0
        elif claim is not None:
            delay = 0.0
        self._next_write_at = now + delay

    def may_write(self, now: float) -> bool:
        """Tells whether the claim may be written."""
        return now >= self._next_write_at

    def record_write(self, now: float) -> None:
        """The claim is being written."""
        self._next_write_at = now + CLAIM_WRITE_TIMEOUT_SECONDS

    def record_refusal(self, now: float) -> None:
        """The claim was not written, or it is not known whether it was."""
        self._next_write_at = now + CLAIM_RETRY_SECONDS

    @property
    def usable_fencing_token(self) -> int:
        """Of an earlier own claim under which this process may act, 0 for none."""
        claim = self._lease.claim
        if self._is_unfenced or claim is None or claim.holder != self._local_name:
            return 0
        return claim.fencing_token if claim.fencing_token > self._refused_fencing_token else 0
