"""Removal of hop-by-hop headers (RFC 9110, 7.6.1)."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable, Sequence

from . import connection

# "content-length" and "expect" are set anew for each exchange.
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def of_answer(headers: connection.Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that are forwarded."""
    return [row for row in headers if row[0].lower() not in HOP]


def of_request(
    headers: Sequence[tuple[str, str]], *, own: Iterable[str]
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that are forwarded, as bytes.

    Args:
      headers: All headers received.
      own: Names, in lower case, of headers that this process sets itself.
    """
    rows = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
    left_out = {*(name.encode() for name in own), *_listed(rows)}
    return [row for row in of_answer(rows) if row[0].lower() not in left_out]


def _listed(rows: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the hop-by-hop headers that the Connection header lists."""
    return {
        token.strip().lower()
        for name, value in rows
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
