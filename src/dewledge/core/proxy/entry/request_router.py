"""Decides where each request goes next: to a replica, to the primary, or into the wait for one."""

from dewledge.core.proxy.calls import Operation
from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.pending_requests import PendingRequest, RequestState
from dewledge.core.proxy.entry.primary_doubt import DoubtReason, PrimaryClaim
from dewledge.core.proxy.entry.read_index import ReadIndex
from dewledge.core.proxy.entry.read_routing import ReadRouting
from dewledge.core.proxy.entry.request_finish import RequestFinisher
from dewledge.core.proxy.entry.request_sender import RequestSender
from dewledge.core.proxy.entry.server_selection import Freshness, ReadChoice
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.entry.status_watch import StatusWatch
from dewledge.core.proxy.messages import CancelRequest, GroupStatusAnswer
from dewledge.errors import ErrorCode


class RequestRouter:
    """Routes requests by the view of their group."""

    def __init__(self, state: EntryState, finisher: RequestFinisher) -> None:
        self._state = state
        self._finisher = finisher
        self._watch = StatusWatch(state, self.release)
        self._sender = RequestSender(state)
        self._reads = ReadRouting(state)
        self._read_index = ReadIndex(state, self.dispatch)

    @property
    def sender(self) -> RequestSender:
        """Sends what was routed."""
        return self._sender

    @property
    def watch(self) -> StatusWatch:
        """Keeps the views that are routed by."""
        return self._watch

    def dispatch(self, pending: PendingRequest, now: float) -> None:
        """Sends the request on its way, or lets it wait, or answers it."""
        if now >= pending.request.deadline:
            self._finisher.expire(pending)
            return
        if pending.transaction_gateway is not None:
            # The gateway knows the database of its transaction.
            self._sender.send_to(pending, pending.transaction_gateway, "", now)
            return
        group = self._state.group(pending.request.group, now)
        self._watch.note_use(group, now)
        if pending.is_read and pending.floor is not None:
            self._dispatch_read(pending, group, now)
        else:
            self._dispatch_to_primary(pending, group, now)

    def retry(self, pending: PendingRequest, code: ErrorCode, now: float, at_once: bool) -> None:
        """Sends the request again, if its attempts and the budget allow, else answers it."""
        attempts_left = pending.attempts < self._state.settings.max_attempts
        if not attempts_left or not self._state.budget.take():
            self._state.log("retry_refused", ("group", pending.request.group), ("code", code))
            self._finisher.not_run(pending, code, retry_after=self._state.retry_after())
        elif at_once:
            self.dispatch(pending, now)
        else:
            self._sender.back_off(pending, now)

    def wait_for_primary(
        self, pending: PendingRequest, group: EntryGroup, code: ErrorCode, now: float
    ) -> None:
        """Lets the request wait for a primary, if one can still be found in time."""
        wait = group.wait
        if wait.start(now):
            self._state.log("failover_started", ("group", group.description.group))
        until = self._wait_until(pending, now)
        if code is ErrorCode.DATABASE_DRAINED and wait.started_at is not None:
            until = min(until, wait.started_at + self._state.settings.drained_wait_limit)
        if until <= now or wait.is_full or wait.is_hopeless(until, now):
            self._finisher.not_run(
                pending, code, "the group has no primary", self._primary_retry_after(group, now)
            )
        else:
            pending.state = RequestState.WAITING
            pending.last_code = code
            self._sender.set_timer(pending, until)
            wait.add(pending)
        self._watch.search_primary(group, now)

    def wait_for_gateway(self, pending: PendingRequest, now: float) -> None:
        """Lets the request wait until the placement has a gateway that can be reached."""
        pending.avoided_gateways = ()
        if self._wait_until(pending, now) > now:
            self._sender.back_off(pending, now)
            return
        code = ErrorCode.GATEWAY_UNREACHABLE
        message = "no gateway of the database can be reached"
        self._finisher.not_run(pending, code, message, self._state.retry_after())

    def handle_status(self, peer: str, message: GroupStatusAnswer, now: float) -> None:
        """Takes a gateway's statuses; those of groups not in use are ignored."""
        group = self._state.groups.get(message.group)
        if group is not None:
            self._watch.handle_status(group, message, now)
            self._read_index.handle_status(peer, message, group, now)

    def release(self, group: EntryGroup, now: float) -> None:
        """Sends waiting requests on, as far as the view of the group allows."""
        claim = group.primary_claim()
        if claim is None or self._state.policy.is_drained(claim.database):
            self._release_reads(group, now)
            return
        for pending in group.watch.take_stranded(claim.database):
            self._recall(pending, now)
        had_waiters = len(group.wait) > 0
        taken = group.wait.take(claim, group.description)
        if not len(group.wait):
            self._note_failover_over(group, had_waiters, now)
        for pending in taken:
            if pending.is_read and not self._reads.may_use(pending, claim.database):
                self._read_without_primary(pending, group, now)
            else:
                self._send_to_primary(pending, group, claim, now)

    def _recall(self, pending: PendingRequest, now: float) -> None:
        """Gets a request back from the gateway of a primary that was replaced.

        A write goes on only when the gateway says that it has not started; a read goes on anyway.
        """
        if pending.is_read and self._state.budget.take():
            self._finisher.cancel(pending)
            self.dispatch(pending, now)
            return
        pending.recalled = True
        self._state.send(pending.peer, CancelRequest(pending.correlation))

    def _release_reads(self, group: EntryGroup, now: float) -> None:
        for pending in group.wait.floored_reads():
            choice = self._reads.choose_replica(pending, group, now)
            if choice is not None and choice.freshness is Freshness.KNOWN:
                group.wait.discard(pending)
                self._send_read(pending, group, choice, now)

    def _note_failover_over(self, group: EntryGroup, had_waiters: bool, now: float) -> None:
        if group.wait.started_at is None:
            return
        duration = group.wait.end(now)
        if had_waiters and group.had_primary:
            group.wait.learn_duration(duration)
        group.had_primary = True
        primary = group.description.primary
        self._state.log(
            "failover_ended",
            ("group", group.description.group),
            ("primary", primary),
            ("seconds", round(duration, 4)),
        )

    def _dispatch_read(self, pending: PendingRequest, group: EntryGroup, now: float) -> None:
        choice = self._reads.choose_replica(pending, group, now)
        if choice is None:
            self._dispatch_to_primary(pending, group, now)
            return
        if choice.delay > 0 and now + choice.delay < pending.request.deadline:
            pending.held += choice.delay
            self._sender.hold(pending, now + choice.delay)
            return
        self._send_read(pending, group, choice, now)

    def _send_read(
        self, pending: PendingRequest, group: EntryGroup, choice: ReadChoice, now: float
    ) -> None:
        pending.freshness = choice.freshness
        if self._sender.send(pending, choice.database, False, now):
            return
        pending.excluded += (choice.database,)
        self._dispatch_read(pending, group, now)

    def _dispatch_to_primary(self, pending: PendingRequest, group: EntryGroup, now: float) -> None:
        claim = group.primary_claim()
        if claim is None:
            self.wait_for_primary(pending, group, ErrorCode.NO_PRIMARY, now)
        elif self._state.policy.is_drained(claim.database):
            self.wait_for_primary(pending, group, ErrorCode.DATABASE_DRAINED, now)
        elif pending.is_read and not self._reads.may_use(pending, claim.database):
            self._read_without_primary(pending, group, now)
        elif self._reads.may_start_on_replica(pending, group, claim):
            self._ask_read_index(pending, group, now)
        elif self._is_doubted(pending, group, claim, now):
            self.wait_for_primary(pending, group, ErrorCode.NO_PRIMARY, now)
        else:
            self._send_to_primary(pending, group, claim, now)

    def _is_doubted(
        self, pending: PendingRequest, group: EntryGroup, claim: PrimaryClaim, now: float
    ) -> bool:
        """What a cut-off primary is sent only ends as unknown: better wait a moment to be sure."""
        doubt = group.wait.doubt
        suspect_at = group.suspect_at()
        if suspect_at is not None and suspect_at <= now and not doubt.covers(claim, False):
            group.wait.note_doubt(claim, DoubtReason.SILENT, now)
            self._doubt_gateway(claim, now)
        return doubt.covers(claim, pending.is_read)

    def _doubt_gateway(self, claim: PrimaryClaim, now: float) -> None:
        """The silence may be the gateway's, frozen or cut off: others ask by the next one."""
        gateway = self._state.placement.active(claim.database)
        if gateway is not None and gateway != self._state.me:
            self._sender.avoid_gateway(gateway, now)

    def _send_to_primary(
        self, pending: PendingRequest, group: EntryGroup, claim: PrimaryClaim, now: float
    ) -> None:
        group.had_primary = True
        pending.freshness = None
        if not self._sender.send(pending, claim.database, pending.is_read, now):
            self.wait_for_gateway(pending, now)
            return
        self._watch.note_sent_to_primary(group)

    def _read_without_primary(self, pending: PendingRequest, group: EntryGroup, now: float) -> None:
        """Waits until a replica that the rules allow is fresh, as long as there is time."""
        pending.last_code = ErrorCode.NO_FRESH_REPLICA
        gateway = self._watch.next_gateway(group)
        if gateway is None or self._wait_until(pending, now) <= now:
            message = "no replica that the rules allow is known to be fresh enough"
            retry_after = self._state.retry_after()
            self._finisher.not_run(pending, pending.last_code, message, retry_after)
        elif pending.floor is None:
            self._read_index.find(pending, gateway, now)
            ask_again_at = now + self._state.settings.read_index_timeout
            self._sender.set_timer(pending, min(ask_again_at, self._wait_until(pending, now)))
        else:
            pending.excluded = ()
            pending.stale_answers = 0
            self._sender.back_off(pending, now)
            self._watch.refresh(group, now)

    def _ask_read_index(self, pending: PendingRequest, group: EntryGroup, now: float) -> None:
        pending.asked_read_index = True
        gateway = self._watch.near_gateway(group)
        if gateway is None:
            self.wait_for_gateway(pending, now)
            return
        self._read_index.find(pending, gateway, now)
        self._sender.set_timer(pending, now + self._state.settings.read_index_timeout)

    def _wait_until(self, pending: PendingRequest, now: float) -> float:
        """The end of all waiting for this request, fixed when it first waits."""
        if pending.wait_until is None:
            settings = self._state.settings
            latest = pending.request.deadline - settings.failover_margin
            pending.wait_until = min(now + settings.failover_wait_limit, latest)
        return pending.wait_until

    def _primary_retry_after(self, group: EntryGroup, now: float) -> float:
        return self._state.retry_after(group.wait.remaining(now))

    def wake(self, pending: PendingRequest, now: float) -> None:
        """Goes on with a request whose timer fired."""
        if now >= pending.request.deadline:
            self._finisher.expire(pending)
        elif pending.state is RequestState.HELD:
            self.dispatch(pending, now)
        elif pending.state is RequestState.WAITING:
            self._waited(pending, now)
        else:
            self._attempt_timed_out(pending, now)

    def _waited(self, pending: PendingRequest, now: float) -> None:
        group = self._state.group(pending.request.group, now)
        if pending.asked_read_index and pending.wait_until is None:
            self.dispatch(pending, now)
            return
        if pending.last_code is ErrorCode.NO_FRESH_REPLICA:
            self._read_without_primary(pending, group, now)
            return
        retry_after = self._primary_retry_after(group, now)
        message = "no primary was found in time"
        self._finisher.not_run(pending, pending.last_code, message, retry_after)

    def _attempt_timed_out(self, pending: PendingRequest, now: float) -> None:
        """A replica that does not answer is left for another; the primary only for a new one."""
        group = self._state.group(pending.request.group, now)
        same_primary = group.description.primary == pending.database
        if same_primary or pending.request.operation is Operation.BEGIN:
            self._sender.extend_attempt(pending, now)
            return
        if not self._state.budget.take():
            self._sender.extend_attempt(pending, now)
            return
        self._finisher.cancel(pending)
        pending.excluded += (pending.database,)
        self.dispatch(pending, now)
