"""The callers' side: sessions that roam over proxies, and the requests they send."""

from collections.abc import Callable
from random import Random

import msgspec

from dewledge.core.proxy.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    Operation,
    Outcome,
    Statement,
)
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.shared.positions import LogPosition, satisfies
from dewledge.simulation.core_factory import session_codec
from dewledge.simulation.history import RequestRecord
from dewledge.simulation.simulated_proxy import ProcessState, SimulatedProxy
from dewledge.simulation.world import CLIENT_PREFIX, World

REFUSED_CONNECTION_ATTEMPTS = 6
"""Proxies that a caller tries in turn when nothing listens at the one it chose."""

GIVE_UP_TIME = 1.0
"""Seconds after which a caller gives up a connection on which nothing passes."""

AnswerHandler = Callable[[RequestRecord, CallerAnswer | None], None]


class CallerSession:
    """One caller's session: its token goes with it from proxy to proxy."""

    def __init__(self, name: str, caller: str, site: str, group: str) -> None:
        self.name = name
        self.caller = caller
        self.site = site
        self.group = group
        self.record = f"record-{name}"
        self.token: str | None = None
        self.version = 0
        self.busy = False


class CallerCall(msgspec.Struct, frozen=True):
    """What a session asks for. time_limit: seconds until its deadline.

    marker: None for one that is made up, unique to this request.
    """

    workload: str
    operation: Operation
    access: Access
    time_limit: float
    statement: Callable[[str], Statement] | None = None
    marker: str | None = None
    record: str = ""
    version: int | None = None
    idempotency_key: str | None = None
    transaction: str | None = None
    transaction_tag: str | None = None


class CallerClient:
    """Sends requests for sessions and records what comes back."""

    def __init__(self, world: World, random: Random, home_share: float = 0.7) -> None:
        self._world = world
        self._random = random
        self._home_share = home_share
        self._numbers = 0
        self._codec: SessionTokenCodec = session_codec()

    def next_marker(self) -> str:
        """Returns a marker that was not used before."""
        self._numbers += 1
        return f"m:{self._numbers}"

    def send(
        self, session: CallerSession, call: CallerCall, on_answer: AnswerHandler
    ) -> RequestRecord:
        """Sends a request; `on_answer` gets None if the connection broke."""
        marker = call.marker or self.next_marker()
        now = self._world.queue.now
        record = RequestRecord(
            number=len(self._world.history.requests),
            session=session.name,
            caller=session.caller,
            group=session.group,
            workload=call.workload,
            access=call.access,
            operation=call.operation,
            marker=marker,
            proxy=self._choose_proxy(session),
            sent_at=now,
            deadline=now + call.time_limit,
            record=call.record,
            version=call.version,
            idempotency_key=call.idempotency_key,
            transaction_tag=call.transaction_tag,
        )
        self._world.history.requests.append(record)
        _Exchange(self._world, session, call, record, on_answer, self._choose_proxy).start()
        if call.access is Access.READ and call.transaction is None:
            self._watch_freshness(session, record)
        return record

    def _choose_proxy(self, session: CallerSession) -> str:
        """Picks one in the caller's own site most of the time, else any."""
        proxies = self._world.running_proxies() or list(self._world.proxies)
        home = [name for name in proxies if self._world.proxies[name].place.region == session.site]
        chosen = home if home and self._random.random() < self._home_share else proxies
        return self._random.choice(chosen)

    def _watch_freshness(self, session: CallerSession, record: RequestRecord) -> None:
        """Looks from outside whether some replica could serve this read, at once or soon."""
        queue = self._world.queue
        group = self._world.configuration.group(record.group)
        links = self._world.deployment.links
        wait = group.read_wait if group is not None else 0.0
        token = session.token
        record.has_floor = self._floor(token, record) is not None
        look = lambda: self._look_for_fresh_replica(token, record)  # noqa: E731
        queue.call_after(links.to_clients, look)
        queue.call_after(links.to_clients + links.within_zone + wait, look)

    def _look_for_fresh_replica(self, token: str | None, record: RequestRecord) -> None:
        if record.fresh_replica:
            return
        model = self._world.groups[record.group]
        floor = self._floor(token, record)
        for database in model.databases:
            status = model.status(database.name, self._world.queue.now)
            if status is None or status.role is DatabaseRole.PRIMARY:
                continue
            if floor is None or satisfies(status.applied, floor, status.term_starts):
                record.fresh_replica = True

    def _floor(self, token: str | None, record: RequestRecord) -> LogPosition | None:
        return self._codec.open(token, record.caller).floor(record.group) if token else None


