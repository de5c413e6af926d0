"""Identifies requests that crash upstreams (poison requests).

Clients retry such a request at any entry, and also the requests that were
running beside it, so a crash count alone would convict innocent requests.
Every request in progress on a start when it crashed becomes a suspect.  After
two crashes a suspect is isolated from other suspects.  It is convicted if it
is the only suspect at its third crash, or if it was the only request running
at each of two crashes.  A suspect that completes successfully is cleared and
not suspected again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

# Crashes after which a suspect is isolated from other suspects.
ISOLATED_AFTER = 2
# Crashes after which a sole suspect is convicted.
CONVICTED_AFTER = 3
# The same if no other request was running at any of the crashes.
SOLE_REQUEST_CONVICTED_AFTER = 2
# Time from the last update until a record expires; bounds the effect of a
# wrong conviction.  Callers retry within seconds.
RETENTION_S = 300.0
# Each record takes some hundred bytes; a crash adds one for each request in
# progress.
MAX_RECORDS = 1024
DIGEST_BYTES = 8


class Verdict(enum.IntEnum):
    """Assessment of a request that was in progress at a crash."""

    SUSPECTED = 0
    CLEARED = 1
    CONVICTED = 2


class Record(NamedTuple):
    """Crash history of a request.

    Attributes:
      crashed: Hashes of the starts that crashed while it was in progress.
      sole_request_crashes: Number of those at which no other request ran.
      verdict: Current assessment.
      updated_at: Monotonic time of the last change, in seconds.
    """

    crashed: frozenset[int] = frozenset()
    sole_request_crashes: int = 0
    verdict: Verdict = Verdict.SUSPECTED
    updated_at: float = 0.0

    @property
    def isolated(self) -> bool:
        """Whether it may only run where no other suspect runs."""
        repeated = len(self.crashed) >= ISOLATED_AFTER
        return repeated and self.verdict is Verdict.SUSPECTED


class Crash(NamedTuple):
    """A crash of one start of an upstream, as observed by one entry.

    Attributes:
      start: Hash of the start.
      digests: Requests of this entry in progress there.
      other_suspects: Suspects of other entries in progress there.
      sole_request: Whether only one request was running there.
    """

    start: int
    digests: frozenset[int]
    other_suspects: frozenset[int] = frozenset()
    sole_request: bool = False


def digest(
    *, workspace: str, method: str, path: str, body: bytes, secret: str = ""
) -> int:
    """Return a digest that identifies a request across retries and entries.

    Args:
      workspace: Workspace of the request.
      method: HTTP method.
      path: Path and query string.
      body: Complete body.
      secret: Secret shared by all entries.
    """
    key = hashlib.blake2b(f"{workspace}\0{secret}".encode()).digest()
    text = f"{method} {path}\0".encode("utf-8", "surrogateescape") + body
    hashed = hashlib.blake2b(text, digest_size=DIGEST_BYTES, key=key)
    return int.from_bytes(hashed.digest(), "big", signed=True)


def merged(old: Record | None, new: Record) -> Record:
    """Merge the records that two entries hold of a request."""
    if old is None:
        return new
    verdict = max(old.verdict, new.verdict)
    return Record(
        crashed=old.crashed | new.crashed,
        sole_request_crashes=max(
            old.sole_request_crashes, new.sole_request_crashes
        ),
        verdict=Verdict(verdict),
        updated_at=max(old.updated_at, new.updated_at),
    )


class Suspects:
    """Records of suspected requests, bounded in number."""

    def __init__(self) -> None:
        self.by_digest: dict[int, Record] = {}

    def record_crash(self, crash: Crash, now: float) -> list[int]:
        """Record a crash; return the digests that it convicts."""
        local = {d for d in crash.digests if self._is_suspected(d)}
        suspects = local | crash.other_suspects
        convicted = []
        for digest in crash.digests:
            old = self.by_digest.get(digest, Record(updated_at=now))
            if old.verdict is not Verdict.SUSPECTED:
                continue
            new = old._replace(
                crashed=old.crashed | {crash.start},
                sole_request_crashes=old.sole_request_crashes
                + crash.sole_request,
                updated_at=now,
            )
            if _is_convicted(new, only=suspects <= {digest}):
                new = new._replace(verdict=Verdict.CONVICTED)
                convicted.append(digest)
            self._store(digest, new)
        return convicted

    def clear(self, digest: int, now: float) -> bool:
        """Clear a suspect; return whether it was suspected."""
        old = self.by_digest.get(digest)
        if old is None or old.verdict is not Verdict.SUSPECTED:
            return False
        self._store(
            digest, old._replace(verdict=Verdict.CLEARED, updated_at=now)
        )
        return True

    def merge(self, digest: int, record: Record) -> None:
        """Merge a record received from another entry."""
        self._store(digest, merged(self.by_digest.get(digest), record))

    def record(self, digest: int, now: float) -> Record | None:
        """Return the record of a request; None if absent or expired."""
        record = self.by_digest.get(digest)
        if record is not None and now - record.updated_at > RETENTION_S:
            del self.by_digest[digest]
            return None
        return record

    def expire(self, now: float) -> None:
        """Remove expired records."""
        for digest in list(self.by_digest):
            self.record(digest, now)

    def _is_suspected(self, digest: int) -> bool:
        record = self.by_digest.get(digest)
        return record is not None and record.verdict is Verdict.SUSPECTED

    def _store(self, digest: int, record: Record) -> None:
        """Store a record, most recent last, and evict beyond the bound."""
        self.by_digest.pop(digest, None)
        self.by_digest[digest] = record
        while len(self.by_digest) > MAX_RECORDS:
            del self.by_digest[_eviction_candidate(self.by_digest.items())]


def _is_convicted(record: Record, *, only: bool) -> bool:
    """Return whether a record proves that a request crashes upstreams.

    Args:
      record: Crash history, including the newest crash.
      only: Whether it was the only suspect at the newest crash.
    """
    if (
        record.sole_request_crashes >= SOLE_REQUEST_CONVICTED_AFTER
        and record.sole_request_crashes == len(record.crashed)
    ):
        return True
    return only and len(record.crashed) >= CONVICTED_AFTER


def _eviction_candidate(rows: Iterable[tuple[int, Record]]) -> int:
    """Return the digest of the record to evict.

    Convicted requests are kept longest, then those with more crashes, then the
    most recently updated.
    """
    return min(
        rows,
        key=lambda row: (
            row[1].verdict is Verdict.CONVICTED,
            len(row[1].crashed),
            row[1].updated_at,
        ),
    )[0]
