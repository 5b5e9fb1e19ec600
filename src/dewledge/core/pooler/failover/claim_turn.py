"""Decides when a process may write its claim to replace a primary.

Processes write in order of rank, the last claim holder first: two simultaneous writes cost a
conflict at the store and a second replacement attempt. Correctness does not depend on this order,
since the store's conditional write accepts only one of them. The module also decides whether to
wait for another process that is replacing the primary, and whether an earlier claim of this process
can be reused.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease

CLAIM_RETRY_SECONDS = 0.3
"""Seconds before a claim that the store refused is written again."""
CLAIM_WRITE_TIMEOUT_SECONDS = 1.5
"""Seconds before a claim whose write got no answer is written again: longer than the timeout of a
call to the store (CALL_TIMEOUT_SECONDS, 1 s)."""
CLAIM_HOLDER_TIMEOUT_SECONDS = 3.0
"""Seconds that a claim holder has before another process acts: the delay that a killed or frozen
holder adds to a failover (docs/design/primary-lease.md, the cases)."""
CLAIM_RANK_DELAY_SECONDS = 0.08
"""Seconds between the writes of two processes with consecutive ranks, so that the second can learn
of the first one's claim before it writes."""
LAST_HOLDER_HEAD_START_SECONDS = 0.5
"""Seconds that other processes wait for the last claim holder while it is a judge, so that the
holder rarely changes."""


class ClaimTurn:
    """Schedules this process's writes of the claim on a group."""

    def __init__(self, local_name: str, lease: PrimaryLease) -> None:
        self._local_name = local_name
        self._lease = lease
        self._claim_learned_at = LONG_AGO
        self._next_write_at = 0.0
        self._refused_fencing_token = 0
        """Last fencing token that the platform refused; only a newer one is used from then on."""

    @property
    def claim_learned_at(self) -> float:
        """When this process learned of the newest claim (steady clock, seconds)."""
        return self._claim_learned_at

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def on_newer_claim(self, now: float) -> None:
        """Records when this process learned of the newest claim."""
        self._claim_learned_at = now

    def on_token_refused(self, fencing_token: int) -> None:
        """Records that the platform refused a fencing token."""
        self._refused_fencing_token = fencing_token

    def active_holder(
        self, replaced: str, now: float, has_synchronous_replicas: bool = False
    ) -> str | None:
        """Returns the other process that may be replacing the same primary now, None for none.

        A platform that fences old primaries makes a second replacement safe, so no process waits
        for a claim holder then. The exception are groups with synchronous replicas: the proof that
        a candidate holds all commits ends with the promotion of another one.
        """
        claim = self._lease.claim
        if claim is None or claim.holder == self._local_name:
            return None
        if not self._is_unfenced and not has_synchronous_replicas:
            return None
        if now >= self._claim_learned_at + CLAIM_HOLDER_TIMEOUT_SECONDS:
            return None
        is_same = claim.replaced == replaced or (has_synchronous_replicas and not replaced)
        return claim.holder if claim.replaced and is_same else None

    def schedule_first_write(self, judges: Sequence[str], now: float) -> None:
        """Schedules the first write: the last claim holder first, the other judges by rank."""
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
        """Returns whether the claim may be written now."""
        return now >= self._next_write_at

    def record_write(self, now: float) -> None:
        """Records that the claim is being written; it may be written again after the timeout."""
        self._next_write_at = now + CLAIM_WRITE_TIMEOUT_SECONDS

    def record_refusal(self, now: float) -> None:
        """Records that the store refused the claim or did not answer; schedules a retry."""
        self._next_write_at = now + CLAIM_RETRY_SECONDS

    @property
    def usable_fencing_token(self) -> int:
        """Fencing token of an earlier claim of this process that it can reuse, 0 for none.

        Always 0 unless the platform checks fencing tokens: it refuses this one after a newer one.
        """
        claim = self._lease.claim
        if self._is_unfenced or claim is None or claim.holder != self._local_name:
            return 0
        return claim.fencing_token if claim.fencing_token > self._refused_fencing_token else 0
