"""Identifies parts of prompts that crash upstreams.

Requests that share such a part crash each upstream that begins to answer
them, though no two of them are alike.  Every part of the requests that were
unanswered at a crash is suspected.  A part is convicted by contrast: it was
present at several crashes, no answer to a request with it has begun since,
and answers to requests without it have.  A crash is then explained by that
part and no longer counts against others.

An answer that begins clears the parts of its request, whatever was concluded
before.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import hashlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

# Crashes closer together than this, in seconds, count as one: processes of a
# box or a data hall may end at the same moment for a common reason.
EPISODE_S = 0.5
# Episodes without an answer after which a part is convicted.
CONVICTED_AFTER = 3
# The same for a part with which answers had begun before.
ANSWERED_CONVICTED_AFTER = 5
# Time for which requests with a convicted part are refused.
REJECTED_S = 300.0
# Time after which a record without news expires.  A conviction that was
# served leaves its record for a while, so that one more crash renews it.
RETENTION_S = 600.0
# The same for a cleared part, long enough for all entries to learn of it.
CLEARED_RETENTION_S = 30.0
MAX_RECORDS = 1024
# Crashes kept of a part, the newest.
MAX_CRASHES = 8
# Parts of which it is remembered that answers began.
MAX_ANSWERED = 4096
# Parts of one request that are considered, from the start of its prompt.
MAX_PARTS = 32
DIGEST_BYTES = 8


class Crash(NamedTuple):
    """A crash at which a part was present.

    Attributes:
      at: Monotonic time in seconds.
      start: Hash of the start of the upstream.
    """

    at: float
    start: int


class Record(NamedTuple):
    """Evidence on a part.

    Attributes:
      target: Hash of the target of its requests.
      crashes: Unexplained crashes since the newest answer, oldest first.
      answered_at: Monotonic time in seconds at which an answer to a request
        with it began, -inf for never.
      convicted_at: Monotonic time in seconds of its conviction, if it is.
      updated_at: Monotonic time in seconds of the newest change.
    """

    target: int
    crashes: tuple[Crash, ...] = ()
    answered_at: float = float("-inf")
    convicted_at: float | None = None
    updated_at: float = 0.0

    @property
    def episodes(self) -> int:
        """Number of crashes, those close together counted once."""
        count, last_at = 0, float("-inf")
        for crash in self.crashes:
            if crash.at - last_at >= EPISODE_S:
                count, last_at = count + 1, crash.at
        return count

    @property
    def retention_s(self) -> float:
        """Seconds after which it expires without news."""
        suspected = self.crashes or self.convicted_at is not None
        return RETENTION_S if suspected else CLEARED_RETENTION_S


class Answered(NamedTuple):
    """Answers to requests with a part that have begun.

    Attributes:
      target: Hash of the target of the requests.
      count: Their number.
      at: Monotonic time in seconds of the newest.
    """

    target: int
    count: int
    at: float


def digest(*, target: str, part: str) -> int:
    """Return a digest that identifies a part at every entry.

    It does not depend on the workspace: upstreams share parts among all
    callers, and crash on them whoever asks.
    """
    text = f"{target}\0{part}".encode("utf-8", "surrogateescape")
    hashed = hashlib.blake2b(text, digest_size=DIGEST_BYTES, key=b"part")
    return int.from_bytes(hashed.digest(), "big", signed=True)


def merged(old: Record, new: Record) -> Record:
    """Merge the records that two entries hold of a part."""
    answered_at = max(old.answered_at, new.answered_at)
    at_by_start = {c.start: c.at for c in (*new.crashes, *old.crashes)}
    crashes = sorted(Crash(at, start) for start, at in at_by_start.items())
    convictions = [
        at
        for at in (old.convicted_at, new.convicted_at)
        if at is not None and at > answered_at
    ]
    unanswered = _since(crashes, answered_at)
    return Record(
        target=new.target,
        crashes=unanswered,
        answered_at=answered_at,
        convicted_at=max(convictions, default=None),
        updated_at=max(old.updated_at, new.updated_at),
    )


class Parts:
    """Records of suspected parts, bounded in number."""

    def __init__(self) -> None:
        self.by_digest: dict[int, Record] = {}
        self._answered: collections.OrderedDict[int, Answered] = (
            collections.OrderedDict()
        )

    def record_crash(
        self,
        crash: Crash,
        digests: Collection[int],
        *,
        target: int,
        now: float,
    ) -> list[int]:
        """Record a crash and the parts present; return those it convicts."""
        if crash.start in self._explained():
            return []
        convicted = [d for d in digests if self.rejected_s(d, now)]
        news = Record(target, crashes=(crash,), updated_at=now)
        for number in convicted or digests:
            self._merge(number, news)
        return self._convict(now)

    def record_answer(
        self, digests: Collection[int], *, target: int, now: float
    ) -> list[int]:
        """Record an answer that begins; return the parts that it clears."""
        cleared = []
        for number in digests:
            self._remember_answer(number, target, now)
            record = self.by_digest.get(number)
            if record is None:
                continue
            news = Record(target, answered_at=now)
            if record.crashes or record.convicted_at is not None:
                cleared.append(number)
                news = news._replace(updated_at=now)
            self.by_digest[number] = merged(record, news)
        return cleared

    def merge(self, number: int, news: Record, now: float) -> list[int]:
        """Merge a record of another entry; return the parts it convicts."""
        known = self.by_digest.get(number, Record(news.target))
        if news.convicted_at is None:
            explained = self._explained()
            left = (c for c in news.crashes if c.start not in explained)
            news = news._replace(crashes=tuple(left))
        self._merge(number, news)
        record = self.by_digest.get(number)
        if record is None:
            return []
        if record.convicted_at is not None:
            self._explain(number)
        if len(record.crashes) <= len(known.crashes):
            return []
        return self._convict(now)

    def rejected_s(self, number: int, now: float) -> float:
        """Return the seconds for which a part is rejected, 0 if it is not."""
        record = self.by_digest.get(number)
        if record is None or record.convicted_at is None:
            return 0.0
        return max(0.0, record.convicted_at + REJECTED_S - now)

    def is_doubtful(self, number: int) -> bool:
        """Return whether a part has only ever been present at crashes."""
        record = self.by_digest.get(number)
        if record is None or not record.crashes:
            return False
        return not self._was_answered(number)

    def answers(self, number: int) -> int:
        """Return how many answers to requests with a part have begun."""
        answered = self._answered.get(number)
        return answered.count if answered else 0

    def expire(self, now: float) -> None:
        """Remove expired records and forget old answers."""
        for number, record in list(self.by_digest.items()):
            if now - record.updated_at > record.retention_s:
                del self.by_digest[number]
        while self._answered:
            number, answered = next(iter(self._answered.items()))
            if now - answered.at <= RETENTION_S:
                break
            del self._answered[number]

    def _remember_answer(self, number: int, target: int, now: float) -> None:
        count = self.answers(number) + 1
        self._answered[number] = Answered(target, count, now)
        self._answered.move_to_end(number)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _merge(self, number: int, news: Record) -> None:
        """Merge news of a part, most recent last; evict beyond the bound."""
        answered = self._answered.get(number)
        if answered is not None:
            news = news._replace(
                answered_at=max(answered.at, news.answered_at)
            )
        known = self.by_digest.pop(number, Record(news.target))
        self.by_digest[number] = merged(known, news)
        while len(self.by_digest) > MAX_RECORDS:
            del self.by_digest[_eviction_candidate(self.by_digest.items())]

    def _explained(self) -> frozenset[int]:
        """Return the starts whose crashes a convicted part explains."""
        return frozenset(
            crash.start
            for record in self.by_digest.values()
            if record.convicted_at is not None
            for crash in record.crashes
        )

    def _convict(self, now: float) -> list[int]:
        """Convict parts until what is left of the crashes proves nothing."""
        convicted = []
        while candidates := self._candidates(now):
            # Parts with which answers had begun are the less likely cause.
            number = min(
                candidates,
                key=lambda n: (
                    self.answers(n),
                    -len(self.by_digest[n].crashes),
                    n,
                ),
            )
            record = self.by_digest[number]
            self.by_digest[number] = record._replace(
                convicted_at=now, updated_at=now
            )
            self._explain(number)
            convicted.append(number)
        return convicted

    def _candidates(self, now: float) -> list[int]:
        return [
            number
            for number in self.by_digest
            if not self.rejected_s(number, now) and self._is_proved(number)
        ]

    def _is_proved(self, number: int) -> bool:
        """Return whether a part is the likely cause of its crashes."""
        record = self.by_digest[number]
        if record.convicted_at is not None:
            # A conviction was served; a crash since then renews it.
            served_at = record.convicted_at + REJECTED_S
            return any(crash.at > served_at for crash in record.crashes)
        needed = (
            ANSWERED_CONVICTED_AFTER
            if self._was_answered(number)
            else CONVICTED_AFTER
        )
        return record.episodes >= needed and self._others_answered(record)

    def _was_answered(self, number: int) -> bool:
        """Return whether an answer to a request with a part ever began."""
        if number in self._answered:
            return True
        record = self.by_digest.get(number)
        return record is not None and record.answered_at > float("-inf")

    def _others_answered(self, record: Record) -> bool:
        """Return whether answers have begun since a part's first crash.

        They are to requests without the part, as one with it would have
        cleared it.  If none begin, upstreams may fail for another reason.
        """
        since = record.crashes[0].at
        if any(
            other.target == record.target and other.answered_at > since
            for other in self.by_digest.values()
        ):
            return True
        for answered in reversed(self._answered.values()):
            if answered.at <= since:
                return False
            if answered.target == record.target:
                return True
        return False

    def _explain(self, number: int) -> None:
        """Remove the crashes of a convicted part from all other records."""
        starts = {crash.start for crash in self.by_digest[number].crashes}
        for other, record in self.by_digest.items():
            if other != number and record.convicted_at is None:
                left = [c for c in record.crashes if c.start not in starts]
                self.by_digest[other] = record._replace(crashes=tuple(left))


def _since(crashes: Iterable[Crash], at: float) -> tuple[Crash, ...]:
    """Return the newest crashes after a time."""
    return tuple(crash for crash in crashes if crash.at > at)[-MAX_CRASHES:]


def _eviction_candidate(rows: Iterable[tuple[int, Record]]) -> int:
    """Return the digest of the record to evict.

    Convicted parts are kept longest, then those with more crashes, then the
    most recently updated.
    """
    return min(
        rows,
        key=lambda row: (
            row[1].convicted_at is not None,
            len(row[1].crashes),
            row[1].updated_at,
        ),
    )[0]
