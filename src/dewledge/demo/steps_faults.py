"""Steps with faults and stops: a replaced primary, a planned stop, and the closing comparison."""

import time
from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.demo.caller import WriteLedger
from dewledge.demo.narration import Narrator
from dewledge.demo.stage import Stage
from dewledge.demo.traffic import Traffic, TrafficReport, longest_gap
from dewledge.standin.group_types import HistoryEntry, LogEntry
from dewledge.standin.link_delays import Locality

WARM_UP_WRITES = 12
WRITES_AFTER = 12
FAILOVER_SECONDS = 20.0
SHOWN = 3


class GroupHistory(Protocol):
    """Where the databases' own history is read."""

    def history(self) -> Sequence[HistoryEntry]:
        """Returns every accepted commit."""

    def surviving_log(self) -> Sequence[LogEntry]:
        """Returns the log on the branch of the newest term."""


def replace_primary(stage: Stage) -> None:
    """Cuts the primary off from its group, but not from its callers, while writes go on."""
    narrator, scene = stage.narrator, stage.scene
    with narrator.step(f"{scene.primary} is cut off from its group, and replaced"):
        with Traffic(stage, "failover") as traffic:
            _await_writes(stage, traffic, WARM_UP_WRITES)
            cut_at = time.monotonic()
            stage.group.cut_off(scene.primary)
            narrator.say("it still believes to be primary, and still says yes to what reaches it")
            elected = _await_new_primary(stage)
            elected_at = time.monotonic()
            _await_writes_begun_after(stage, traffic, elected_at)
        report = traffic.report
        narrator.say(f"{elected} was elected {elected_at - cut_at:.2f} s after the cut")
        narrator.say(f"failover gap: no write acknowledged for {longest_gap(report, cut_at):.2f} s")
        _tell(stage, report)
        _check_reads(narrator, report)
        check_ledger(stage.ledger, stage.group, narrator)
        stage.group.heal(scene.primary)
        stage.check_becomes(
            "it is healed, and back as a replica",
            lambda: _follows(stage, scene.primary),
            FAILOVER_SECONDS,
        )


def stop_proxy(stage: Stage) -> None:
    """Stops one proxy as planned while writes go on, and starts another in its place."""
    narrator, cluster = stage.narrator, stage.cluster
    leaving = stage.random.choice(sorted(cluster.proxies))
    server = cluster.proxies[leaving]
    place = Locality(server.settings.zone, server.settings.region)
    with narrator.step(f"Planned stop of {leaving} under traffic"):
        with Traffic(stage, "stop") as traffic:
            _await_writes(stage, traffic, WARM_UP_WRITES)
            began = time.monotonic()
            cluster.leave_proxy(leaving)
            stopped_at = time.monotonic()
            _await_writes_begun_after(stage, traffic, stopped_at)
        report = traffic.report
        narrator.check("it ended by itself", True, server.join(0))
        narrator.say(f"that took {stopped_at - began:.2f} s")
        _tell(stage, report)
        narrator.check(
            "no request was cut: none is unknown, none is refused",
            0,
            report.unknown + report.not_run,
        )
        _check_reads(narrator, report)
        newcomer = cluster.add_proxy(place)
        cluster.await_state("the new proxy takes work", cluster.is_ready)
        reply = stage.writer().write(
            [newcomer.caller_address], stage.scene.create(f"{newcomer.name}-first")
        )
        stage.check_done(f"{newcomer.name} starts in its place and takes writes", [reply])


def compare_with_history(stage: Stage) -> None:
    """Compares everything that callers were told with what the databases hold."""
    narrator = stage.narrator
    with narrator.step("Compare all answers with the databases' own history"):
        check_ledger(stage.ledger, stage.group, narrator)
        expected = [stage.revision] * len(stage.proxies())
        narrator.check("all proxies hold the latest accepted revision", expected, stage.revisions())
        _check_connections(stage)


def _check_connections(stage: Stage) -> None:
    limit = stage.scene.deployment.max_connections
    held: Counter[str] = Counter()
    for status in stage.statuses():
        for report in status["databases"]:
            held[report["database"]] += report["connections"]
    most = max(held.values(), default=0)
    stage.narrator.check_that(
        f"all proxies together hold at most {most} connections to a database that allows {limit}",
        0 < most <= limit,
        f"1 to {limit}",
        most,
    )


def check_ledger(ledger: WriteLedger, group: GroupHistory, narrator: Narrator) -> None:
    """Checks every write that was acknowledged or refused against the group's own history.

    Raises CheckFailed.
    """
    surviving = Counter(
        statement for entry in group.surviving_log() for statement in entry.statements
    )
    accepted = {statement for entry in group.history() for statement in entry.statements}
    done = ledger.statements(Outcome.DONE)
    wrong = [statement for statement in done if surviving[statement] != 1]
    narrator.check(
        f"{len(done)} acknowledged writes stand in the group's log, each once", [], wrong[:SHOWN]
    )
    refused = ledger.statements(Outcome.NOT_RUN)
    ran = [statement for statement in refused if statement in accepted]
    narrator.check(
        f"{len(refused)} writes were answered as not run, and none of them ran", [], ran[:SHOWN]
    )


def _check_reads(narrator: Narrator, report: TrafficReport) -> None:
    narrator.check_that("writes were read back", report.reads > 0, "at least one", report.reads)
    narrator.check("the session's next read shows each acknowledged write", [], report.missed)


def _tell(stage: Stage, report: TrafficReport) -> None:
    stage.narrator.say(
        f"writes: {len(report.ended)} done, {report.not_run} not run, {report.unknown} unknown; "
        f"{report.reads} read back through another proxy"
    )


def _await_writes(stage: Stage, traffic: Traffic, count: int) -> None:
    stage.cluster.await_state(
        f"{count} writes are acknowledged", lambda: traffic.acknowledged() >= count
    )


def _await_writes_begun_after(stage: Stage, traffic: Traffic, moment: float) -> None:
    stage.cluster.await_state(
        "writes go on",
        lambda: traffic.acknowledged_begun_after(moment) >= WRITES_AFTER,
        FAILOVER_SECONDS,
    )


def _await_new_primary(stage: Stage) -> str:
    old = stage.scene.primary
    found: list[str] = []

    def is_elected() -> bool:
        primaries = [it for it in stage.group.statuses() if it.role is DatabaseRole.PRIMARY]
        found[:] = [it.database for it in primaries if it.database != old]
        return bool(found)

    stage.cluster.await_state("a new primary is elected", is_elected, FAILOVER_SECONDS)
    return found[0]


def _follows(stage: Stage, database: str) -> bool:
    statuses = {it.database: it for it in stage.group.statuses()}
    status = statuses.get(database)
    newest = max(it.term for it in statuses.values())
    return status is not None and status.role is DatabaseRole.REPLICA and status.term == newest
