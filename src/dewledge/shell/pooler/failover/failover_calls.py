"""Calls the coordination store and the platform's promotion API on behalf of failovers.

Each call blocks, so it runs on the executor; its result is posted to the loop's thread.
"""

from collections.abc import Callable, Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import PromotionCalls, StoreRow, StoreWrite
from dewledge.core.pooler.failover.messages import (
    ClaimRefused,
    FailoverEvent,
    Promote,
    PromotionAnswered,
    WriteClaim,
)
from dewledge.core.pooler.store_versions import combine, era_of
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.tables.coordination_rows import (
    CLAIM_PREFIX,
    SETTLED_PREFIX,
    TABLE,
    ClaimValue,
    encode_value,
)


class FailoverCalls:
    """Writes claims to the store and requests promotions from the platform."""

    def __init__(
        self,
        context: FailoverContext,
        promotions: PromotionCalls | None,
        apply_rows: Callable[[Sequence[StoreRow]], None],
        handle: Callable[[str, FailoverEvent], None],
    ) -> None:
        """`promotions`: the platform's promotion API; None if the platform has none.

        `apply_rows`: called with the claim row after a write, or as read after a failed write.
        `handle`: called with a group's name and the event that resulted from a call.
        """
        self._context = context
        self._promotions = promotions
        self._apply_rows = apply_rows
        self._handle = handle

    def write_claim(self, group: str, effect: WriteClaim) -> None:
        """Starts to write a claim on a group to the store."""
        self._context.executor.submit(self._write_claim, group, effect)

    def promote(self, group: str, effect: Promote) -> None:
        """Starts a request to the platform to promote a database to primary."""
        self._context.executor.submit(self._promote, group, effect)

    def write_settled_era(self, era: int) -> None:
        """Starts to write that all claims of former eras are written again in an era."""
        self._context.executor.submit(self._write_settled_era, era)

    def _write_settled_era(self, era: int) -> None:
        write = StoreWrite(TABLE, f"{SETTLED_PREFIX}{era}", b"", combine(era, 0))
        try:
            self._context.store.write(write)
        except StoreError as error:
            logger.bind(era=era, error=error.message).info("store_era_not_settled")
            return
        logger.bind(era=era).info("store_era_settled")

    def _write_claim(self, group: str, effect: WriteClaim) -> None:
        """Writes the claim row; if the write fails, reads the row to find who holds the claim."""
        key = CLAIM_PREFIX + group
        value = encode_value(
            ClaimValue(
                self._context.own_name,
                effect.replaced,
                effect.leader,
                effect.voters,
                effect.quorums,
                effect.ordered,
                effect.term,
                era_of(effect.expected),
                effect.restates,
            )
        )
        try:
            version = self._context.store.write(StoreWrite(TABLE, key, value, effect.expected))
        except StoreError as error:
            logger.bind(group=group, expected=effect.expected, error=error.message).info(
                "claim_not_written"
            )
            self._read_claim_after_failure(group, key)
            return
        row = StoreRow(key, value, version)

        def report() -> None:
            self._apply_rows([row])
            self._context.claim_events.written.notify()

        self._context.loop.post(report)

    def _read_claim_after_failure(self, group: str, key: str) -> None:
        try:
            row = self._context.store.read_row(TABLE, key)
        except StoreError:
            row = None
        rows = [] if row is None else [row]

        def report() -> None:
            self._apply_rows(rows)
            self._handle(group, ClaimRefused())

        self._context.loop.post(report)

    def _promote(self, group: str, effect: Promote) -> None:
        """Calls the promotion API and reports its answer as an event.

        Sends no call after the effect's deadline (`not_after`), and no event without an answer.
        """
        if self._promotions is None:
            return
        if self._context.loop.now() >= effect.not_after:
            logger.bind(group=group, database=effect.database).warning("promotion_too_late")
            return
        try:
            accepted = self._promotions.promote(
                group,
                effect.database,
                self._context.own_name,
                effect.fencing_token,
                effect.not_after,
            )
        except StoreError as error:
            logger.bind(group=group, database=effect.database, error=error.message).info(
                "promotion_unanswered"
            )
            return
        logger.bind(
            group=group, database=effect.database, token=effect.fencing_token, accepted=accepted
        ).info("promotion_answered")
        answer = PromotionAnswered(effect.database, accepted, not accepted)
        self._context.loop.post(lambda: self._handle(group, answer))
