"""Runs the failover state machines of all groups: passes in events and carries out the effects.

Also selects the judges of each group: the processes that decide whether its primary is lost.
FailoverCalls carries out the effects that need the store or the platform, DatabaseRequests the
requests to databases, IndirectProbes the test connections. Claims are exchanged with other
processes through ClaimEvents, to which ClaimKeeper subscribes. All methods run on the loop's
thread.
"""

from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import PromotionCalls, StoreRow
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.candidates import rank_judges
from dewledge.core.pooler.failover.group_failover import GroupFailover
from dewledge.core.pooler.failover.messages import (
    AnnounceLeader,
    AskIndirectProbes,
    Claim,
    ClaimAcknowledged,
    ClaimReceived,
    DatabaseStatus,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    Phase,
    PrimarySuspected,
    Promote,
    ReachTested,
    ReadStatus,
    RegisteredProcesses,
    SendClaim,
    StartReplication,
    StepDown,
    StopReplication,
    TestReach,
    Ticked,
    TryLeader,
    WriteClaim,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO
from dewledge.core.pooler.failover.situation import GroupLog
from dewledge.core.pooler.statements.statements import Reply
from dewledge.core.pooler.store_versions import era_of
from dewledge.shell.pooler.failover.database_requests import DatabaseRequests
from dewledge.shell.pooler.failover.failover_calls import FailoverCalls
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.indirect_probes import IndirectProbes
from dewledge.shell.pooler.links.peer_messages import IndirectProbeAnswer, LeaderNotice
from dewledge.shell.pooler.tables.coordination_rows import (
    CLAIM_PREFIX,
    read_claim,
    read_settled_era,
)
from dewledge.shell.pooler.tables.isolation import apply_each

TICK_INTERVAL_SECONDS = 0.05
"""Seconds between ticks of a group whose failover is active or whose primary is suspected."""
COPY_DISTRUST_SECONDS = 3.0
"""Seconds after the first read of a store that was restored before, in which this process begins no
failover: databases that it knows may have left. Their owners write within that time."""
ERA_SETTLED_SECONDS = 20.0
"""Seconds after a restore of the store until a group without a claim counts as new: longer than any
process takes to write the claims of the groups that existed before."""
ERA_SETTLED_RANK_DELAY_SECONDS = 1.0
"""Seconds between the writes of two processes, so that one is enough."""
STEADY_TICKS = 20
"""Ticks of the driver for each tick of a group without an active failover or suspected primary."""


class FailoverDriver:
    """Owns the state machine of each group and connects it to the rest of the process."""

    def __init__(
        self,
        context: FailoverContext,
        promotions: PromotionCalls | None,
        parse_status: Callable[[Reply], DatabaseStatus | None],
        addresses: Callable[[], dict[str, str]],
        record: Callable[[msgspec.Struct], None],
    ) -> None:
        """`addresses`: returns the peer address of each process by its name."""
        self._context = context
        self._own_name = context.own_name
        self._groups = context.groups
        self._addresses = addresses
        self._record = record
        self._failovers: dict[str, GroupFailover] = {}
        self._probes: IndirectProbes | None = None
        self._stopped = False
        self._ticks = 0
        self._judges_by_group: dict[str, Sequence[str]] = {}
        self._registered = RegisteredProcesses()
        self._distrusts_copy_until = LONG_AGO
        self._settled_written_at = LONG_AGO
        self._calls = FailoverCalls(context, promotions, self.apply_rows, self._handle)
        self._requests = DatabaseRequests(context.loop, parse_status, self._handle)
        context.claim_events.received.add(self.apply_claim)
        context.claim_events.acknowledged.add(self.on_claim_acknowledged)

    def start(self, probes: IndirectProbes) -> None:
        """Starts the periodic ticks, with `probes` for test connections and leader notices."""
        self._probes = probes
        self._tick()

    def stop(self) -> None:
        """Stops all state machines: a process that shuts down must not start a failover."""
        self._stopped = True

    def suspect(self, group: str, database_id: str) -> None:
        """Handles a report that a database may be unreachable.

        Sent after a failed statement or connection, or when another process asks for a probe.
        """
        self._handle(group, PrimarySuspected(database_id))

    def apply_rows(self, rows: Sequence[StoreRow]) -> None:
        """Applies the claim rows among rows read from the store."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row: StoreRow) -> None:
        """Applies the claim of a row, unless the row is of an older copy of the store."""
        self._context.leases.eras.record_settled(read_settled_era(row))
        if not row.key.startswith(CLAIM_PREFIX) or row.gone:
            return
        claim = read_claim(row)
        if claim is None:
            return
        group = row.key.removeprefix(CLAIM_PREFIX)
        lease = self._context.leases.of(group)
        if lease.record_row(row.version, claim):
            self.apply_claim(group, claim)
            return
        logger.bind(
            group=group,
            holder=claim.holder,
            token=claim.fencing_token,
            known=lease.fencing_token,
            era=era_of(row.version),
        ).info("claim_of_former_era")

    def apply_claim(self, group: str, claim: Claim) -> None:
        """Applies a claim; without a configured group, the claim is recorded in its lease only."""
        if self._context.leases.of(group).accepts(claim):
            self._context.claim_events.learned.notify(group, claim)
        if group in self._groups and not self._stopped:
            self._handle(group, ClaimReceived(claim))
        else:
            self._context.leases.of(group).apply_claim(claim)

    def on_claim_acknowledged(self, group: str, acknowledgement: ClaimAcknowledged) -> None:
        """Passes on that another process acknowledged a claim."""
        self._handle(group, acknowledgement)

    def update_registered(self, registered: RegisteredProcesses) -> None:
        """Remembers which processes have rows in the member table, as last read from the store."""
        eras, now = self._context.leases.eras, self._context.loop.now()
        known = eras.newest
        if eras.first is None and era_of(registered.version) > 0:
            self._distrusts_copy_until = now + COPY_DISTRUST_SECONDS
        eras.record_table(era_of(registered.version), now)
        if eras.newest > known:
            logger.bind(era=eras.newest, known=known, version=registered.version).warning(
                "store_era_risen"
            )
        self._registered = registered

    def on_probe_answer(self, answer: IndirectProbeAnswer) -> None:
        """Passes on another process's answer to an indirect probe."""
        record = self._find_database(answer.database)
        if record is not None:
            event = IndirectProbeReported(
                answer.witness, answer.database, answer.reachable, answer.term
            )
            self._handle(record.group, event)

    def newest_term(self, group: str) -> int:
        """Returns the newest term of a group that this process knows, 0 for none."""
        observed = self._groups[group].newest_term if group in self._groups else 0
        failover = self._failovers.get(group)
        return observed if failover is None else max(observed, failover.newest_term)

    def on_leader_notice(self, notice: LeaderNotice) -> None:
        """Uses a database as primary; only a hint, since each statement still requires proof."""
        record = self._find_database(notice.database)
        if record is None:
            return
        group = self._groups[record.group]
        view = group.view.with_leader(record.id)
        if view is not group.view:
            logger.bind(group=record.group, database=record.id, sender=notice.sender).info(
                "leader_told"
            )
            group.change_view(view)
            self._handle(record.group, Ticked())

    def on_group_changed(self, group_name: str) -> None:
        """Runs a group's state machine after its view changed."""
        self._handle(group_name, Ticked())

    def _tick(self) -> None:
        if self._stopped:
            return
        self._ticks += 1
        for number, name in enumerate(list(self._groups)):
            is_due = (self._ticks + number) % STEADY_TICKS == 0
            if is_due or self._is_active(name):
                self._handle(name, Ticked())
        if self._ticks % STEADY_TICKS == 0:
            self._settle_era()
        self._context.loop.call_later(TICK_INTERVAL_SECONDS, self._tick)

    def _settle_era(self) -> None:
        """Tells through the store that all claims are written again, once a while has passed."""
        eras, now = self._context.leases.eras, self._context.loop.now()
        if eras.is_settled or eras.table < eras.newest or not self._groups:
            return
        names = sorted(self._addresses())
        rank = names.index(self._own_name) if self._own_name in names else len(names)
        wait = ERA_SETTLED_SECONDS + ERA_SETTLED_RANK_DELAY_SECONDS * rank
        if now < max(eras.known_since, self._settled_written_at) + wait:
            return
        if any(self._context.leases.of(name).needs_restatement for name in self._groups):
            return
        self._settled_written_at = now
        self._calls.write_settled_era(eras.newest)

    def _is_active(self, name: str) -> bool:
        failover = self._failovers.get(name)
        if failover is None:
            return True
        return failover.phase is not Phase.STEADY or failover.suspected is not None

    def _handle(self, group_name: str, event: FailoverEvent) -> None:
        group = self._groups.get(group_name)
        if group is None or self._stopped:
            return
        failover = self._failovers.get(group_name)
        if failover is None:
            lease = self._context.leases.of(group_name)
            failover = GroupFailover(group_name, self._own_name, self._record, lease)
            self._failovers[group_name] = failover
        judges = self._judges_of(group_name)
        effects = failover.handle(
            event,
            group.view,
            judges,
            self._context.loop.now(),
            self._registered,
            self._log_of(group),
        )
        relay = None if failover.reached_by is None else self._addresses().get(failover.reached_by)
        group.set_suspected(failover.suspected, relay)
        for effect in effects:
            self._carry_out(group, effect)

    def _log_of(self, group: Group) -> GroupLog:
        return GroupLog(
            self._context.synchronous_replicas(group.view.name),
            group.newest_term,
            group.observed_term,
            group.serves_until,
            self._context.loop.now() < self._distrusts_copy_until,
        )

    def _carry_out(self, group: Group, effect: FailoverEffect) -> None:
        if isinstance(effect, TestReach):
            self._test_connection(group, effect.database)
        elif isinstance(effect, AskIndirectProbes):
            self._request_indirect_probes(group, effect.database)
        elif isinstance(effect, AnnounceLeader):
            self._announce_leader(effect.database)
        elif isinstance(effect, ReadStatus):
            self._requests.read_status(group, effect.database)
        elif isinstance(effect, SendClaim):
            self._context.claim_events.to_send.notify(group.view.name, effect.processes)
        elif isinstance(effect, TryLeader):
            self.on_leader_notice(LeaderNotice(self._own_name, effect.database))
        elif isinstance(effect, StepDown):
            self._requests.step_down(group, effect)
        elif isinstance(effect, StopReplication):
            self._requests.stop_replication(group, effect)
        elif isinstance(effect, StartReplication):
            self._requests.start_replication(group, effect)
        elif isinstance(effect, WriteClaim):
            self._log_restatement(group.view.name, effect)
            self._calls.write_claim(group.view.name, effect)
        elif isinstance(effect, Promote):
            self._calls.promote(group.view.name, effect)

    def _log_restatement(self, group: str, effect: WriteClaim) -> None:
        """Logs the first claim that this process writes on a group in an era of the store."""
        lease, eras = self._context.leases.of(group), self._context.leases.eras
        if not lease.needs_restatement:
            return
        logger.bind(
            group=group,
            era=eras.newest,
            era_age_ms=int((self._context.loop.now() - eras.known_since) * 1000),
            known=lease.fencing_token,
            restates=effect.restates,
            leader="any" if effect.leader is None else effect.leader,
            expected=effect.expected,
            confirmed=lease.confirmed_era == eras.newest,
        ).info("claim_restated")

    def _test_connection(self, group: Group, database_id: str) -> None:
        record = group.view.databases.get(database_id)
        if record is None or self._probes is None:
            return

        def done(reachable: bool) -> None:
            self._handle(group.view.name, ReachTested(database_id, reachable))

        self._probes.test(record, done)

    def _judges_of(self, group_name: str) -> Sequence[str]:
        judges = self._judges_by_group.get(group_name)
        if judges is None:
            judges = rank_judges(group_name, self._addresses().keys() | {self._own_name})
            self._judges_by_group[group_name] = judges
        return judges

    def on_members_changed(self) -> None:
        """Discards the selected judges, so that they are selected from the current processes."""
        self._judges_by_group.clear()

    def _request_indirect_probes(self, group: Group, database_id: str) -> None:
        names = [name for name in self._judges_of(group.view.name) if name != self._own_name]
        if self._probes is not None:
            self._probes.ask([self._addresses()[name] for name in names], database_id)

    def _announce_leader(self, database_id: str) -> None:
        if self._probes is not None:
            self._probes.announce_leader(self._other_addresses(), database_id)
        self.on_leader_notice(LeaderNotice(self._own_name, database_id))

    def _other_addresses(self) -> list[str]:
        members = self._addresses().items()
        return [address for name, address in members if name != self._own_name]

    def _find_database(self, database_id: str) -> DatabaseRecord | None:
        for group in self._groups.values():
            record = group.view.databases.get(database_id)
            if record is not None:
                return record
        return None
