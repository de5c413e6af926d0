"""Enforces the rate limits that upstreams state, jointly with other entries.

A limit stated in an answer is sent to the other entries at once, with its
age; the newest report wins.  The share of each entry is computed in
core/rate_limit.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Callable
from typing import Any

from reelscale_core import clock, rate_limit, short_hash
from reelscale_wire.gen import ttypes

from .. import logs
from ..adapters import base
from . import wakeup

LOG = logs.Logger("limits")
# Limits in one datagram, newest first; each takes some 20 bytes of 1,400.
MAX_REPORTED = 24
# Starts of upstreams remembered; the oldest report is dropped first.
MAX_RECORDS = 512
# Maximum age of a report of another entry, in milliseconds.
MAX_AGE_MS = 600_000


class RateLimits:
    """The rate limits of upstreams, keyed by the hash of a start."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        entries: Callable[[], rate_limit.Entries],
        on_update: Callable[[], None],
        on_free: Callable[[], None],
    ) -> None:
        """Initialize without known limits.

        Args:
          reactor: The reactor.
          clock: The clock.
          entries: Returns the entries that share the limits.
          on_update: Called when a change is to be sent to other entries.
          on_free: Called when a delayed request may be sent.
        """
        self._clock = clock
        self._entries = entries
        self._on_update = on_update
        self._on_free = on_free
        self._reports_by_hash: dict[int, rate_limit.LimitReport] = {}
        self._buckets: dict[int, rate_limit.Bucket] = {}
        self._shares: dict[int, tuple[Any, float, float]] = {}
        self._wakeup = wakeup.Wakeup(
            reactor=reactor, clock=clock, function=on_free
        )

    def record_limit(self, start: str, stated: base.RateLimit) -> None:
        """Record the rate limit stated in an answer of a start."""
        match stated:
            case base.RequestsPerSecond(per_s=per_s):
                self._record(start, per_s)
            case base.NoRateLimit():
                if short_hash.of(start) in self._reports_by_hash:
                    self._record(start, None)
            case base.UnreadableRateLimit(text=text):
                LOG.warning(
                    "Ignoring an unreadable rate limit of an upstream.",
                    upstream=start,
                    text=text[:40],
                )

    def blocks(self, start: str) -> bool:
        """Return whether a limit blocks requests to a start now."""
        if not self._reports_by_hash:
            return False
        delay_s = self.wait_s(start)
        if 0 < delay_s < math.inf:
            self._wakeup.within(delay_s)
        return delay_s > 0

    def wait_s(self, start: str, *, ahead: int = 0) -> float:
        """Return seconds until a request may be sent, inf if it may not."""
        number = short_hash.of(start)
        per_s = self._share_per_s(start, number)
        if per_s is None:
            return 0.0
        bucket = self._refill(number, per_s)
        return rate_limit.wait_s(bucket, per_s, ahead=ahead)

    def limit_per_s(self, start: str) -> float | None:
        """Return the limit of a start over all entries, None without one."""
        report = self._reports_by_hash.get(short_hash.of(start))
        return None if report is None else report.per_s

    def record_sent(self, start: str) -> None:
        """Record a request, or a retry, that is sent to a start."""
        if not self._reports_by_hash:
            return
        number = short_hash.of(start)
        per_s = self._share_per_s(start, number)
        if per_s is not None:
            bucket = self._refill(number, per_s)
            self._buckets[number] = rate_limit.debited(bucket)

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a fraction of the known limits to a datagram."""
        now = self._clock.monotonic()
        rows = sorted(
            self._reports_by_hash.items(), key=lambda row: -row[1].received_at
        )
        message.limits = [
            ttypes.RateLimit(
                start=number,
                per_s=report.per_s,
                age_ms=min(MAX_AGE_MS, int((now - report.received_at) * 1000)),
            )
            for number, report in rows[: int(MAX_REPORTED * fraction)]
        ]

    def apply(self, message: ttypes.Usage) -> None:
        """Apply the limits reported by another entry."""
        now = self._clock.monotonic()
        for row in filter(_is_valid, message.limits or ()):
            report = rate_limit.LimitReport(row.per_s, now - row.age_ms / 1000)
            self._store(row.start, report)

    def _record(self, start: str, per_s: float | None) -> None:
        number = short_hash.of(start)
        old = self._reports_by_hash.get(number)
        report = rate_limit.LimitReport(per_s, self._clock.monotonic())
        self._store(number, report)
        if old is None or old.per_s != per_s:
            LOG.info(
                "An upstream changed its rate limit.",
                upstream=start,
                per_s=per_s,
                before_per_s=old.per_s if old else None,
                share_per_s=self._share_per_s(start, number),
            )
            self._on_update()

    def _store(self, number: int, report: rate_limit.LimitReport) -> None:
        """Store the newer report of a start, and drop the oldest of all."""
        old = self._reports_by_hash.pop(number, None)
        newest = rate_limit.newest(old, report)
        self._reports_by_hash[number] = newest
        if newest.per_s is None:
            self._buckets.pop(number, None)
        if old is not None and old.per_s is not None and newest.per_s is None:
            self._on_free()
        while len(self._reports_by_hash) > MAX_RECORDS:
            oldest = next(iter(self._reports_by_hash))
            for values_by_hash in (
                self._reports_by_hash,
                self._buckets,
                self._shares,
            ):
                values_by_hash.pop(oldest, None)

    def _share_per_s(self, start: str, number: int) -> float | None:
        """Return this entry's share of a limit, None without a limit."""
        report = self._reports_by_hash.get(number)
        if report is None or report.per_s is None:
            return None
        entries = self._entries()
        cached = self._shares.get(number)
        if cached is not None and cached[:2] == (entries, report.per_s):
            return cached[2]
        share = rate_limit.share_per_s(report.per_s, start, entries)
        self._shares[number] = (entries, report.per_s, share)
        return share

    def _refill(self, number: int, per_s: float) -> rate_limit.Bucket:
        bucket = rate_limit.refilled(
            self._buckets.get(number), per_s, self._clock.monotonic()
        )
        self._buckets[number] = bucket
        return bucket


def _is_valid(row: ttypes.RateLimit) -> bool:
    """Return whether a row of a datagram is valid."""
    if row.start is None or row.age_ms is None:
        return False
    if not 0 <= row.age_ms <= MAX_AGE_MS:
        return False
    return row.per_s is None or 0 <= row.per_s < math.inf
