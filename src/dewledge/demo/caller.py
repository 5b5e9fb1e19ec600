"""A caller whose session roams from proxy to proxy, and the record of what it was told."""

import threading
from collections.abc import Sequence

import msgspec

from dewledge.cli.http_client import AnswerLost, HttpAnswer, ProxyClient, ProxyUnreachable
from dewledge.core.proxy.calls import Access, Outcome, Scalar, Statement
from dewledge.errors import ErrorCode

STATEMENTS_PATH = "/v1/statements"
DEADLINE_MS = 8000
ANSWER_SECONDS = 12.0


class CallerReply(msgspec.Struct, frozen=True):
    """What a caller knows after one request. served_by: a database; proxy: who answered."""

    outcome: Outcome
    code: ErrorCode | None
    rows: list[list[Scalar]]
    served_by: str
    proxy: str
    repeated: bool


class WriteRecord(msgspec.Struct, frozen=True):
    """A write and the outcome its caller was told."""

    statement: Statement
    outcome: Outcome


class WriteLedger:
    """All writes of the demo, for comparing with the databases' own history. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[WriteRecord] = []

    def add(self, statement: Statement, outcome: Outcome) -> None:
        """Records one write."""
        with self._lock:
            self._records.append(WriteRecord(statement, outcome))

    def statements(self, outcome: Outcome) -> list[Statement]:
        """Returns the writes whose callers were told `outcome`."""
        with self._lock:
            return [item.statement for item in self._records if item.outcome is outcome]


class RoamingCaller:
    """One session of one caller. It carries the token from answer to request; one thread uses it.

    Each request names the proxies it may go to.
    """

    def __init__(self, token: str, group: str, ledger: WriteLedger | None = None) -> None:
        self._token = token
        self._group = group
        self._ledger = ledger
        self._session: str | None = None
        self._clients: dict[str, ProxyClient] = {}

    def read(self, proxy: str, statement: Statement) -> CallerReply:
        """Reads through the proxy at `proxy`. Raises ProxyUnreachable."""
        return self._ask(proxy, statement, Access.READ, None)

    def read_or_none(self, proxy: str, statement: Statement) -> CallerReply | None:
        """Reads; None if the proxy cannot be reached."""
        try:
            return self.read(proxy, statement)
        except ProxyUnreachable:
            return None

    def write(
        self, proxies: Sequence[str], statement: Statement, key: str | None = None
    ) -> CallerReply:
        """Writes through the first of `proxies` that takes new work.

        Raises ProxyUnreachable if none does; the write was sent to no database then.
        """
        for proxy in proxies:
            try:
                reply = self._ask(proxy, statement, Access.WRITE, key)
            except ProxyUnreachable:
                continue
            if reply.code is ErrorCode.LEAVING:
                continue
            if self._ledger is not None and not reply.repeated:
                self._ledger.add(statement, reply.outcome)
            return reply
        raise ProxyUnreachable("no proxy takes new work")

    def _ask(
        self, proxy: str, statement: Statement, access: Access, key: str | None
    ) -> CallerReply:
        body = {
            "group": self._group,
            "sql": statement.sql,
            "parameters": list(statement.parameters),
            "access": str(access),
            "deadline_ms": DEADLINE_MS,
        }
        if self._session is not None:
            body["session"] = self._session
        if key is not None:
            body["idempotency_key"] = key
        try:
            answer = self._client(proxy).post(STATEMENTS_PATH, body, ANSWER_SECONDS)
        except AnswerLost:
            return CallerReply(Outcome.UNKNOWN, ErrorCode.CONNECTION_LOST, [], "", proxy, False)
        self._session = answer.body.get("session") or self._session
        return _reply(answer)

    def _client(self, proxy: str) -> ProxyClient:
        client = self._clients.get(proxy)
        if client is None:
            client = ProxyClient([proxy], self._token)
            self._clients[proxy] = client
        return client


def _reply(answer: HttpAnswer) -> CallerReply:
    return CallerReply(
        outcome=answer.outcome,
        code=answer.code,
        rows=answer.body.get("rows") or [],
        served_by=answer.body.get("served_by") or "",
        proxy=answer.proxy,
        repeated=bool(answer.body.get("repeated")),
    )
