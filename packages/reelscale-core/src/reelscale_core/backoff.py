"""How long an upstream that refused a request wants no other.

An upstream that sheds load names in its refusal a time in which it wants
nothing from the one who asked (RFC 9110, 10.2.3).  Load pattern: a few of
many upstreams refuse all that arrives for some seconds, while the others
have room.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple


class Backoff(NamedTuple):
    """What one start of an upstream has asked of this entry.

    Attributes:
      until: Monotonic seconds up to which it wants nothing.
    """

    until: float


def asked(old: Backoff | None, seconds: float, now: float) -> Backoff:
    """Return what counts once an upstream asks again.

    Each answer binds by itself, and they may overtake one another: the one
    that reaches furthest counts.
    """
    until = now + seconds
    return Backoff(until if old is None else max(old.until, until))


def left_s(backoff: Backoff | None, now: float) -> float:
    """Return for how long an upstream wants nothing more, in seconds."""
    return 0.0 if backoff is None else max(0.0, backoff.until - now)
