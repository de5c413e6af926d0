"""Leases in the log: until when a holder may act, from when others may claim.

A holder measures the validity from before its request; all others from when
they read the claim, plus the maximum drift of clocks.  So a holder always
stops before another may claim.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import state

# As a fraction of the elapsed time, between the clocks of two boxes.
MAX_DRIFT = 0.05
# A holder stops this long before its lease expires.
MARGIN_S = 0.2


class Held(NamedTuple):
    """A lease from the view of its holder.

    Attributes:
      name: Name of the lease.
      fence: Offset of the claim, sent with each order.
      until: Monotonic seconds at which it expires.
    """

    name: str
    fence: int
    until: float


def held(
    name: str, lease: state.Lease, *, claim_id: str, requested_at: float
) -> Held | None:
    """Return the lease if the claim was accepted.

    Args:
      name: Name of the lease.
      lease: The newest accepted claim.
      claim_id: Id of the local claim.
      requested_at: Monotonic seconds just before the claim was appended.

    Returns:
      The held lease; None if another claim was accepted.
    """
    if lease.id != claim_id:
        return None
    return Held(name, lease.offset, requested_at + lease.ttl_ms / 1000)


def usable(lease: Held, now: float) -> bool:
    """Return whether the holder may still send an order."""
    return now < lease.until - MARGIN_S


def claimable(
    lease: state.Lease | None, *, read_at: float, now: float
) -> bool:
    """Return whether another process may claim the lease.

    Args:
      lease: The newest accepted claim, if any.
      read_at: Monotonic seconds at which this process read that claim.
      now: Current monotonic seconds.
    """
    if lease is None:
        return True
    return now >= read_at + lease.ttl_ms / 1000 * (1 + MAX_DRIFT)
