"""The calls that a failover makes to the coordination store and to the platform's promotion call.

Owns nothing between calls. Each call runs on the executor; what comes of it is passed on to the
loop's thread.
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
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.tables.coordination_rows import (
    CLAIM_PREFIX,
    TABLE,
    ClaimValue,
    encode_value,
)


class FailoverCalls:
    """Writes claims and orders promotions."""

    def __init__(
        self,
        context: FailoverContext,
        promotions: PromotionCalls | None,
        take_rows: Callable[[Sequence[StoreRow]], None],
        handle: Callable[[str, FailoverEvent], None],
    ) -> None:
        """`promotions`: None where the platform has no such call.

        `handle`: called with a group's name and what happened to the group.
        """
        self._context = context
        self._promotions = promotions
        self._take_rows = take_rows
        self._handle = handle

    def write_claim(self, group: str, effect: WriteClaim) -> None:
        """Writes a claim on a group."""
        self._context.executor.submit(self._write_claim, group, effect)

    def promote(self, group: str, effect: Promote) -> None:
        """Orders that a database leads its group."""
        self._context.executor.submit(self._promote, group, effect)

    def _write_claim(self, group: str, effect: WriteClaim) -> None:
        """Whatever the answer, the row itself tells who holds the claim."""
        key = CLAIM_PREFIX + group
        value = encode_value(
            ClaimValue(
                self._context.own_name,
                effect.replaced,
                effect.leader,
                effect.voters,
                effect.quorums,
                effect.ordered,
            )
        )
        try:
            version = self._context.store.write(StoreWrite(TABLE, key, value, effect.expected))
        except StoreError as error:
            logger.bind(group=group, expected=effect.expected, error=error.message).info(
                "claim_not_written"
            )
            self._read_claim_back(group, key)
            return
        row = StoreRow(key, value, version)

        def tell() -> None:
            self._take_rows([row])
            self._context.claim_events.written.tell()

        self._context.loop.post(tell)

    def _read_claim_back(self, group: str, key: str) -> None:
        try:
            row = self._context.store.read_row(TABLE, key)
        except StoreError:
            row = None
        rows = [] if row is None else [row]

        def tell() -> None:
            self._take_rows(rows)
            self._handle(group, ClaimRefused())

        self._context.loop.post(tell)

    def _promote(self, group: str, effect: Promote) -> None:
        """A call without an answer is made again, under the same fencing token."""
        if self._promotions is None:
            return
        if self._context.loop.now() >= effect.not_after:
            logger.bind(group=group, database=effect.database).warning("promotion_too_late")
            return
        try:
            accepted = self._promotions.promote(
                group, effect.database, self._context.own_name, effect.fencing_token
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
