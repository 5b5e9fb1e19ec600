"""Takes gateways' answers, and the loss of a gateway, and settles or moves the requests on."""

from collections.abc import Sequence

from dewledge.core.proxy.calls import Operation
from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.group_description import (
    with_gamble,
    with_primary_denied,
    with_unavailable,
)
from dewledge.core.proxy.entry.pending_requests import PendingRequest
from dewledge.core.proxy.entry.primary_doubt import DoubtReason, PrimaryClaim
from dewledge.core.proxy.entry.primary_watch import is_write
from dewledge.core.proxy.entry.reactions import Reaction, reaction_to, transaction_code
from dewledge.core.proxy.entry.request_finish import RequestFinisher
from dewledge.core.proxy.entry.request_router import RequestRouter
from dewledge.core.proxy.entry.server_selection import Freshness
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.messages import StatementDone, StatementNotRun, StatementUnknown
from dewledge.core.shared.positions import satisfies
from dewledge.errors import ErrorCode

_UNREACHABLE_CODES = frozenset({ErrorCode.DATABASE_UNREACHABLE})

_ANSWERS_OF_THE_DATABASE = frozenset({ErrorCode.STATEMENT_FAILED, ErrorCode.IDEMPOTENCY_MISMATCH})
"""Refusals that only a primary at work can give."""


