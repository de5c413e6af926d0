"""Requests to other processes, the heads of their answers, and errors."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import NamedTuple

Headers = Sequence[tuple[bytes, bytes]]

# Bytes that an error keeps of those that are no answer, for the log.
SAMPLE_BYTES = 80
# Answers with these statuses never have a body.
NO_BODY_STATUSES = frozenset((204, 304))
# A final answer has one of these (RFC 9110, 15); no other number is a status.
FINAL_STATUSES = range(200, 600)


class Request(NamedTuple):
    """A request to send.

    Attributes:
      method: HTTP method.
      path: Path and query, as bytes on the wire.
      headers: All headers except those of the connection; must include
        "Host".
      body: The complete body.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes = b""


class Head(NamedTuple):
    """Status and headers of an answer.

    Attributes:
      status: HTTP status.
      headers: Names, in the spelling of the peer, and values.
    """

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        return next(iter(self.get_all(name)), None)

    def get_only(self, name: bytes) -> bytes | None:
        """Return the value of a header that is there once, else None."""
        values = self.get_all(name)
        return values[0] if len(values) == 1 else None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of a header."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]

    @property
    def has_two_framings(self) -> bool:
        """Whether the answer has both a length and chunks."""
        coding = self.get(b"transfer-encoding")
        return coding is not None and self.get(b"content-length") is not None

    @property
    def is_unframed(self) -> bool:
        """Whether the answer ends with its connection."""
        if self.status in NO_BODY_STATUSES:
            return False
        coding = self.get(b"transfer-encoding")
        return coding is None and self.get(b"content-length") is None


class ExchangeError(Exception):
    """An exchange failed.

    Attributes:
      code: "unreachable", "lost", "garbled" or "silent".
      peer: Address of the peer.
      written: False if the peer provably received none of the request.
      detail: What is wrong with the bytes of a "garbled" exchange.
      sample: The first of these bytes.
    """

    def __init__(
        self,
        code: str,
        *,
        peer: str,
        written: bool,
        detail: str = "",
        sample: bytes = b"",
    ) -> None:
        super().__init__(f"{code} at {peer}, written: {written}")
        self.code = code
        self.peer = peer
        self.written = written
        self.detail = detail
        self.sample = sample[:SAMPLE_BYTES]
