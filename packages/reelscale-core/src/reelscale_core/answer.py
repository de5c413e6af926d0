"""Puts an answer together from batches that may be late or repeated."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from collections.abc import Sequence
from typing import NamedTuple


class Fragment(NamedTuple):
    """Chunks of one attempt.

    Attributes:
      attempt: Id of the attempt they belong to.
      from_seq: Sequence number of the first chunk.
      chunks: The chunks.
      count: Number of chunks of the whole answer, None before its end.
      digest: Digest of the whole answer, with count.
    """

    attempt: str
    from_seq: int
    chunks: Sequence[bytes]
    count: int | None = None
    digest: str = ""


class Assembly:
    """Collects the chunks of one attempt, each exactly once."""

    def __init__(self, *, attempt: str) -> None:
        """Start with nothing of an attempt."""
        self.attempt = attempt
        self.seq = 0
        self.complete = False
        self.dropped = 0
        self._digest = hashlib.blake2b(digest_size=8)

    def add(self, fragment: Fragment) -> list[bytes]:
        """Take a fragment in.

        Returns:
          The chunks that are new, in order; empty for a fragment that is
          of another attempt, repeated, or ahead of a gap.
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
    """Chunks of one attempt at the sender, kept until they arrived."""

    def __init__(self, *, limit_bytes: int) -> None:
        """Make an outbox that asks its source to pause at a limit."""
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
        """Chunks taken in so far."""
        return self.base + len(self._chunks)

    def put(self, chunk: bytes) -> None:
        """Take a chunk from the source."""
        self._chunks.append(chunk)
        self.bytes += len(chunk)
        self._digest.update(chunk)

    def finish(self) -> None:
        """Note that the source has given its last chunk."""
        self.done = True

    def digest(self) -> str:
        """Return the digest over all chunks so far."""
        return self._digest.hexdigest()

    def acknowledge(self, from_seq: int) -> None:
        """Drop the chunks before a sequence number: they have arrived.

        Raises:
          IndexError: from_seq was itself dropped, or has yet to be put in.
        """
        if from_seq < self.base or from_seq > self.count:
            raise IndexError(from_seq)
        gone = from_seq - self.base
        self.bytes -= sum(len(chunk) for chunk in self._chunks[:gone])
        del self._chunks[:gone]
        self.base = from_seq

    def read(self, from_seq: int, max_bytes: int) -> list[bytes]:
        """Return chunks from a sequence number on; drops earlier ones.

        Raises:
          IndexError: As of acknowledge().
        """
        self.acknowledge(from_seq)
        size = 0
        for index, chunk in enumerate(self._chunks):
            size += len(chunk)
            if size > max_bytes and index:
                return self._chunks[:index]
        return list(self._chunks)
