"""HTTP client of the platform: its append-only log and its list of boxes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

import orjson
import treq
from reelscale_core import clock, error, settings
from twisted.internet import defer
from twisted.web import client

from .. import process
from . import base, bounded_body

READ_LIMIT = 2000
TIMEOUT_S = 3.0


def make_base(*, reactor: Any, settings: settings.Settings) -> process.Base:
    """Return the base of a process that runs on this platform."""
    return process.Base(
        reactor=reactor,
        settings=settings,
        platform=Platform(reactor=reactor, url=settings.platform),
        clock=clock.SystemClock(),
    )


class Box(NamedTuple):
    """A row of the platform's list of boxes.

    Attributes:
      name: Name of the box.
      role: "entry" or "upstream".
      hall: Its data hall.
      peer: Address of its reelscale process.
      leaving: Whether the platform is removing it.
    """

    name: str
    role: str
    hall: str
    peer: str
    leaving: bool


class Platform:
    """HTTP client of the platform's service."""

    def __init__(self, *, reactor: Any, url: str) -> None:
        self.partitioned = False
        self._reactor = reactor
        self._url = url.rstrip("/")
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 4
        agent = client.Agent(reactor, connectTimeout=1.0, pool=pool)
        self._http = treq.client.HTTPClient(agent)

    async def append(self, records: list[dict[str, Any]]) -> int:
        """Append records to the log.

        Returns:
          The offset of the first record.

        Raises:
          CodedError: "log-down"; the records may have been appended.
        """
        body = orjson.dumps({"records": records})
        data = await self._ask("append", "POST", "/log/records", body=body)
        return data["offset"]

    async def read(self, from_offset: int, *, wait_s: float) -> base.Rows:
        """Read records from an offset on, waiting for the first record.

        Raises:
          CodedError: "log-down".
        """
        query = f"from={from_offset}&wait={wait_s}&limit={READ_LIMIT}"
        data = await self._ask(
            "read",
            "GET",
            f"/log/records?{query}",
            timeout_s=TIMEOUT_S + wait_s,
        )
        rows = [(row[0], row[1]) for row in data["records"]]
        return base.Rows(rows, data["oldest"], data["head"])

    async def boxes(self) -> list[Box]:
        """Read the list of boxes, which may be outdated.

        Raises:
          CodedError: "log-down".
        """
        data = await self._ask("boxes", "GET", "/boxes")
        return [Box(**row) for row in data["boxes"]]

    async def _fetch(
        self, method: str, path: str, body: bytes | None
    ) -> bytes:
        """Return the body of an answer; ConnectionError unless it is a 200."""
        answer = await self._http.request(
            method, self._url + path, data=body, unbuffered=True
        )
        text = await bounded_body.read(answer)
        if answer.code != 200:
            raise ConnectionError(f"status {answer.code}")
        return text

    async def _ask(
        self,
        step: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> Any:
        try:
            if self.partitioned:
                raise ConnectionError("partitioned")
            pending = defer.ensureDeferred(self._fetch(method, path, body))
            pending.addTimeout(timeout_s, self._reactor)
            return orjson.loads(await pending)
        except Exception as bad:
            raise error.CodedError(
                "log-down",
                step=step,
                peer=self._url,
                status=503,
                detail=str(bad) or type(bad).__name__,
                retry_after_s=2,
                outcome=error.OUTCOME_UNKNOWN,
            ) from bad
