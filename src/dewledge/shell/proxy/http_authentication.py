"""Who sends a request: a bearer token, of which only the SHA-256 digest is known here."""

from dewledge.errors import ErrorCode
from dewledge.shell.proxy.http_status import UNAVAILABLE, status_of_refusal
from dewledge.shell.proxy.proxy_services import ProxyServices
from dewledge.shell.shared.http_messages import Exchange, refusal

SCHEME = "bearer"
CHALLENGE = (("WWW-Authenticate", "Bearer"),)
RETRY_SOON = (("Retry-After", "1"),)


def authenticate(exchange: Exchange, services: ProxyServices) -> str | None:
    """Returns the caller's name; answers the exchange and returns None if there is none."""
    token = _bearer_token(exchange.request.authorization)
    caller = services.policy.authenticate(token) if token else None
    if caller is not None:
        return caller
    if not services.has_configuration:
        message = "this proxy has no configuration yet"
        exchange.respond(refusal(UNAVAILABLE, ErrorCode.NOT_READY, message, headers=RETRY_SOON))
        return None
    code = ErrorCode.UNAUTHENTICATED
    message = "the token is not known" if token else "a bearer token is needed"
    exchange.respond(refusal(status_of_refusal(code), code, message, headers=CHALLENGE))
    return None


def authenticate_operator(exchange: Exchange, services: ProxyServices) -> str | None:
    """Returns the operator's name; answers the exchange and returns None if it is not one."""
    caller = authenticate(exchange, services)
    if caller is None or services.policy.may_operate(caller):
        return caller
    code = ErrorCode.FORBIDDEN
    message = f"no rule lets {caller} operate"
    exchange.respond(refusal(status_of_refusal(code), code, message))
    return None


def _bearer_token(authorization: str | None) -> str:
    if authorization is None:
        return ""
    scheme, _, token = authorization.partition(" ")
    return token.strip() if scheme.lower() == SCHEME else ""