class _Exchange:
    """One request on its way to a proxy and back."""

    def __init__(
        self,
        world: World,
        session: CallerSession,
        call: CallerCall,
        record: RequestRecord,
        on_answer: AnswerHandler,
        choose_proxy: Callable[[CallerSession], str],
    ) -> None:
        self._world = world
        self._session = session
        self._call = call
        self._record = record
        self._on_answer = on_answer
        self._choose_proxy = choose_proxy
        self._client = CLIENT_PREFIX + session.site
        self._attempts = 0
        self._finished = False

    def start(self) -> None:
        """Sends the request; without any answer the caller gives up a while past its deadline."""
        self._try_proxy()
        patience = self._record.deadline + 2.0
        self._world.queue.call_at(patience, lambda: self._finish(None))

    def _try_proxy(self) -> None:
        self._attempts += 1
        proxy = self._world.proxies[self._record.proxy]
        self._world.network.send_reliably(
            self._client, proxy.name, lambda: self._arrive(proxy), self._cut_off
        )

    def _arrive(self, proxy: SimulatedProxy) -> None:
        if proxy.state is ProcessState.DEAD:
            self._world.network.send_reliably(proxy.name, self._client, self._refused)
            return
        proxy.receive_call(self._request(), self._reply_from(proxy), self._reset_from(proxy))

    def _reply_from(self, proxy: SimulatedProxy) -> Callable[[CallerAnswer], None]:
        return lambda answer: self._world.network.send_reliably(
            proxy.name, self._client, lambda: self._answered(answer), self._cut_off
        )

    def _reset_from(self, proxy: SimulatedProxy) -> Callable[[], None]:
        return lambda: self._world.network.send_reliably(proxy.name, self._client, self._reset)

    def _cut_off(self) -> None:
        """Nothing passes: after a while the caller gives its connection up."""
        self._world.queue.call_after(GIVE_UP_TIME, self._reset)

    def _reset(self) -> None:
        if not self._finished:
            self._record.reset = True
            self._finish(None)

    def _refused(self) -> None:
        """Nothing listened, so nothing was sent: the caller may turn to another proxy."""
        if self._finished:
            return
        if self._attempts >= REFUSED_CONNECTION_ATTEMPTS:
            self._record.reset = True
            self._finish(None)
            return
        self._record.proxy = self._choose_proxy(self._session)
        self._try_proxy()

    def _request(self) -> CallerRequest:
        call = self._call
        return CallerRequest(
            request_id=self._record.number,
            caller=self._session.caller,
            group=self._session.group,
            deadline=self._record.deadline,
            operation=call.operation,
            access=call.access,
            statement=call.statement(self._record.marker) if call.statement else None,
            session=self._session.token,
            transaction=call.transaction,
            idempotency_key=call.idempotency_key,
        )

    def _answered(self, answer: CallerAnswer) -> None:
        self._record.answers += 1
        if self._finished:
            return
        if answer.session is not None:
            self._session.token = answer.session
        note_answer(self._record, answer)
        self._finish(answer)

    def _finish(self, answer: CallerAnswer | None) -> None:
        if self._finished:
            return
        self._finished = True
        if answer is not None:
            self._record.answered_at = self._world.queue.now
        self._on_answer(self._record, answer)


def note_answer(record: RequestRecord, answer: CallerAnswer) -> None:
    """Writes an answer into a request's record."""
    record.outcome = answer.outcome
    record.code = answer.code
    record.retry_after = answer.retry_after
    record.repeated = answer.repeated
    if answer.rows is not None:
        record.rows = answer.rows.rows
    is_read = answer.outcome is Outcome.DONE and record.access is Access.READ
    if is_read and record.record and record.rows and len(record.rows[0]) > 1:
        seen = record.rows[0][1]
        record.seen_version = seen if isinstance(seen, int) else 0
