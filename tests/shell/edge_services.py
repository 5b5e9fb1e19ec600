"""A proxy's services without a proxy, for tests of the HTTP edge."""

from collections.abc import Callable

from dewledge.core.proxy.calls import CallerAnswer, CallerRequest, Outcome
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
)
from dewledge.core.proxy.configuration.store import ChangeLookedUp, ProposalFinished, ProposedChange
from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.core.proxy.membership.member import Member
from dewledge.core.shared.caller_credentials import credential_digest
from dewledge.shell.proxy.http_edge import HttpEdge
from dewledge.shell.proxy.metrics import ProxyMetrics
from dewledge.shell.proxy.proxy_services import DeadlineBounds
from dewledge.shell.shared.http_messages import Exchange, HttpRequest, HttpResponse

CALLER_TOKEN = "caller-token"
OPERATOR_TOKEN = "operator-token"
BOOTSTRAP_TOKEN = "bootstrap-token"
OPERATORS = Selector(match_labels=(("role", "operator"),))
NOW = 100.0

CONFIGURATION = Configuration(
    7,
    [
        Resource(Kind.GROUP, "g", (("team", "permits"),), GroupSpec()),
        Resource(Kind.CALLER, "c", (), CallerSpec((credential_digest(CALLER_TOKEN),))),
        Resource(
            Kind.CALLER,
            "o",
            (("role", "operator"),),
            CallerSpec((credential_digest(OPERATOR_TOKEN),)),
        ),
        Resource(Kind.RULE, "r", (), RuleSpec(RuleEffect.OPERATE, callers=OPERATORS)),
    ],
)


class FakeServices:
    """Answers every call with `answer`, every proposal with `finished`; notes what it was given."""

    name = "p"
    zone = "z"

    def __init__(self, configuration: Configuration = CONFIGURATION) -> None:
        self.metrics = ProxyMetrics()
        self.deadlines = DeadlineBounds(5.0, 60.0)
        self.configuration = configuration
        self.policy = AccessPolicy(configuration, credential_digest(BOOTSTRAP_TOKEN))
        self.members = (Member("p", "127.0.0.1:1", "127.0.0.1:2", "z"),)
        self.is_leaving = False
        self.is_serving = True
        self.answer: CallerAnswer | None = CallerAnswer(Outcome.DONE)
        self.finished = ProposalFinished("x", Outcome.DONE)
        self.looked_up = ChangeLookedUp("x", None)
        self.calls: list[CallerRequest] = []
        self.abandoned: list[int] = []
        self.proposed: list[ProposedChange] = []

    @property
    def has_configuration(self) -> bool:
        return self.configuration.revision > 0

    def database_reports(self) -> tuple[DatabaseReport, ...]:
        return ()

    def now(self) -> float:
        return NOW

    def next_request_id(self) -> int:
        return len(self.calls) + 1

    def submit_call(
        self, request: CallerRequest, on_answer: Callable[[CallerAnswer], None]
    ) -> None:
        self.calls.append(request)
        if self.answer is not None:
            on_answer(self.answer)

    def abandon_call(self, request_id: int) -> None:
        self.abandoned.append(request_id)

    def propose(
        self, change: ProposedChange, on_finished: Callable[[ProposalFinished], None]
    ) -> None:
        self.proposed.append(change)
        on_finished(self.finished)

    def look_up_change(self, change_id: str, on_answer: Callable[[ChangeLookedUp], None]) -> None:
        on_answer(self.looked_up)

    def ask(
        self, method: str, target: str, token: str | None = None, body: bytes = b""
    ) -> HttpResponse:
        """Sends one request through the edge and returns the answer, which must come at once."""
        exchange = self.begin(method, target, token, body)
        assert exchange.response is not None, "no answer"
        return exchange.response

    def begin(self, method: str, target: str, token: str | None, body: bytes = b"") -> Exchange:
        """Sends one request through the edge and returns its exchange."""
        path, _, query = target.partition("?")
        authorization = None if token is None else f"Bearer {token}"
        request = HttpRequest(method, path, query, body, authorization)
        exchange = Exchange(request, lambda: None)
        HttpEdge(self).handle(exchange)
        return exchange


UNCONFIGURED = EMPTY_CONFIGURATION
