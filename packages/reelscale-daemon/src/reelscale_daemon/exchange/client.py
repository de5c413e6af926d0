"""HTTP client for one address; each call returns a complete answer."""

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

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, Any] | None = None,
        body: bytes = b"",
        timeout_s: float,
        new_connection: bool = False,
        only_new: bool = False,
    ) -> fetch.Response:
        """Send a request; ExchangeError if there is no answer in time.

        Args:
          method: HTTP method.
          path: Path.
          query: Query parameters.
          body: JSON body, empty for none.
          timeout_s: Time-out of the whole exchange, in seconds.
          new_connection: Whether to open a connection for it.
          only_new: Whether to do so, and to reuse none for later requests
            that was opened before: where answers have no id, a late copy of
            an earlier one could be taken for what follows.
        """
        if only_new:
            self._connections.retire(self._address)
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        headers = [(b"Host", self._address.encode())]
        if body:
            headers.append(JSON)
        return await fetch.fetch(
            self._connections,
            self._address,
            connection.Request(
                method.encode(), target.encode(), headers, body
            ),
            reactor=self._reactor,
            timeout_s=timeout_s,
            new_connection=new_connection or only_new,
        )
