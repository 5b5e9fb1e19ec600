"""Steps on sessions and on writes that may take effect only once."""

import uuid

from dewledge.core.proxy.calls import Outcome, Statement
from dewledge.demo.caller import CallerReply
from dewledge.demo.stage import Stage
from dewledge.standin.group_types import ActivityKind

ROAMING_TURNS = 12
REPLICA_SECONDS = 15.0


def start_and_describe(stage: Stage) -> None:
    """Shows that the resources are in force everywhere, and creates the tables."""
    narrator, cluster, scene = stage.narrator, stage.cluster, stage.scene
    with narrator.step("Start: resources accepted, tables created"):
        narrator.say(
            f"{len(cluster.proxies)} proxies, {len(cluster.groups)} groups with "
            f"{len(scene.deployment.databases())} databases, one platform; all on loopback"
        )
        stage.revision = max(stage.revisions())
        stage.check_in_force("the resources are in force on all proxies")
        writer = stage.writer()
        replies = [
            writer.write(stage.proxies(), Statement(sql))
            for sql in scene.deployment.workload.schema
        ]
        stage.check_done(f"the tables are created in {scene.group}", replies)


def roam(stage: Stage) -> None:
    """Writes on one proxy and reads on another, in one session; replicas serve reads."""
    narrator, scene = stage.narrator, stage.scene
    with narrator.step(
        f"One session over three proxies: {scene.create_does}, then {scene.amend_does}"
    ):
        caller = stage.writer()
        proxies = stage.proxies()
        reference = f"{scene.group}-roaming"
        stage.check_done(
            "the first write is acknowledged", [caller.write(proxies, scene.create(reference))]
        )
        seen: list[object] = []
        expected: list[object] = []
        served: list[str] = []
        replies: list[CallerReply] = []
        for turn in range(ROAMING_TURNS):
            order = stage.random.sample(proxies, len(proxies))
            text = f"change {turn}"
            changed = caller.write(order, scene.amend(reference, text))
            reply = caller.read(order[-1], scene.read(reference))
            replies += [changed, reply]
            expected.append(text)
            seen += [scene.amended_text(row) for row in reply.rows]
            served.append(reply.served_by)
        stage.check_done("every write and read of the session is answered", replies)
        narrator.check(
            f"{ROAMING_TURNS} changes, each read back through another proxy: all seen",
            expected,
            seen,
        )
        _read_on_replicas(stage, reference, served)


def _read_on_replicas(stage: Stage, reference: str, served: list[str]) -> None:
    """Goes on reading in new sessions until a replica has served a read that is up to date."""
    scene, narrator = stage.scene, stage.narrator
    caller = stage.caller(scene.reader)
    last = f"change {ROAMING_TURNS - 1}"
    stale: list[object] = []

    def is_served_by_replica() -> bool:
        proxy = stage.random.choice(stage.proxies())
        reply = caller.read(proxy, scene.read(reference))
        if reply.outcome is Outcome.DONE:
            served.append(reply.served_by)
            shown = [scene.amended_text(row) for row in reply.rows]
            if shown != [last]:
                stale.append(shown)
        return any(name != scene.primary for name in served)

    stage.cluster.await_state("a replica serves a read", is_served_by_replica, REPLICA_SECONDS)
    by_replicas = [name for name in served if name != scene.primary]
    recorded = [
        entry.database
        for entry in stage.group.activity()
        if entry.kind is ActivityKind.READ and entry.database != scene.primary
    ]
    narrator.check("a session that begins with a read sees the latest change", [], stale)
    narrator.check_that(
        f"{len(by_replicas)} of {len(served)} reads were served by replicas; they recorded them",
        len(recorded) >= len(by_replicas),
        f"at least {len(by_replicas)} reads in the replicas' own record",
        f"{len(recorded)}",
    )


def write_once(stage: Stage) -> None:
    """Repeats a write that costs money, also after its answer was lost: one effect."""
    narrator, scene = stage.narrator, stage.scene
    with narrator.step(f"At most once: {scene.once_does}, repeated under its idempotency key"):
        _repeat_everywhere(stage)
        _repeat_after_lost_answer(stage)


def _repeat_everywhere(stage: Stage) -> None:
    narrator, scene = stage.narrator, stage.scene
    reference = f"{scene.group}-once"
    key = uuid.UUID(int=stage.random.getrandbits(128)).hex
    replies = [
        stage.writer().write([proxy], scene.once(reference), key) for proxy in stage.proxies()
    ]
    stage.check_done("sent once through each proxy, every answer says done", replies)
    narrator.check("the repeats say so", [False, True, True], [it.repeated for it in replies])
    _check_one_effect(stage, reference)


def _repeat_after_lost_answer(stage: Stage) -> None:
    narrator, scene = stage.narrator, stage.scene
    reference = f"{scene.group}-lost-answer"
    key = uuid.UUID(int=stage.random.getrandbits(128)).hex
    statement = scene.once(reference)
    stage.group.lose_answers(scene.primary, 1)
    first = stage.writer().write(stage.proxies(), statement, key)
    narrator.say(f"the primary commits and its answer is lost: the caller is told {first.outcome}")
    narrator.check_that(
        "the caller is never told that it did not run",
        first.outcome is not Outcome.NOT_RUN,
        "done or unknown",
        first.outcome,
    )
    again = stage.writer().write(stage.proxies()[::-1], statement, key)
    stage.check_done("the repeat through another proxy gets the recorded outcome", [again])
    _check_one_effect(stage, reference)


def _check_one_effect(stage: Stage, reference: str) -> None:
    scene = stage.scene
    counted = stage.writer().read(stage.proxies()[0], scene.count_once(reference))
    stage.narrator.check("the database counts one effect", [[1]], counted.rows)
    logged = [
        entry for entry in stage.group.surviving_log() if scene.once(reference) in entry.statements
    ]
    stage.narrator.check("the group's log holds it once", 1, len(logged))
