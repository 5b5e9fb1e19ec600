"""Opens, accepts and configures sockets; parses and formats "ip:port" addresses."""

import contextlib
import socket
from collections.abc import Callable

import msgspec

LISTEN_BACKLOG = 1024
"""Connections that may be queued by the kernel until they are accepted."""


class KeepAlive(msgspec.Struct, frozen=True):
    """TCP keep-alive parameters of a connection.

    idle_seconds: time without received data before the first probe. interval_seconds: between two
    probes. probes: number of unanswered probes after which the connection is closed.
    """

    idle_seconds: int
    interval_seconds: int
    probes: int


BETWEEN_PROXIES = KeepAlive(idle_seconds=5, interval_seconds=2, probes=3)
"""Detects a dead peer proxy after 11 s: idle time plus three probe intervals."""


def parse_address(address: str) -> tuple[str, int]:
    """Splits "ip:port", or "[ip6]:port".

    Raises ValueError if the address does not have that form.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"address {address!r} does not have the form ip:port")
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Returns "ip:port" or "[ip6]:port", the inverse of `parse_address`."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def family_of(host: str) -> socket.AddressFamily:
    """Returns the address family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def bound_address(sock: socket.socket) -> str:
    """Returns the address that a socket is bound to, with the actual port."""
    host, port = sock.getsockname()[:2]
    return format_address(host, port)


def listen_tcp(address: str) -> tuple[socket.socket, str]:
    """Returns a non-blocking listening socket and its address with the actual port.

    Raises OSError if the address cannot be bound.
    """
    host, port = parse_address(address)
    sock = socket.socket(family_of(host), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock, bound_address(sock)


def bind_udp(address: str) -> tuple[socket.socket, str]:
    """Returns a non-blocking UDP socket and its address with the actual port.

    Raises OSError if the address cannot be bound.
    """
    host, port = parse_address(address)
    sock = socket.socket(family_of(host), socket.SOCK_DGRAM)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock, bound_address(sock)


def accept_pending(
    listener: socket.socket, max_count: int, on_accepted: Callable[[socket.socket], None]
) -> OSError | None:
    """Accepts up to `max_count` pending connections and calls `on_accepted` with each.

    Returns the error of a failed accept, else None.
    """
    for _ in range(max_count):
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            return error
        on_accepted(sock)
    return None


def configure_link(sock: socket.socket, keepalive: KeepAlive = BETWEEN_PROXIES) -> None:
    """Disables Nagle's algorithm and enables TCP keep-alive; ignores unsupported options."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive.idle_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive.interval_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive.probes)
