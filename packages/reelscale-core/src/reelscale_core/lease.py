"""Leases in the log: when a holder may act and when others may claim.

The holder counts from before it asked; everybody else counts from when
they read the claim, and adds the drift that clocks may have.  So the
holder always stops before another may start.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import state

# Clocks of two boxes may drift apart by this fraction.
DRIFT = 0.05
# A holder stops this much before its lease lapses.
MARGIN_S = 0.2


class Held(NamedTuple):
    """A lease as its holder sees it.

    Attributes:
      name: What is held.
      fence: Offset of the claim; orders carry it.
      until: Monotonic seconds at which it lapses.
    """

    name: str
    fence: int
    until: float


def held(
    name: str, lease: state.Lease, *, claim_id: str, requested_at: float
) -> Held | None:
    """Return the holder's view of a lease, if its claim was accepted.

    Args:
      name: What is claimed.
      lease: The newest accepted claim, as folded.
      claim_id: Id of the own claim.
      requested_at: Monotonic seconds just before the claim was appended.

    Returns:
      The lease held, or None when another claim won.
    """
    if lease.id != claim_id:
        return None
    return Held(name, lease.offset, requested_at + lease.ttl_ms / 1000)


def usable(lease: Held, now: float) -> bool:
    """Tell whether the holder may send another order now."""
    return now < lease.until - MARGIN_S


def claimable(
    lease: state.Lease | None, *, read_at: float, now: float
) -> bool:
    """Tell whether another may claim.

    Args:
      lease: The newest accepted claim, if any.
      read_at: Monotonic seconds at which this process read that claim.
      now: Monotonic seconds.
    """
    if lease is None:
        return True
    return now >= read_at + lease.ttl_ms / 1000 * (1 + DRIFT)
