"""Validates addresses received from other processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Return whether a text is "ip:port" with an IPv4 address."""
    host, _, port = text.rpartition(":")
    if not (
        port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    ):
        return False
    return is_host(host) and 0 < int(port) <= MAX_PORT


def is_host(text: str) -> bool:
    """Return whether a text is the IPv4 address of one box."""
    try:
        host = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (host.is_unspecified or host.is_multicast or host.is_reserved)
