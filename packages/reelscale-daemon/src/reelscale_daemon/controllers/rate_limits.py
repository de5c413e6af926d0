"""Keeps to the limits that upstreams in need name, together with others.

What an upstream's answer says goes to the other entries at once, with its
age; the newest counts, whoever heard it.  See core/rate_limit.py for what
each entry may send.
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
# Limits in one datagram, the newest; each takes some 20 bytes of 1,400.
MOST_TOLD = 24
# So many starts of upstreams are remembered, the newest.
MOST_KEPT = 512
# The age of what another entry tells is at most this, in milliseconds.
OLDEST_MS = 600_000


class RateLimits:
    """The limits of upstreams, by the hash of a start."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        entries: Callable[[], rate_limit.Entries],
        on_update: Callable[[], None],
        on_free: Callable[[], None],
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          clock: The time.
          entries: Gives who shares the limits.
          on_update: Called when there is something to tell others.
          on_free: Called when a request may go that had to wait.
        """
        self._clock = clock
        self._entries = entries
        self._on_news = on_update
        self._on_free = on_free
        self._told_by_hash: dict[int, rate_limit.LimitReport] = {}
        self._buckets: dict[int, rate_limit.Bucket] = {}
        self._shares: dict[int, tuple[Any, float, float]] = {}
        self._wakeup = wakeup.Wakeup(
            reactor=reactor, clock=clock, function=on_free
        )

    def record_limit(self, start: str, stated: base.RateLimit) -> None:
        """Take what an answer of a start says."""
        match stated:
            case base.RequestsPerSecond(per_s=per_s):
                self._hear(start, per_s)
            case base.NoRateLimit():
                if short_hash.of(start) in self._told_by_hash:
                    self._hear(start, None)
            case base.UnreadableRateLimit(text=text):
                LOG.warning(
                    "An upstream's limit cannot be read; it is ignored.",
                    upstream=start,
                    text=text[:40],
                )

    def blocks(self, start: str) -> bool:
        """Tell whether a limit lets no request go to a start now."""
        if not self._told_by_hash:
            return False
        waits_s = self.wait_s(start)
        if 0 < waits_s < math.inf:
            self._wakeup.within(waits_s)
        return waits_s > 0

    def wait_s(self, start: str, *, ahead: int = 0) -> float:
        """Return when a request may go to a start; inf if never from here."""
        number = short_hash.of(start)
        per_s = self._share_per_s(start, number)
        if per_s is None:
            return 0.0
        bucket = self._fill(number, per_s)
        return rate_limit.wait_s(bucket, per_s, ahead=ahead)

    def limit_per_s(self, start: str) -> float | None:
        """Return the limit of a start for all entries, None without one."""
        told = self._told_by_hash.get(short_hash.of(start))
        return None if told is None else told.per_s

    def sent(self, start: str) -> None:
        """Note that a request goes to a start; each counts, also a retry."""
        if not self._told_by_hash:
            return
        number = short_hash.of(start)
        per_s = self._share_per_s(start, number)
        if per_s is not None:
            bucket = self._fill(number, per_s)
            self._buckets[number] = rate_limit.debited(bucket)

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a part of the limits that are known to a datagram."""
        now = self._clock.monotonic()
        rows = sorted(
            self._told_by_hash.items(), key=lambda row: -row[1].received_at
        )
        message.limits = [
            ttypes.RateLimit(
                start=number,
                per_s=told.per_s,
                age_ms=min(OLDEST_MS, int((now - told.received_at) * 1000)),
            )
            for number, told in rows[: int(MOST_TOLD * fraction)]
        ]

    def apply(self, message: ttypes.Usage) -> None:
        """Take what another entry tells."""
        now = self._clock.monotonic()
        for row in filter(_sound, message.limits or ()):
            told = rate_limit.LimitReport(row.per_s, now - row.age_ms / 1000)
            self._keep(row.start, told)

    def _hear(self, start: str, per_s: float | None) -> None:
        number = short_hash.of(start)
        old = self._told_by_hash.get(number)
        told = rate_limit.LimitReport(per_s, self._clock.monotonic())
        self._keep(number, told)
        if old is None or old.per_s != per_s:
            LOG.info(
                "An upstream states a limit, or that there is none.",
                upstream=start,
                per_s=per_s,
                before_per_s=old.per_s if old else None,
                share_per_s=self._share_per_s(start, number),
            )
            self._on_news()

    def _keep(self, number: int, told: rate_limit.LimitReport) -> None:
        """Keep the newest of a start, and the newest of all."""
        old = self._told_by_hash.pop(number, None)
        kept = rate_limit.newest(old, told)
        self._told_by_hash[number] = kept
        if kept.per_s is None:
            self._buckets.pop(number, None)
        if old is not None and old.per_s is not None and kept.per_s is None:
            self._on_free()
        while len(self._told_by_hash) > MOST_KEPT:
            oldest = next(iter(self._told_by_hash))
            for kept_by_hash in (
                self._told_by_hash,
                self._buckets,
                self._shares,
            ):
                kept_by_hash.pop(oldest, None)

    def _share_per_s(self, start: str, number: int) -> float | None:
        """Return what this entry may send to a start; None for anything."""
        told = self._told_by_hash.get(number)
        if told is None or told.per_s is None:
            return None
        entries = self._entries()
        known = self._shares.get(number)
        if known is not None and known[:2] == (entries, told.per_s):
            return known[2]
        share = rate_limit.share_per_s(told.per_s, start, entries)
        self._shares[number] = (entries, told.per_s, share)
        return share

    def _fill(self, number: int, per_s: float) -> rate_limit.Bucket:
        bucket = rate_limit.refilled(
            self._buckets.get(number), per_s, self._clock.monotonic()
        )
        self._buckets[number] = bucket
        return bucket


def _sound(row: ttypes.RateLimit) -> bool:
    """Tell whether a row of a datagram makes sense."""
    if row.start is None or row.age_ms is None:
        return False
    if not 0 <= row.age_ms <= OLDEST_MS:
        return False
    return row.per_s is None or 0 <= row.per_s < math.inf
