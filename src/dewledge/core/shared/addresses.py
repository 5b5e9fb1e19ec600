"""Parses addresses: an IP address and a port, as in settings, resources and messages."""

import ipaddress

MAX_PORT = 65535
"""Number of the largest TCP or UDP port."""


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port" or "[ipv6]:port". Raises ValueError for other texts."""
    host, separator, port_text = address.rpartition(":")
    if not separator or not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("must be an IP address and a port, such as 10.0.0.7:7400")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError("an IPv6 address must be in brackets, such as [::1]:7400")
    ipaddress.ip_address(host)
    if len(port_text) > len(str(MAX_PORT)) or int(port_text) > MAX_PORT:
        raise ValueError(f"the port must be at most {MAX_PORT}")
    return host, int(port_text)


def check_remote_address(address: str) -> None:
    """Checks that an address can be connected to. Raises ValueError if not."""
    _, port = split_address(address)
    if port == 0:
        raise ValueError("cannot connect to port 0")
