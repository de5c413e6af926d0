"""Reassembles an answer from fragments that may be late or duplicated."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from collections.abc import Sequence
from typing import NamedTuple


class Fragment(NamedTuple):
    """Consecutive chunks of one attempt.

    Attributes:
      attempt: Id of the attempt.
      from_seq: Sequence number of the first chunk.
      chunks: The chunks.
      count: Total number of chunks; None until the last fragment.
      digest: Digest of the complete answer; set together with count.
    """

    attempt: str
    from_seq: int
    chunks: Sequence[bytes]
    count: int | None = None
    digest: str = ""


class Assembly:
    """Collects the chunks of one attempt, each exactly once."""

    def __init__(self, *, attempt: str) -> None:
        """Start an empty answer."""
        self.attempt = attempt
        self.seq = 0
        self.complete = False
        self.dropped = 0
        self._digest = hashlib.blake2b(digest_size=8)

    def add(self, fragment: Fragment) -> list[bytes]:
        """Add a fragment.

        Returns:
          The new chunks in order; empty if the fragment belongs to another
          attempt, is a duplicate or follows a gap.
        """
        if fragment.attempt != self.attempt or self.complete:
            self.dropped += len(fragment.chunks)
            return []
        skip = self.seq - fragment.from_seq
        if skip < 0:
            self.dropped += len(fragment.chunks)
            return []
        new = list(fragment.chunks[skip:])
        self.dropped += len(fragment.chunks) - len(new)
        for chunk in new:
            self._digest.update(chunk)
        self.seq += len(new)
        if fragment.count is not None:
            self.complete = (
                self.seq == fragment.count
                and self._digest.hexdigest() == fragment.digest
            )
        return new


class Outbox:
    """Send buffer of one attempt; keeps chunks until acknowledged."""

    def __init__(self, *, limit_bytes: int) -> None:
        """Create an outbox that reports backpressure at limit_bytes."""
        self.limit_bytes = limit_bytes
        self.base = 0
        self.bytes = 0
        self.done = False
        self._chunks: list[bytes] = []
        self._digest = hashlib.blake2b(digest_size=8)

    @property
    def full(self) -> bool:
        """Whether the source should pause."""
        return self.bytes >= self.limit_bytes

    @property
    def count(self) -> int:
        """Number of chunks received from the source."""
        return self.base + len(self._chunks)

    def put(self, chunk: bytes) -> None:
        """Append a chunk from the source."""
        self._chunks.append(chunk)
        self.bytes += len(chunk)
        self._digest.update(chunk)

    def finish(self) -> None:
        """Mark the end of the answer."""
        self.done = True

    def digest(self) -> str:
        """Return the digest of all chunks so far."""
        return self._digest.hexdigest()

    def acknowledge(self, from_seq: int) -> None:
        """Drop the chunks before a sequence number, which were received.

        Raises:
          IndexError: from_seq was already dropped or is beyond the end.
        """
        if from_seq < self.base or from_seq > self.count:
            raise IndexError(from_seq)
        acknowledged = from_seq - self.base
        self.bytes -= sum(len(chunk) for chunk in self._chunks[:acknowledged])
        del self._chunks[:acknowledged]
        self.base = from_seq

    def read(self, from_seq: int, max_bytes: int) -> list[bytes]:
        """Return chunks from a sequence number on and drop earlier ones.

        Raises:
          IndexError: As for acknowledge().
        """
        self.acknowledge(from_seq)
        size = 0
        for index, chunk in enumerate(self._chunks):
            size += len(chunk)
            if size > max_bytes and index:
                return self._chunks[:index]
        return list(self._chunks)
