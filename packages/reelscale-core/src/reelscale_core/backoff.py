"""Honours Retry-After of upstreams that shed load (RFC 9110, 10.2.3)."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import number
from .clock import Clock

# Statuses that may carry Retry-After (RFC 9110, 15.6.4, and RFC 6585, 4).
STATUSES = (429, 503)
# Bounds erroneous values, which would remove an upstream permanently.
MAX_BACKOFF_S = 3600.0


class Backoff(NamedTuple):
    """Backoff requested by one start of an upstream.

    Attributes:
      until: Monotonic time at which it ends, in seconds.
      received_at: Unix time of the last refusal, in seconds.
    """

    until: float
    received_at: float


def parse_retry_after(retry_after: str) -> float | None:
    """Return the seconds of a Retry-After value; None if it is invalid.

    Dates are not supported: clock skew between boxes exceeds typical values.
    """
    seconds = number.decimal(retry_after)
    return None if seconds is None else min(seconds, MAX_BACKOFF_S)


def extended(old: Backoff | None, seconds: float, clock: Clock) -> Backoff:
    """Return the backoff after a further refusal.

    Refusals may arrive out of order, so the latest end applies.
    """
    until = clock.monotonic() + seconds
    if old is not None:
        until = max(old.until, until)
    return Backoff(until, clock.wall())


def remaining_s(backoff: Backoff | None, now: float) -> float:
    """Return the remaining backoff in seconds, 0 if there is none."""
    return 0.0 if backoff is None else max(0.0, backoff.until - now)
