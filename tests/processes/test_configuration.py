"""Accepted changes under failure, and two operators at once, judged against the table service."""

import contextlib
import threading
import time
import uuid
from collections.abc import Callable

import msgspec

from dewledge.adapters.http_platform import HttpTableService, PlatformClient
from dewledge.cli.http_client import HttpAnswer
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.codec import decode_change
from dewledge.core.proxy.configuration.store import change_key
from dewledge.core.proxy.ports import Row
from dewledge.errors import ErrorCode, StoreRateLimited
from dewledge.simulation.history import AcceptanceRecord, History
from dewledge.simulation.promises_operations import IN_FORCE_BOUND
from dewledge.standin.platform_server import PlatformFaults
from tests.process_cluster import ProxyProcess, await_state
from tests.processes.observed_cluster import ClusterTestCase, ObservedCluster
from tests.processes.revision_watch import RevisionWatch

STORE_SECONDS = 5.0
PROPOSAL_SECONDS = 15.0
CHANGES = 3
ROUNDS = 3

Fault = Callable[[ObservedCluster, ProxyProcess], None]


class Proposal(msgspec.Struct, frozen=True):
    """A change as an operator sent it, and what it was told."""

    change_id: str
    value: str
    answer: HttpAnswer


class AcceptanceRow(msgspec.Struct, frozen=True):
    """A fault right after a change was accepted, of the proxy that accepted it or the store."""

    name: str
    fault: Fault


class RaceRow(msgspec.Struct, frozen=True):
    """A fault of the store while two operators change the same label through two proxies."""

    name: str
    faults: PlatformFaults


def _kill(cluster: ObservedCluster, accepting: ProxyProcess) -> None:
    cluster.kill_proxy(accepting)


def _store_down(cluster: ObservedCluster, accepting: ProxyProcess) -> None:
    cluster.platform.set_faults(PlatformFaults(down=True))


def _kill_and_store_down(cluster: ObservedCluster, accepting: ProxyProcess) -> None:
    _kill(cluster, accepting)
    _store_down(cluster, accepting)


def _freeze(cluster: ObservedCluster, accepting: ProxyProcess) -> None:
    cluster.freeze_proxy(accepting)


ACCEPTANCE_ROWS = (
    AcceptanceRow("accepting proxy killed", _kill),
    AcceptanceRow("store down", _store_down),
    AcceptanceRow("accepting proxy killed, store down", _kill_and_store_down),
    AcceptanceRow("accepting proxy frozen over later changes", _freeze),
)

RACE_ROWS = (
    RaceRow("no fault", PlatformFaults()),
    RaceRow("one answer lost", PlatformFaults(lose_answers=1)),
    RaceRow("two answers lost", PlatformFaults(lose_answers=2)),
    RaceRow("four answers lost", PlatformFaults(lose_answers=4)),
    RaceRow("store slow, answers lost", PlatformFaults(slowness=0.2, lose_answers=2)),
)


