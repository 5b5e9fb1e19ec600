"""An entry with a hand-driven clock and hand-written gateways, for the entry's contract tests."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

from dewledge.core.proxy.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    Operation,
    Rows,
    Statement,
)
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
)
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.effects import AnswerCaller, Effect, LogEvent, SendToPeer
from dewledge.core.proxy.entry.entry import Entry
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.messages import (
    GroupStatusAnswer,
    PeerMessage,
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.errors import ErrorCode

GROUP = "g"
OTHER_GROUP = "h"
ZONES = {"a": "z1", "b": "z2", "c": "z3"}
GATEWAYS = {"a": ("ga", "gx"), "b": ("gb", "gx"), "c": ("gc", "gx"), "h1": ("ga", "gb")}
CODEC = SessionTokenCodec([b"test key"])
TRANSACTION = "ga:0123456789abcdef"
DRAIN = (("dewledge/drain", "true"),)

Message = TypeVar("Message", bound=PeerMessage)


def position(term: int, offset: int) -> LogPosition:
    return LogPosition(term, offset)


def status(
    database: str,
    role: DatabaseRole = DatabaseRole.REPLICA,
    term: int = 1,
    offset: int = 0,
    starts: Sequence[tuple[int, int]] = ((1, 0),),
    log_term: int | None = None,
) -> DatabaseStatus:
    """A database's status; `log_term` is the term of its last entry, if not `term`."""
    at = LogPosition(term if log_term is None else log_term, offset)
    term_starts = tuple(TermStart(*start) for start in starts)
    return DatabaseStatus(database, role, term, at, at, term_starts)


def _labelled(kind: Kind, name: str, spec: object, labels: tuple[tuple[str, str], ...]) -> Resource:
    return Resource(kind, name, labels, spec)  # type: ignore[arg-type]


def configuration(drained: Sequence[str] = (), readable: Sequence[str] = ()) -> Configuration:
    """Two groups; callers `app`, `other` (both may use group g) and `reader` (reads only).

    readable: if given, the databases that reads may go to.
    """
    resources = [
        _labelled(Kind.GROUP, GROUP, GroupSpec(), (("group", GROUP),)),
        _labelled(Kind.GROUP, OTHER_GROUP, GroupSpec(), (("group", OTHER_GROUP),)),
        _labelled(Kind.CALLER, "app", CallerSpec(("0",)), (("may", "all"),)),
        _labelled(Kind.CALLER, "other", CallerSpec(("1",)), (("may", "all"),)),
        _labelled(Kind.CALLER, "reader", CallerSpec(("2",)), (("may", "read"),)),
        _labelled(Kind.DATABASE, "h1", DatabaseSpec(OTHER_GROUP, "127.0.0.1:9", "z1"), ()),
    ]
    for name, zone in ZONES.items():
        labels = (("name", name), *(DRAIN if name in drained else ()))
        spec = DatabaseSpec(GROUP, "127.0.0.1:1", zone)
        resources.append(_labelled(Kind.DATABASE, name, spec, labels))
    in_group = Selector((("group", GROUP),))
    both = (Access.READ, Access.WRITE)
    rules = {
        "all": RuleSpec(RuleEffect.ALLOW, Selector((("may", "all"),)), in_group, access=both),
        "read": RuleSpec(
            RuleEffect.ALLOW, Selector((("may", "read"),)), in_group, access=(Access.READ,)
        ),
    }
    for name in readable:
        selected = Selector((("name", name),))
        rules[f"reads-{name}"] = RuleSpec(RuleEffect.READS, databases=selected)
    resources.extend(_labelled(Kind.RULE, name, rule, ()) for name, rule in rules.items())
    return Configuration(1, resources)


class FixedPlacement:
    """A placement written down by hand."""

    def __init__(self, ranking: dict[str, tuple[str, ...]] | None = None) -> None:
        self.ranking = dict(GATEWAYS if ranking is None else ranking)
        self.proxy_count = 4

    def ranked(self, database: str) -> tuple[str, ...]:
        return self.ranking.get(database, ())

    def active(self, database: str) -> str | None:
        return next(iter(self.ranked(database)), None)


