"""Steps of operators: a service is moved by relabelling it, and a database is drained."""

import hashlib
import time

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.demo.caller import CallerReply
from dewledge.demo.stage import Stage
from dewledge.errors import ErrorCode
from dewledge.standin.deployment_resources import (
    DEPLOYMENT_LABEL,
    ROLE_LABEL,
    demonstration_token,
)
from dewledge.standin.deployments import CallerRole
from dewledge.standin.group_types import ActivityEntry, ActivityKind

SERVES_SECONDS = 10.0
CLOSED_SECONDS = 10.0
DRAINED_READS = 30
STATEMENT_KINDS = (ActivityKind.READ, ActivityKind.WRITE, ActivityKind.BEGIN)


def move_service(stage: Stage) -> None:
    """Lets a service in by changing its labels: refused before, allowed after, on all proxies."""
    narrator, scene = stage.narrator, stage.scene
    with narrator.step(f"A label change moves the service {scene.newcomer} off its scripts"):
        _describe_newcomer(stage)
        replies = _ask_as_newcomer(stage) + _write_as_newcomer(stage)
        codes = [reply.code for reply in replies]
        narrator.check(
            "before: its reads and writes are refused on all proxies",
            [ErrorCode.FORBIDDEN] * len(codes),
            codes,
        )
        labels = {
            DEPLOYMENT_LABEL: scene.deployment.name.value,
            ROLE_LABEL: CallerRole.READER.value,
        }
        began = time.monotonic()
        revision = _label(stage, Kind.CALLER, scene.newcomer, labels)
        accepted = time.monotonic()
        narrator.say(
            f"labels {labels} accepted as revision {revision} after {accepted - began:.2f} s"
        )
        stage.check_in_force("the change gets in force on all proxies")
        narrator.say(f"that took {time.monotonic() - accepted:.2f} s more")
        stage.check_done("after: it may read on all proxies", _ask_as_newcomer(stage))


def _describe_newcomer(stage: Stage) -> None:
    scene = stage.scene
    token = demonstration_token(scene.deployment, scene.newcomer)
    document = {
        "kind": Kind.CALLER.value,
        "metadata": {"name": scene.newcomer, "labels": {"served-by": "scripts"}},
        "spec": {"tokenSha256": [hashlib.sha256(token.encode()).hexdigest()]},
    }
    stage.change({"put": [document]})
    stage.check_in_force(f"{scene.newcomer} is known to all proxies, and no rule selects it")


def _ask_as_newcomer(stage: Stage) -> list[CallerReply]:
    scene = stage.scene
    return [
        stage.caller(scene.newcomer).read(proxy, scene.read("any")) for proxy in stage.proxies()
    ]


def _write_as_newcomer(stage: Stage) -> list[CallerReply]:
    scene = stage.scene
    caller = stage.caller(scene.newcomer)
    return [
        caller.write([proxy], scene.create(f"{scene.newcomer}-{number}"))
        for number, proxy in enumerate(stage.proxies())
    ]


def drain_database(stage: Stage) -> None:
    """Drains a replica: from the moment it is in force everywhere, it gets no statement."""
    narrator, scene = stage.narrator, stage.scene
    replicas = [
        name for name in scene.deployment.databases_of(scene.group) if name != scene.primary
    ]
    drained = stage.random.choice(replicas)
    with narrator.step(f"Drain {drained}"):
        _label(stage, Kind.DATABASE, drained, {DRAIN_LABEL: "true"})
        stage.check_in_force("the drain gets in force on all proxies")
        before = _statements_at(stage, drained)
        caller = stage.caller(scene.reader)
        replies = [
            caller.read(stage.proxies()[turn % len(stage.proxies())], scene.read("any"))
            for turn in range(DRAINED_READS)
        ]
        stage.check_done(f"{DRAINED_READS} reads go on", replies)
        served = sorted({reply.served_by for reply in replies})
        narrator.check_that(
            f"served by {', '.join(served)}", drained not in served, f"not {drained}", served
        )
        narrator.check(
            f"{drained} itself records no new statement",
            [],
            _statements_at(stage, drained)[len(before) :],
        )
        stage.check_becomes(
            "no proxy holds a connection to it any more",
            lambda: _connections_to(stage, drained) == 0,
            CLOSED_SECONDS,
        )
        stage.change(_label_change(Kind.DATABASE, drained, {}, (DRAIN_LABEL,)))
        stage.check_becomes(
            "the drain is undone: it serves reads again",
            lambda: _serves(stage, drained),
            SERVES_SECONDS,
        )


def _serves(stage: Stage, database: str) -> bool:
    caller = stage.caller(stage.scene.reader)
    replies = [caller.read(proxy, stage.scene.read("any")) for proxy in stage.proxies()]
    return any(it.outcome is Outcome.DONE and it.served_by == database for it in replies)


def _connections_to(stage: Stage, database: str) -> int:
    return sum(
        report["connections"]
        for status in stage.statuses()
        for report in status["databases"]
        if report["database"] == database
    )


def _statements_at(stage: Stage, database: str) -> list[ActivityEntry]:
    return [
        entry
        for entry in stage.group.activity()
        if entry.database == database and entry.kind in STATEMENT_KINDS
    ]


def _label(stage: Stage, kind: Kind, name: str, labels: dict[str, str]) -> int:
    return stage.change(_label_change(kind, name, labels, ()))


def _label_change(
    kind: Kind, name: str, labels: dict[str, str], removed: tuple[str, ...]
) -> dict[str, object]:
    change = {"kind": kind.value, "name": name, "set": labels, "remove": list(removed)}
    return {"label": [change]}