class ConfigurationTest(ClusterTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.database = self.cluster.primary()
        client = PlatformClient(self.cluster.platform_address)
        self.addCleanup(client.close)
        self.table = HttpTableService(client)

    def test_accepted_change_stays(self) -> None:
        for row in ACCEPTANCE_ROWS:
            with self.subTest(row.name):
                self._accept(row)

    def _accept(self, row: AcceptanceRow) -> None:
        history = History()
        proxies = list(self.cluster.proxies.values())
        watch = RevisionWatch(proxies, history)
        accepting = proxies[-1]
        try:
            first = self._accepted(accepting, history)
            row.fault(self.cluster, accepting)
            answering = self.cluster.answering_proxies()
            await_state("it is in force", lambda: watch.have(answering, first))
            self.cluster.platform.set_faults(PlatformFaults(down=False))
            last = [self._accepted(answering[0], history) for _ in range(CHANGES)][-1]
            self.cluster.thaw_proxies()
            remaining = list(self.cluster.proxies.values())
            await_state("all have the last one", lambda: watch.have(remaining, last))
        finally:
            watch.finish()
            self.cluster.repair()
        history.absences = list(self.cluster.absences)
        history.ended_at = time.monotonic() + IN_FORCE_BOUND
        self.assertEqual(len(history.acceptances), 1 + CHANGES)
        self.check_promises(history)

    def _accepted(self, proxy: ProxyProcess, history: History) -> int:
        """Has a change accepted, and checks that the store holds it."""
        told: list[Proposal] = []

        def is_accepted() -> bool:
            told.append(self._propose(proxy, uuid.uuid4().hex, None))
            return told[-1].answer.outcome is Outcome.DONE

        await_state("a change is accepted", is_accepted)
        revision = int(told[-1].answer.body["revision"])
        history.acceptances.append(AcceptanceRecord(time.monotonic(), revision))
        self.assertEqual(self._stored_revision(told[-1]), revision)
        return revision

    def test_two_operators_at_once(self) -> None:
        for row in RACE_ROWS:
            for turn in range(ROUNDS):
                with self.subTest(row.name, turn=turn):
                    self._race(row)
        self.cluster.platform.set_faults(PlatformFaults(slowness=0.0, lose_answers=0))

    def _race(self, row: RaceRow) -> None:
        self.cluster.platform.set_faults(PlatformFaults(slowness=0.0, lose_answers=0))
        proxies = list(self.cluster.proxies.values())
        await_state("all have one revision", lambda: len(set(map(_revision, proxies))) == 1)
        base = _revision(proxies[0])
        self.cluster.platform.set_faults(row.faults)
        proposals = self._propose_at_once(proxies[:2], base)
        self.cluster.platform.set_faults(PlatformFaults(slowness=0.0, lose_answers=0))
        won = [it for it in proposals if self._stored_revision(it) is not None]
        self.assertEqual(len(won), 1, proposals)
        for proposal in proposals:
            self._check_told(proposal, won[0], proxies[2])
        in_force = lambda: {self._label(it) for it in proxies} == {won[0].value}  # noqa: E731
        await_state("the winner is in force", in_force)

    def _check_told(self, proposal: Proposal, winner: Proposal, other: ProxyProcess) -> None:
        """The operator's answer, and what another proxy says, agree with the table service."""
        answer = proposal.answer
        expected = Outcome.DONE if proposal is winner else Outcome.NOT_RUN
        self.assertIn(answer.outcome, (expected, Outcome.UNKNOWN), answer.body)
        if answer.outcome is Outcome.NOT_RUN:
            self.assertIs(answer.code, ErrorCode.REVISION_CONFLICT, answer.body)
            self.assertEqual(answer.body["winner"]["change_id"], winner.change_id)
        found = other.client().get(f"/v1/changes/{proposal.change_id}").body
        self.assertEqual(found["accepted"], proposal is winner)

    def _propose_at_once(self, proxies: list[ProxyProcess], base: int) -> list[Proposal]:
        proposals: list[Proposal] = []
        barrier = threading.Barrier(len(proxies))

        def propose(proxy: ProxyProcess) -> None:
            barrier.wait()
            proposals.append(self._propose(proxy, uuid.uuid4().hex, base))

        threads = [threading.Thread(target=propose, args=(proxy,)) for proxy in proxies]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return proposals

    def _propose(self, proxy: ProxyProcess, change_id: str, base: int | None) -> Proposal:
        value = f"v-{change_id}"
        label = {"kind": "Database", "name": self.database, "set": {"round": value}}
        body = {"change_id": change_id, "base_revision": base, "label": [label]}
        answer = proxy.client().post("/v1/changes", body, PROPOSAL_SECONDS)
        return Proposal(change_id, value, answer)

    def _stored_revision(self, proposal: Proposal) -> int | None:
        """What the table service itself holds of a change."""
        rows: list[Row] = []

        def is_read() -> bool:
            with contextlib.suppress(StoreRateLimited):
                rows.append(self.table.read(change_key(proposal.change_id), STORE_SECONDS))
            return bool(rows)

        await_state("the table service answers", is_read)
        row = rows[-1]
        return decode_change(row.value).revision if row.value else None

    def _label(self, proxy: ProxyProcess) -> str:
        query = {"kind": "Database", "name": self.database}
        documents = proxy.client().get("/v1/resources", query).body["resources"]
        return str(documents[0]["metadata"]["labels"].get("round"))


def _revision(proxy: ProxyProcess) -> int:
    return int(proxy.client().get("/v1/status").body["revision"])
