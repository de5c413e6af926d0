"""Circuit breaker for a group of ranks.

The ranks of a group run in lock-step: if one is lost, all refuse requests
until it returns, and retrying at another rank cannot succeed.  During an
outage requests are rejected immediately, except for periodic probes.  A group
that makes progress is not out, however many of its ranks shed load.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# Upstreams that must refuse in a row; a single one may be full or leaving.
MIN_REFUSALS = 3
# A tenth of the usual Retry-After, so that recovery is detected well before
# most clients retry.
PROBE_INTERVAL_S = 0.25
# Retry-After as a fraction of the time remaining until the deadline.  A caller
# returns once; the later it does, the likelier the group is back.
MAX_WAIT_FRACTION = 0.33


class Outage(NamedTuple):
    """Outage state of a group, as observed by one entry.

    Attributes:
      refusing: Upstreams that refused since the group last made progress.
      probed_at: Monotonic time of the last admitted request, in seconds.
    """

    refusing: frozenset[str] = frozenset()
    probed_at: float = float("-inf")

    @property
    def out(self) -> bool:
        """Whether the group is considered out of service."""
        return len(self.refusing) >= MIN_REFUSALS


def record_refusal(outage: Outage, upstream: str, now: float) -> Outage:
    """Record that an upstream refused a request without running it."""
    return Outage(outage.refusing | {upstream}, now)


def allows(outage: Outage, now: float) -> bool:
    """Return whether a request may be sent to the group now."""
    return not outage.out or now - outage.probed_at >= PROBE_INTERVAL_S


def retry_after_s(remaining_s: float) -> float:
    """Return a Retry-After for a rejected request, in seconds."""
    return max(0.0, remaining_s * MAX_WAIT_FRACTION)
