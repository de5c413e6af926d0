"""Finds the request that crashes upstreams among those beside it.

Load pattern: a request crashes every upstream that begins to run it, and it
comes again, at any entry.  Whatever else ran there comes again as well, so
counting alone would condemn the innocent.  All that were in progress on a
start as it crashed are suspected.  One that was there at two crashes runs
apart from other suspects; who is the only suspect as its third upstream
crashes is convicted, and after two if nothing else at all was running at
either.  A suspect that ends well is cleared for good.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

# Crashes after which a request runs only where no other suspect is.
ISOLATED_AFTER = 2
# Crashes after which the only suspect is convicted.
CONVICTED_AFTER = 3
# The same where nothing else was running at any of them.
SOLE_REQUEST_CONVICTED_AFTER = 2
# A record lapses after this long without a change, in seconds: callers come
# again within seconds, and a mistake must not last.
RETENTION_S = 300.0
# So many requests are remembered, some hundred bytes each; one crash adds as
# many as an upstream has in progress.
MAX_RECORDS = 1024
DIGEST_BYTES = 8


class Verdict(enum.IntEnum):
    """What is held of a request that was there at a crash."""

    SUSPECTED = 0
    CLEARED = 1
    CONVICTED = 2


class Record(NamedTuple):
    """What is known of one such request.

    Attributes:
      crashed: Hashes of the starts that crashed while it was there.
      sole_request_crashes: At how many of them nothing else was running.
      verdict: What is held of it.
      updated_at: Monotonic seconds of the newest change.
    """

    crashed: frozenset[int] = frozenset()
    sole_request_crashes: int = 0
    verdict: Verdict = Verdict.SUSPECTED
    updated_at: float = 0.0

    @property
    def isolated(self) -> bool:
        """Whether it may only run where no other suspect is."""
        many = len(self.crashed) >= ISOLATED_AFTER
        return many and self.verdict is Verdict.SUSPECTED


class Crash(NamedTuple):
    """The crash of one start of an upstream, as one entry saw it.

    Attributes:
      start: Hash of the start.
      digests: The requests that this entry had in progress there.
      other_suspects: Suspects that other entries had there.
      sole_request: Whether one request was all that was running there.
    """

    start: int
    digests: frozenset[int]
    other_suspects: frozenset[int] = frozenset()
    sole_request: bool = False


def digest(
    *, workspace: str, method: str, path: str, body: bytes, secret: str = ""
) -> int:
    """Return what names a request wherever it comes, whatever its id.

    Args:
      workspace: Whose it is.
      method: HTTP method.
      path: Path and query.
      body: The whole body.
      secret: What all entries know and others do not.
    """
    key = hashlib.blake2b(f"{workspace}\0{secret}".encode()).digest()
    text = f"{method} {path}\0".encode("utf-8", "surrogateescape") + body
    made = hashlib.blake2b(text, digest_size=DIGEST_BYTES, key=key)
    return int.from_bytes(made.digest(), "big", signed=True)


def merged(old: Record | None, new: Record) -> Record:
    """Return what two entries know of a request together."""
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
    """The requests that were there at crashes, in bounded memory."""

    def __init__(self) -> None:
        self.by_digest: dict[int, Record] = {}

    def record_crash(self, crash: Crash, now: float) -> list[int]:
        """Take a crash; return the digests that it convicts."""
        known = {d for d in crash.digests if self._suspected(d)}
        rivals = known | crash.other_suspects
        convicted = []
        for item in crash.digests:
            old = self.by_digest.get(item, Record(updated_at=now))
            if old.verdict is not Verdict.SUSPECTED:
                continue
            new = old._replace(
                crashed=old.crashed | {crash.start},
                sole_request_crashes=old.sole_request_crashes
                + crash.sole_request,
                updated_at=now,
            )
            if _is_convicted(new, only=rivals <= {item}):
                new = new._replace(verdict=Verdict.CONVICTED)
                convicted.append(item)
            self._keep(item, new)
        return convicted

    def clear(self, item: int, now: float) -> bool:
        """Clear a request for good; tell whether that changes anything."""
        old = self.by_digest.get(item)
        if old is None or old.verdict is not Verdict.SUSPECTED:
            return False
        self._keep(item, old._replace(verdict=Verdict.CLEARED, updated_at=now))
        return True

    def merge(self, item: int, record: Record) -> None:
        """Take what another entry knows."""
        self._keep(item, merged(self.by_digest.get(item), record))

    def record(self, item: int, now: float) -> Record | None:
        """Return what is known of a request, None once that has lapsed."""
        found = self.by_digest.get(item)
        if found is not None and now - found.updated_at > RETENTION_S:
            del self.by_digest[item]
            return None
        return found

    def expire(self, now: float) -> None:
        """Forget what has lapsed."""
        for item in list(self.by_digest):
            self.record(item, now)

    def _suspected(self, item: int) -> bool:
        found = self.by_digest.get(item)
        return found is not None and found.verdict is Verdict.SUSPECTED

    def _keep(self, item: int, record: Record) -> None:
        """Keep a record, the newest last."""
        self.by_digest.pop(item, None)
        self.by_digest[item] = record
        while len(self.by_digest) > MAX_RECORDS:
            del self.by_digest[_eviction_candidate(self.by_digest.items())]


def _is_convicted(record: Record, *, only: bool) -> bool:
    """Tell whether a request must be what crashes upstreams.

    Args:
      record: What is known of it, the newest crash included.
      only: Whether it was the only suspect at that crash.
    """
    if (
        record.sole_request_crashes >= SOLE_REQUEST_CONVICTED_AFTER
        and record.sole_request_crashes == len(record.crashed)
    ):
        return True
    return only and len(record.crashed) >= CONVICTED_AFTER


def _eviction_candidate(rows: Iterable[tuple[int, Record]]) -> int:
    """Return the request whose record is given up first.

    Convictions are kept longest, then those at many crashes, then the newest.
    """
    return min(
        rows,
        key=lambda row: (
            row[1].verdict is Verdict.CONVICTED,
            len(row[1].crashed),
            row[1].updated_at,
        ),
    )[0]