class AnswerHandler:
    """Matches answers to attempts: one that nobody awaits, or from another peer, is dropped."""

    def __init__(self, state: EntryState, finisher: RequestFinisher, router: RequestRouter) -> None:
        self._state = state
        self._finisher = finisher
        self._router = router

    def handle_done(self, peer: str, message: StatementDone, now: float) -> None:
        """The operation ran."""
        pending = self._state.pending.by_answer(message.correlation, peer)
        if pending is None:
            self._finisher.handle_late_done(peer, message)
            return
        if pending.transaction_gateway is None and message.database != pending.database:
            self._state.log("answer_mismatched", ("peer", peer), ("database", message.database))
            return
        self._router.sender.note_alive(peer)
        self._finisher.detach(pending)
        group = self._state.group(pending.request.group, now)
        if not self._is_fresh(pending, group, message):
            self._handle_stale_done(peer, pending, group, message, now)
            return
        if pending.transaction_gateway is None or pending.request.operation is Operation.COMMIT:
            group.learn_read(message.database, message.position, now)
        self._note_freshness(pending, group, True)
        self._finisher.done(pending, message)
        if is_write(pending):
            group.watch.note_acknowledged(pending, now)
        acknowledges = is_write(pending) or pending.request.operation is Operation.COMMIT
        self._note_proof(message.database, group, acknowledges, now)

    def handle_not_run(self, peer: str, message: StatementNotRun, now: float) -> None:
        """The operation surely did not run."""
        pending = self._state.pending.by_answer(message.correlation, peer)
        if pending is None:
            return
        self._finisher.detach(pending)
        group = self._state.group(pending.request.group, now)
        if message.status is not None:
            group.learn_status(message.status, now, now)
        if pending.transaction_gateway is not None:
            self._finisher.pass_on(pending, message, transaction_code(message.code))
            return
        if message.code in _ANSWERS_OF_THE_DATABASE:
            self._note_proof(pending.database, group, False, now)
        if message.code is ErrorCode.CANCELLED and pending.recalled:
            self._send_recalled(pending, now)
            return
        reaction = reaction_to(message.code)
        if reaction not in (Reaction.OTHER_GATEWAY, Reaction.FOLLOW):
            self._router.sender.note_alive(peer)
        self._react(reaction, pending, group, message, now)

    def handle_unknown(self, peer: str, message: StatementUnknown, now: float) -> None:
        """The operation may have run: only what is harmless twice is sent again."""
        pending = self._state.pending.by_answer(message.correlation, peer)
        if pending is None:
            return
        self._finisher.detach(pending)
        if message.code is ErrorCode.NOT_CONFIRMED:
            self._doubt_primary(pending, now)
        if pending.transaction_gateway is not None or not pending.is_repeatable:
            self._finisher.unknown(pending, message.code, message.message)
            return
        pending.may_have_run = True
        pending.excluded += (pending.database,)
        self._router.retry(pending, message.code, now, at_once=False)

    def handle_requests_unsent(self, peer: str, correlations: Sequence[int], now: float) -> None:
        """Requests never left for a gateway, which the next ones had better avoid."""
        self._router.sender.avoid_gateway(peer, now)
        for correlation in correlations:
            refused = StatementNotRun(correlation, ErrorCode.GATEWAY_UNREACHABLE, "never sent")
            self.handle_not_run(peer, refused, now)

    def handle_peer_lost(self, peer: str, now: float) -> None:
        """The link to a gateway broke: what was sent over it may have arrived."""
        self._router.sender.avoid_gateway(peer, now)
        for pending in self._state.pending.sent_to(peer):
            was_open = pending.outcome_is_open
            self._finisher.detach(pending)
            if pending.transaction_gateway is not None:
                self._lose_transaction(pending, was_open)
            elif pending.is_repeatable:
                self._repeat_elsewhere(pending, peer, now)
            else:
                code = ErrorCode.CONNECTION_LOST
                self._finisher.unknown(pending, code, "the link to the gateway broke")

    def _note_proof(self, database: str, group: EntryGroup, acknowledges: bool, now: float) -> None:
        """An answer that only a primary at work can give may end the doubt of it."""
        if database != group.description.primary:
            return
        group.wait.doubt.note_proof(acknowledges)
        if len(group.wait):
            self._router.release(group, now)

    def _doubt_primary(self, pending: PendingRequest, now: float) -> None:
        group = self._state.group(pending.request.group, now)
        claim = group.primary_claim()
        if claim is not None and claim.database == pending.database:
            group.wait.note_doubt(claim, DoubtReason.SILENT, now)
            self._router.watch.suspect(group, now)

    def _send_recalled(self, pending: PendingRequest, now: float) -> None:
        """Its gateway gave it back unstarted, so it can go to the new primary."""
        pending.recalled = False
        pending.attempts -= 1
        self._router.dispatch(pending, now)

    def _lose_transaction(self, pending: PendingRequest, was_open: bool) -> None:
        code = ErrorCode.TRANSACTION_LOST
        message = "the link to the transaction's gateway broke"
        if was_open:
            self._finisher.unknown(pending, code, message)
        else:
            self._finisher.not_run(pending, code, message)

    def _repeat_elsewhere(self, pending: PendingRequest, peer: str, now: float) -> None:
        pending.may_have_run = True
        pending.avoided_gateways += (peer,)
        self._router.retry(pending, ErrorCode.GATEWAY_UNREACHABLE, now, at_once=True)

    def _react(
        self,
        reaction: Reaction,
        pending: PendingRequest,
        group: EntryGroup,
        message: StatementNotRun,
        now: float,
    ) -> None:
        if reaction is Reaction.READ_ELSEWHERE and pending.is_read:
            self._read_elsewhere(pending, group, now)
        elif reaction is Reaction.FIND_PRIMARY:
            if not self._uses_other_path(pending, message.code, now):
                self._find_primary(pending, group, message.code, now)
        elif reaction is Reaction.FOLLOW:
            self._follow(pending, message, now)
        elif reaction is Reaction.OTHER_GATEWAY:
            self._use_other_gateway(pending, now)
        elif reaction is Reaction.BACK_OFF:
            pending.excluded += (pending.database,)
            self._router.retry(pending, message.code, now, at_once=pending.is_read)
        else:
            self._finisher.pass_on(pending, message, message.code)

    def _read_elsewhere(self, pending: PendingRequest, group: EntryGroup, now: float) -> None:
        pending.stale_answers += 1
        self._note_freshness(pending, group, False)
        if pending.freshness is None:
            self._find_primary(pending, group, ErrorCode.NOT_FRESH, now)
            return
        pending.excluded += (pending.database,)
        self._router.dispatch(pending, now)

    def _find_primary(
        self, pending: PendingRequest, group: EntryGroup, code: ErrorCode, now: float
    ) -> None:
        database = pending.database
        known = group.description.databases.get(database)
        # An attempt that is not counted: it was refused before anything ran.
        pending.attempts -= 1
        if known is not None and database == group.description.primary:
            claim = PrimaryClaim(database, known.term)
            group.wait.note_doubt(claim, DoubtReason.REFUSED, now)
        if code in _UNREACHABLE_CODES:
            group.description = with_unavailable(group.description, database, now)
        else:
            group.description = with_primary_denied(group.description, database, now)
        if pending.is_read and pending.freshness is not None:
            pending.excluded += (database,)
            self._router.dispatch(pending, now)
        elif group.description.primary in (None, database):
            self._router.wait_for_primary(pending, group, code, now)
        else:
            self._router.dispatch(pending, now)

    def _uses_other_path(self, pending: PendingRequest, code: ErrorCode, now: float) -> bool:
        """A gateway that is cut off from a database says the same as one whose database is gone."""
        if code not in _UNREACHABLE_CODES or pending.freshness is not None:
            return False
        return self._router.sender.send_by_other_path(pending, now)

    def _follow(self, pending: PendingRequest, message: StatementNotRun, now: float) -> None:
        target = message.gateway
        pending.redirects += 1
        too_many = pending.redirects > self._state.settings.max_redirects
        if target is None or too_many or target in (pending.peer, *pending.avoided_gateways):
            self._use_other_gateway(pending, now)
            return
        self._router.sender.send_to(pending, target, pending.database, now)

    def _use_other_gateway(self, pending: PendingRequest, now: float) -> None:
        pending.attempts -= 1
        if pending.peer in pending.avoided_gateways or pending.redirects:
            pending.redirects = 0
            self._router.wait_for_gateway(pending, now)
            return
        self._router.sender.avoid_gateway(pending.peer, now)
        pending.avoided_gateways += (pending.peer,)
        self._router.dispatch(pending, now)

    def _is_fresh(self, pending: PendingRequest, group: EntryGroup, message: StatementDone) -> bool:
        """The floor is checked here too: a gateway's mistake must not become a stale read."""
        carries_floor = pending.is_read or pending.request.operation is Operation.BEGIN
        if not carries_floor or pending.floor is None:
            return True
        return satisfies(message.position, pending.floor, group.description.term_starts)

    def _handle_stale_done(
        self,
        peer: str,
        pending: PendingRequest,
        group: EntryGroup,
        message: StatementDone,
        now: float,
    ) -> None:
        if pending.request.operation is Operation.BEGIN:
            self._finisher.roll_back(peer, pending.request, message)
            self._find_primary(pending, group, ErrorCode.NO_PRIMARY, now)
            return
        self._read_elsewhere(pending, group, now)

    def _note_freshness(self, pending: PendingRequest, group: EntryGroup, fresh: bool) -> None:
        if pending.freshness is None:
            return
        if pending.freshness in (Freshness.GAMBLE, Freshness.STALE):
            group.description = with_gamble(group.description, pending.database, fresh)
        if fresh:
            group.learn_fresh(pending.database, pending.floor_age)
        else:
            group.learn_behind(pending.database, pending.floor_age)
