"""A described mix of callers: open-loop arrivals over sessions that roam."""

from random import Random

import msgspec

from dewledge.core.proxy.calls import Access, CallerAnswer, Operation, Outcome
from dewledge.simulation.callers import CallerCall, CallerClient, CallerSession
from dewledge.simulation.history import RequestRecord
from dewledge.simulation.transaction_script import TransactionScript
from dewledge.simulation.workloads import (
    WORKLOADS,
    Action,
    Workload,
    amend,
    append,
    list_records,
    read_record,
)
from dewledge.simulation.world import World

MAX_REPEATS = 6
REPEAT_PAUSE = 0.2
"""Seconds before a caller repeats a request whose outcome it must know."""


class PopulationSettings(msgspec.Struct, frozen=True):
    """rate: arrivals per second. time_limit: seconds until a request's deadline.

    sessions: how many are begun with; more are begun when all are busy.
    workloads: the mix, if it is not that of the deployment.
    """

    rate: float = 200.0
    time_limit: float = 2.0
    sessions: int = 60
    workloads: tuple[Workload, ...] = ()


class Population:
    """Sends requests at random times, whether or not earlier ones were answered."""

    def __init__(self, world: World, random: Random, settings: PopulationSettings) -> None:
        self._world = world
        self._random = random
        self._settings = settings
        self._workloads = settings.workloads or WORKLOADS[world.deployment.name]
        self._shares = [item.share for item in self._workloads]
        self.client = CallerClient(world, random)
        self.sessions: list[CallerSession] = []
        self._ends_at = 0.0
        for _ in range(settings.sessions):
            self._new_session(random.choice(world.deployment.callers))

    def start(self, ends_at: float) -> None:
        """Begins arrivals; none comes after `ends_at`."""
        self._ends_at = ends_at
        self._schedule_arrival()

    def perform(self, session: CallerSession, workload: Workload) -> None:
        """Has a session do one piece of its workload."""
        session.busy = True
        match workload.action:
            case Action.AMEND:
                self._amend(session, workload)
            case Action.READ_OWN:
                self._read(session, workload.name, session.record)
            case Action.LOOK_UP:
                self._read(session, workload.name, self._random.choice(self.sessions).record)
            case Action.LIST:
                self._list(session, workload)
            case Action.APPEND:
                self._append(session, workload)
            case Action.SUBMIT:
                self._submit(session, workload)
            case Action.TRANSACTION:
                script = TransactionScript(self.client, session, workload.name, self._random)
                script.start(self._settings.time_limit, lambda: self._release(session))

    def _schedule_arrival(self) -> None:
        self._world.queue.call_after(self._random.expovariate(self._settings.rate), self._arrive)

    def _arrive(self) -> None:
        if self._world.queue.now >= self._ends_at:
            return
        workload = self._random.choices(self._workloads, self._shares)[0]
        self.perform(self._idle_session(workload.caller), workload)
        self._schedule_arrival()

    def _idle_session(self, caller: str) -> CallerSession:
        idle = [item for item in self.sessions if item.caller == caller and not item.busy]
        return self._random.choice(idle) if idle else self._new_session(caller)

    def _new_session(self, caller: str) -> CallerSession:
        deployment = self._world.deployment
        groups = deployment.groups
        site = self._random.randrange(len(deployment.sites))
        number = len(self.sessions)
        session = CallerSession(
            f"{caller}-{number}", caller, deployment.sites[site], groups[site % len(groups)]
        )
        self.sessions.append(session)
        return session

    def _release(self, session: CallerSession) -> None:
        session.busy = False

    def _call(self, workload: str, access: Access) -> CallerCall:
        return CallerCall(workload, Operation.EXECUTE, access, self._settings.time_limit)

    def _amend(self, session: CallerSession, workload: Workload) -> None:
        session.version += 1
        version = session.version
        call = msgspec.structs.replace(
            self._call(workload.name, Access.WRITE),
            statement=lambda marker: amend(session.record, version, marker),
            record=session.record,
            version=version,
        )

        def answered(record: RequestRecord, answer: CallerAnswer | None) -> None:
            self._read(session, f"{workload.name}, read back", session.record)

        self.client.send(session, call, answered)

    def _read(self, session: CallerSession, workload: str, record: str) -> None:
        call = msgspec.structs.replace(
            self._call(workload, Access.READ),
            statement=lambda marker: read_record(record, marker),
            record=record,
        )
        self.client.send(session, call, lambda record, answer: self._release(session))

    def _list(self, session: CallerSession, workload: Workload) -> None:
        call = msgspec.structs.replace(
            self._call(workload.name, Access.READ), statement=list_records
        )
        self.client.send(session, call, lambda record, answer: self._release(session))

    def _append(self, session: CallerSession, workload: Workload) -> None:
        call = msgspec.structs.replace(
            self._call(workload.name, Access.WRITE),
            statement=lambda marker: append(marker, workload.name),
        )
        self.client.send(session, call, lambda record, answer: self._release(session))

    def _submit(self, session: CallerSession, workload: Workload) -> None:
        """Repeats under one key, with one marker, until the outcome is known to be done."""
        marker = self.client.next_marker()
        call = msgspec.structs.replace(
            self._call(workload.name, Access.WRITE),
            statement=lambda marker: append(marker, workload.name),
            marker=marker,
            idempotency_key=f"key-{marker[2:]}",
        )
        self._submit_attempt(session, call, MAX_REPEATS)

    def _submit_attempt(self, session: CallerSession, call: CallerCall, left: int) -> None:
        def answered(record: RequestRecord, answer: CallerAnswer | None) -> None:
            if record.outcome is Outcome.DONE or left == 0:
                self._release(session)
                return
            pause = max(REPEAT_PAUSE, record.retry_after or 0.0)
            self._world.queue.call_after(
                pause, lambda: self._submit_attempt(session, call, left - 1)
            )

        self.client.send(session, call, answered)
