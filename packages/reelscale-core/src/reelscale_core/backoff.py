"""How long an upstream that refused a request wants no other.

An upstream that sheds load names in its refusal a time in which it wants
nothing from the one who asked (RFC 9110, 10.2.3).  Load pattern: a few of
many upstreams refuse all that arrives for some seconds, while the others
have room.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import number
from .clock import Clock

# With these an upstream may say when it wants requests again (RFC 9110, 15.6.4
# and RFC 6585, 4).
STATUSES = (429, 503)
# No upstream is left alone for longer, in seconds, whatever it asks for: one
# that is sound again must not be lost for good.
MAX_BACKOFF_S = 3600.0


class Backoff(NamedTuple):
    """What one start of an upstream has asked of this entry.

    Attributes:
      until: Monotonic seconds up to which it wants nothing.
      received_at: Unix time of its last refusal, in seconds.
    """

    until: float
    received_at: float


def parse_retry_after(retry_after: str) -> float | None:
    """Return the seconds that a Retry-After states; None if it states none.

    A date is not read: clocks of machines differ by more than upstreams ask.
    """
    seconds = number.decimal(retry_after)
    return None if seconds is None else min(seconds, MAX_BACKOFF_S)


def extended(old: Backoff | None, seconds: float, clock: Clock) -> Backoff:
    """Return what counts once an upstream asks again.

    Each answer binds by itself, and they may overtake one another: the one
    that reaches furthest counts.
    """
    until = clock.monotonic() + seconds
    if old is not None:
        until = max(old.until, until)
    return Backoff(until, clock.wall())


def remaining_s(backoff: Backoff | None, now: float) -> float:
    """Return for how long an upstream wants nothing more, in seconds."""
    return 0.0 if backoff is None else max(0.0, backoff.until - now)
