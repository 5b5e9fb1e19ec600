"""The addresses that callers and operators may ask, and what each does."""

from collections.abc import Callable
from urllib.parse import unquote

from loguru import logger

from dewledge.errors import ErrorCode, InvalidInput
from dewledge.shell.proxy.configuration_handlers import ConfigurationHandlers
from dewledge.shell.proxy.http_status import status_of_refusal
from dewledge.shell.proxy.proxy_services import ProxyServices
from dewledge.shell.proxy.statement_handlers import StatementHandlers
from dewledge.shell.proxy.status_handlers import StatusHandlers
from dewledge.shell.shared.http_messages import Exchange, internal_fault, refusal

CHANGE_PREFIX = "/v1/changes/"

RouteHandler = Callable[[Exchange], None]


class HttpEdge:
    """Finds the handler of a request; what no handler takes gets a coded 4xx."""

    def __init__(self, services: ProxyServices) -> None:
        statements = StatementHandlers(services)
        status = StatusHandlers(services)
        self._configuration = ConfigurationHandlers(services)
        self._routes: dict[str, dict[str, RouteHandler]] = {
            "/v1/statements": {"POST": statements.statement},
            "/v1/transactions/begin": {"POST": statements.begin},
            "/v1/transactions/commit": {"POST": statements.commit},
            "/v1/transactions/rollback": {"POST": statements.rollback},
            "/v1/resources": {"GET": self._configuration.resources},
            "/v1/changes": {"POST": self._configuration.propose},
            "/v1/status": {"GET": status.status},
            "/healthz": {"GET": status.health},
            "/readyz": {"GET": status.readiness},
            "/metrics": {"GET": status.metrics},
        }

    def handle(self, exchange: Exchange) -> None:
        """Answers one request, at once or later."""
        try:
            self._dispatch(exchange)
        except InvalidInput as error:
            status = status_of_refusal(error.code)
            exchange.respond(
                refusal(status, error.code, "the request has findings", error.findings)
            )
        except Exception:
            logger.exception("request_fault")
            exchange.respond(internal_fault())

    def _dispatch(self, exchange: Exchange) -> None:
        methods = self._methods(exchange.request.path)
        if methods is None:
            code = ErrorCode.UNKNOWN_ADDRESS
            exchange.respond(refusal(status_of_refusal(code), code, "there is no such address"))
            return
        handler = methods.get(exchange.request.method)
        if handler is not None:
            handler(exchange)
            return
        code = ErrorCode.METHOD_NOT_ALLOWED
        allowed = ", ".join(methods)
        message = f"this address takes {allowed}"
        exchange.respond(
            refusal(status_of_refusal(code), code, message, headers=(("Allow", allowed),))
        )

    def _methods(self, path: str) -> dict[str, RouteHandler] | None:
        methods = self._routes.get(path)
        if methods is not None or not path.startswith(CHANGE_PREFIX):
            return methods
        change_id = unquote(path.removeprefix(CHANGE_PREFIX))
        return {"GET": lambda exchange: self._configuration.look_up(exchange, change_id)}