class EntryHarness:
    """Drives one entry and keeps what it sent, answered and logged."""

    def __init__(
        self,
        seed: int = 0,
        settings: EntrySettings | None = None,
        known: bool = True,
        config: Configuration | None = None,
    ) -> None:
        self.now = 100.0
        self.entry = Entry("me", "z1", settings or EntrySettings(), CODEC, Random(seed))
        self.sent: list[SendToPeer] = []
        self.answers: dict[int, list[CallerAnswer]] = {}
        self.logs: list[LogEvent] = []
        self.placement = FixedPlacement()
        self._last_request = 0
        self.configure(configuration() if config is None else config)
        if known:
            self.learn_group()

    def configure(self, config: Configuration) -> None:
        policy = AccessPolicy(config)
        placement = self.placement
        self.run(self.entry.set_configuration(config, policy, placement, self.now))  # type: ignore[arg-type]

    def learn_group(self, primary: str = "a", term: int = 1, offset: int = 10) -> None:
        """Lets the entry use the group once and then shows it a healthy group."""
        self.call(access=Access.READ, deadline=1e-6)
        self.advance(0.2)
        self.show(primary, term, offset)
        self.sent.clear()
        self.answers.clear()
        self.logs.clear()

    def show(self, primary: str, term: int = 1, offset: int = 10, **replicas: int) -> None:
        """Shows a status of every database; replicas not named have applied all."""
        shown = []
        for name in ZONES:
            role = DatabaseRole.PRIMARY if name == primary else DatabaseRole.REPLICA
            shown.append(status(name, role, term, replicas.get(name, offset)))
        self.show_statuses(*shown)

    def show_statuses(self, *shown: DatabaseStatus, age: float = 0.0) -> None:
        ages = tuple(age for _ in shown)
        self.receive("ga", GroupStatusAnswer(1, GROUP, tuple(shown), ages))

    def call(
        self,
        access: Access = Access.WRITE,
        deadline: float = 2.0,
        operation: Operation = Operation.EXECUTE,
        caller: str = "app",
        group: str = GROUP,
        session: str | None = None,
        transaction: str | None = None,
        key: str | None = None,
    ) -> int:
        """Hands a request in; returns its id. deadline: seconds from now."""
        self._last_request += 1
        request = CallerRequest(
            self._last_request,
            caller,
            group,
            self.now + deadline,
            operation,
            access,
            Statement("select 1"),
            session,
            transaction,
            key,
        )
        self.run(self.entry.handle_call(request, self.now))
        return self._last_request

    def read(self, floor: LogPosition | None = None, **options: object) -> int:
        """Hands a read in, with a session that has seen `floor`."""
        if floor is not None:
            options["session"] = CODEC.seal("app", {GROUP: floor})
        return self.call(access=Access.READ, **options)  # type: ignore[arg-type]

    def receive(self, peer: str, message: PeerMessage) -> None:
        self.run(self.entry.handle_peer_message(peer, message, self.now))  # type: ignore[arg-type]

    def lose(self, peer: str) -> None:
        self.run(self.entry.handle_peer_lost(peer, self.now))

    def refuse_unsent(self, peer: str, *correlations: int) -> None:
        """Tells that requests to a peer never left, while others to it may have."""
        self.run(self.entry.handle_requests_unsent(peer, correlations, self.now))

    def advance(self, seconds: float) -> None:
        """Moves the clock, waking the entry at each time that it asks for."""
        end = self.now + seconds
        wake = self.entry.next_wake()
        while wake is not None and wake <= end:
            self.now = max(self.now, wake)
            self.run(self.entry.tick(self.now))
            wake = self.entry.next_wake()
        self.now = end

    def run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.sent.append(effect)
            elif isinstance(effect, AnswerCaller):
                self.answers.setdefault(effect.request_id, []).append(effect.answer)
            elif isinstance(effect, LogEvent):
                self.logs.append(effect)

    def sent_of(self, kind: type[Message]) -> list[tuple[str, Message]]:
        """Returns (peer, message) of each message of one type, oldest first."""
        return [(item.peer, item.message) for item in self.sent if isinstance(item.message, kind)]

    def last_request(self) -> tuple[str, StatementRequest]:
        """Returns the statement request sent last, with its peer."""
        return self.sent_of(StatementRequest)[-1]

    def answer_done(
        self, at: LogPosition, role: DatabaseRole = DatabaseRole.PRIMARY, **fields: object
    ) -> None:
        """Answers the statement request sent last as done."""
        peer, request = self.last_request()
        rows = Rows(("n",), ((1,),))
        database = request.database or "a"
        self.receive(
            peer,
            StatementDone(request.correlation, database, role, at, rows, **fields),  # type: ignore[arg-type]
        )

    def answer_not_run(self, code: ErrorCode, **fields: object) -> None:
        """Answers the statement request sent last as not run."""
        peer, request = self.last_request()
        self.receive(peer, StatementNotRun(request.correlation, code, **fields))  # type: ignore[arg-type]

    def answer_unknown(self, code: ErrorCode = ErrorCode.CONNECTION_LOST) -> None:
        """Answers the statement request sent last as unknown."""
        peer, request = self.last_request()
        self.receive(peer, StatementUnknown(request.correlation, code))

    def answer(self, request_id: int) -> CallerAnswer | None:
        """Returns the request's answer, or None; fails if it was answered more than once."""
        given = self.answers.get(request_id, [])
        if len(given) > 1:
            raise AssertionError(f"request {request_id} was answered {len(given)} times")
        return given[0] if given else None
