"""How many requests each entry may send to an upstream that names a limit.

An upstream in need states how many requests a second it takes from all
entries together.  Load pattern: many entries, each with its own callers, and
one upstream that can bear only a part of what they would send; entries come
and go, and halves of them may not hear each other.

Let L be the limit, N the entries that were known lately and n those that are
heard now.  A few entries, the same ones for all that hear each other, may
send: H = min(n, (L + 5) / 2) of them.  Each has a bucket of one request that
fills at L x min(1, 1.25 n / N) / H a second.  Where entries are cut into
parts, the rates of all parts sum up to 1.25 L at most, as their n sum up to
N.  In two parts at most L + 5 buckets are full.  So 4 s see no more than
5 L + L + 5 requests, which is one and a half times the limit and 5 more;
while all hear each other, they see L a second.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from . import rendezvous

# Requests that an upstream bears beyond its limit in a window, by its pages.
SLACK = 5
# Entries that were cut into parts together send at most this many times the
# limit.
PARTITION_FACTOR = 1.25
# A limit of nothing still lets a request through now and then, in requests a
# second of all entries: only an answer can tell that the limit is over.
MIN_PER_S = 0.25
# The depth of a bucket, in requests.
BUCKET_DEPTH = 1.0


class LimitReport(NamedTuple):
    """What one start of an upstream said of its limit.

    Attributes:
      per_s: Requests a second of all entries; None once there is no limit.
      received_at: Monotonic seconds at which its answer came.
    """

    per_s: float | None
    received_at: float


class Entries(NamedTuple):
    """The entries that share a limit, as one of them knows them.

    Attributes:
      name: The one that asks.
      reachable: Names of those heard of now, its own included.
      known: How many were known lately; at least as many.
    """

    name: str
    reachable: Collection[str]
    known: int


class Bucket(NamedTuple):
    """What an entry may send now.

    Attributes:
      tokens: Requests, with a fraction.
      refilled_at: Monotonic seconds to which it is refilled.
    """

    tokens: float
    refilled_at: float


def newest(old: LimitReport | None, new: LimitReport) -> LimitReport:
    """Return what counts of two statements of one start.

    One that came late, over another entry, does not undo a newer one.
    """
    return new if old is None or new.received_at > old.received_at else old


def senders(per_s: float) -> int:
    """Return how many entries may send to an upstream with a limit."""
    return max(1, int((per_s + SLACK) / 2))


def share_per_s(per_s: float, upstream: str, entries: Entries) -> float:
    """Return how many requests a second one entry may send.

    Args:
      per_s: The limit of all entries together.
      upstream: The start of the upstream; tells who may send.
      entries: Who shares it.
    """
    per_s = max(per_s, MIN_PER_S)
    among = rendezvous.order(upstream, entries.reachable)[: senders(per_s)]
    if entries.name not in among:
        return 0.0
    heard = len(entries.reachable) / max(entries.known, len(entries.reachable))
    return per_s * min(1.0, PARTITION_FACTOR * heard) / len(among)


def refilled(bucket: Bucket | None, per_s: float, now: float) -> Bucket:
    """Return a bucket as it is now; a new one holds what it can."""
    if bucket is None:
        return Bucket(BUCKET_DEPTH if per_s else 0.0, now)
    tokens = bucket.tokens + per_s * max(0.0, now - bucket.refilled_at)
    return Bucket(min(BUCKET_DEPTH, tokens), now)


def debited(bucket: Bucket) -> Bucket:
    """Take a request out; below zero where it was sent all the same."""
    return bucket._replace(tokens=bucket.tokens - 1.0)


def wait_s(bucket: Bucket, per_s: float, *, ahead: int = 0) -> float:
    """Return when the next request may go, in seconds.

    Args:
      bucket: As it is now.
      per_s: What it is refilled with.
      ahead: Requests that go before it.
    """
    missing = 1.0 + ahead - bucket.tokens
    if missing <= 0:
        return 0.0
    return missing / per_s if per_s else math.inf


def retry_after_s(limits: Iterable[float]) -> float:
    """Return when a caller should come back whom limits leave no turn.

    Args:
      limits: Requests a second that upstreams take of all entries.
    """
    return 1.0 / max(MIN_PER_S, sum(limits))
