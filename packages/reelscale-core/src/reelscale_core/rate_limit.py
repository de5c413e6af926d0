"""Divides the rate limit of an upstream among the entries.

An overloaded upstream states a limit in requests per second for all entries
together.  Entries come and go, and a network partition may separate them.

Let L be the limit, N the number of recently known entries and n the number of
reachable ones.  H = min(n, (L + 5) / 2) entries may send; connected entries
select the same ones.  Each has a token bucket of depth 1 that refills at
L x min(1, 1.25 n / N) / H per second.  In a partition the values of n sum to
N, so the rates of all parts sum to at most 1.25 L; with two parts at most
L + 5 buckets are full.  A window of 4 s thus sees at most 5 L + L + 5
requests, one and a half times the limit plus 5.  Without a partition the rate
is L.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from . import rendezvous

# Requests beyond the limit that an upstream tolerates per window.
SLACK = 5
# Bound on the total rate of partitioned entries, as a multiple of the limit.
PARTITION_FACTOR = 1.25
# Requests per second of all entries under a limit of 0: only a response can
# show that the limit was lifted.
MIN_PER_S = 0.25
# Requests.
BUCKET_DEPTH = 1.0


class LimitReport(NamedTuple):
    """A rate limit stated by one start of an upstream.

    Attributes:
      per_s: Requests per second of all entries; None if lifted.
      received_at: Monotonic time of the response, in seconds.
    """

    per_s: float | None
    received_at: float


class Entries(NamedTuple):
    """The entries that share a limit, as seen by one of them.

    Attributes:
      name: Name of the local entry.
      reachable: Names of the reachable entries, including the local one.
      known: Number of recently known entries.
    """

    name: str
    reachable: Collection[str]
    known: int


class Bucket(NamedTuple):
    """Token bucket of one entry.

    Attributes:
      tokens: Requests that may be sent; fractional.
      refilled_at: Monotonic time of the last refill, in seconds.
    """

    tokens: float
    refilled_at: float


def newest(old: LimitReport | None, new: LimitReport) -> LimitReport:
    """Return the newer of two reports of one start.

    Reports relayed by other entries may arrive out of order.
    """
    return new if old is None or new.received_at > old.received_at else old


def senders(per_s: float) -> int:
    """Return how many entries may send to a rate-limited upstream."""
    return max(1, int((per_s + SLACK) / 2))


def share_per_s(per_s: float, upstream: str, entries: Entries) -> float:
    """Return the rate of one entry, in requests per second.

    Args:
      per_s: Limit of all entries together.
      upstream: Key of the start of the upstream; selects the senders.
      entries: The entries that share the limit.
    """
    per_s = max(per_s, MIN_PER_S)
    selected = rendezvous.order(upstream, entries.reachable)[: senders(per_s)]
    if entries.name not in selected:
        return 0.0
    reachable_share = len(entries.reachable) / max(
        entries.known, len(entries.reachable)
    )
    return per_s * min(1.0, PARTITION_FACTOR * reachable_share) / len(selected)


def refilled(bucket: Bucket | None, per_s: float, now: float) -> Bucket:
    """Return a bucket refilled up to now; a new one starts full."""
    if bucket is None:
        return Bucket(BUCKET_DEPTH if per_s else 0.0, now)
    tokens = bucket.tokens + per_s * max(0.0, now - bucket.refilled_at)
    return Bucket(min(BUCKET_DEPTH, tokens), now)


def debited(bucket: Bucket) -> Bucket:
    """Take one token; negative if the request was sent without one."""
    return bucket._replace(tokens=bucket.tokens - 1.0)


def wait_s(bucket: Bucket, per_s: float, *, ahead: int = 0) -> float:
    """Return the wait until a request may be sent, in seconds.

    Args:
      bucket: Bucket, refilled up to now.
      per_s: Refill rate, in requests per second.
      ahead: Requests that are sent before it.
    """
    missing = 1.0 + ahead - bucket.tokens
    if missing <= 0:
        return 0.0
    return missing / per_s if per_s else math.inf


def retry_after_s(limits: Iterable[float]) -> float:
    """Return a Retry-After for a rate-limited request, in seconds.

    Args:
      limits: Limits of the upstreams, in requests per second.
    """
    return 1.0 / max(MIN_PER_S, sum(limits))
