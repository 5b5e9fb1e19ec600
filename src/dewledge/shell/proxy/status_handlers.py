"""Health, readiness, metrics and status."""

import msgspec

from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.errors import ErrorCode
from dewledge.shell.proxy.http_authentication import RETRY_SOON, authenticate_operator
from dewledge.shell.proxy.http_status import OK, UNAVAILABLE
from dewledge.shell.proxy.metrics import CONTENT_TYPE
from dewledge.shell.proxy.proxy_services import ProxyServices
from dewledge.shell.shared.http_messages import Exchange, HttpResponse, json_response, refusal


class HealthBody(msgspec.Struct, frozen=True):
    """The answer of /healthz and /readyz when all is well."""

    status: str
    revision: int


class MemberBody(msgspec.Struct, frozen=True):
    """One member as this proxy believes it to be."""

    name: str
    state: str
    zone: str
    peer_address: str
    gossip_address: str
    incarnation: int


class StatusBody(msgspec.Struct, frozen=True):
    """The answer of /v1/status."""

    proxy: str
    zone: str
    revision: int
    serving: bool
    leaving: bool
    members: list[MemberBody]
    databases: list[DatabaseReport]


class StatusHandlers:
    """Answers what does not reach the core."""

    def __init__(self, services: ProxyServices) -> None:
        self._services = services

    def health(self, exchange: Exchange) -> None:
        """GET /healthz: the process runs."""
        body = HealthBody("ok", self._services.configuration.revision)
        exchange.respond(json_response(OK, body))

    def readiness(self, exchange: Exchange) -> None:
        """GET /readyz: new work is taken here."""
        services = self._services
        if services.is_leaving:
            _respond_not_ready(exchange, ErrorCode.LEAVING, "this proxy is leaving")
        elif not services.has_configuration:
            _respond_not_ready(exchange, ErrorCode.NOT_READY, "there is no configuration yet")
        elif not services.is_serving:
            _respond_not_ready(exchange, ErrorCode.ISOLATED, "neither store nor peers are reached")
        else:
            body = HealthBody("ready", services.configuration.revision)
            exchange.respond(json_response(OK, body))

    def metrics(self, exchange: Exchange) -> None:
        """GET /metrics, in the Prometheus text format."""
        data = self._services.metrics.render()
        exchange.respond(HttpResponse(OK, data, CONTENT_TYPE))

    def status(self, exchange: Exchange) -> None:
        """GET /v1/status, for operators."""
        services = self._services
        if authenticate_operator(exchange, services) is None:
            return
        body = StatusBody(
            proxy=services.name,
            zone=services.zone,
            revision=services.configuration.revision,
            serving=services.is_serving,
            leaving=services.is_leaving,
            members=_member_bodies(services),
            databases=list(services.database_reports()),
        )
        exchange.respond(json_response(OK, body))


def _respond_not_ready(exchange: Exchange, code: ErrorCode, message: str) -> None:
    exchange.respond(refusal(UNAVAILABLE, code, message, headers=RETRY_SOON))


def _member_bodies(services: ProxyServices) -> list[MemberBody]:
    return [
        MemberBody(
            name=member.name,
            state=member.state.name.lower(),
            zone=member.zone,
            peer_address=member.peer_address,
            gossip_address=member.gossip_address,
            incarnation=member.incarnation,
        )
        for member in services.members
    ]
