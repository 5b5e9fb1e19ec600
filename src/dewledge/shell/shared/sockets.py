"""Sockets by "ip:port" addresses."""

import contextlib
import socket

LISTEN_BACKLOG = 1024
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3


def parse_address(address: str) -> tuple[str, int]:
    """Splits "ip:port", or "[ip6]:port".

    Raises ValueError if it is not of that form.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"{address!r} is not ip:port")
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Returns "ip:port", the opposite of `parse_address`."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def family_of(host: str) -> socket.AddressFamily:
    """Returns the address family of an IP number."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def bound_address(sock: socket.socket) -> str:
    """Returns the address a socket is bound to, with the real port."""
    host, port = sock.getsockname()[:2]
    return format_address(host, port)


def listen_tcp(address: str) -> tuple[socket.socket, str]:
    """Returns a non-blocking listening socket and its address with the real port.

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
    """Returns a non-blocking datagram socket and its address with the real port.

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


def tune_link(sock: socket.socket) -> None:
    """Sets a link between proxies to send at once and to notice a dead peer."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
