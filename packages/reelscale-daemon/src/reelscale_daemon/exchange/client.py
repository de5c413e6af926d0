"""HTTP client for one address; each call returns a complete answer.

What silenced the connection of a call without an answer may have silenced all
that were open: the next call opens one, and none of those is used again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import urllib.parse
from collections.abc import Mapping
from typing import Any

from . import connection, fetch, pool

JSON = (b"Content-Type", b"application/json")


class Client:
    """HTTP client for one address."""

    def __init__(
        self, *, reactor: Any, connections: pool.Pool, address: str
    ) -> None:
        self._reactor = reactor
        self._connections = connections
        self._address = address
        self._is_doubtful = False

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, Any] | None = None,
        body: bytes = b"",
        timeout_s: float,
        only_new: bool = False,
    ) -> fetch.Response:
        """Send a request; ExchangeError if there is no answer in time.

        Args:
          method: HTTP method.
          path: Path.
          query: Query parameters.
          body: JSON body, empty for none.
          timeout_s: Time-out of the whole exchange, in seconds.
          only_new: Whether to open a connection for it, and to reuse none for
            later requests that was opened before: where answers have no id, a
            late copy of an earlier one could be taken for what follows.
        """
        only_new = only_new or self._is_doubtful
        self._is_doubtful = False
        if only_new:
            self._connections.retire(self._address)
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append(JSON)
        request = connection.Request(
            method.encode(), target.encode(), headers, body
        )
        try:
            return await fetch.fetch(
                self._connections,
                self._address,
                request,
                reactor=self._reactor,
                timeout_s=timeout_s,
                new_connection=only_new,
            )
        except connection.ExchangeError as lost:
            self._is_doubtful |= lost.code == "timeout"
            raise
