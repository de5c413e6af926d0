"""Notices that a whole group refuses work, and when to try it again.

The ranks of a group step together, so when one is gone all refuse until it
is back.  Asking one rank after another is then in vain: requests are refused
at once, and one now and then is let through to see whether the group is back.
A group is not out while anything of it goes on, however many of its ranks
shed load.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# The group is out when so many of its upstreams have refused in a row; a
# single one may be full or leaving.
MIN_REFUSALS = 3
# One request is let through this often, in seconds: a tenth of what callers
# are asked to wait, so that the end is seen well before most are back.
PROBE_INTERVAL_S = 0.25
# A caller who is to come back once waits no longer than this part of the
# time that it has left; the longer, the likelier the group is back.
MAX_WAIT_FRACTION = 0.33


class Outage(NamedTuple):
    """How a group answered lately, as one entry saw it.

    Attributes:
      refusing: Upstreams that refused since the group last got on with work.
      probed_at: Monotonic seconds of the last request let through.
    """

    refusing: frozenset[str] = frozenset()
    probed_at: float = float("-inf")

    @property
    def out(self) -> bool:
        """Whether the group refuses work."""
        return len(self.refusing) >= MIN_REFUSALS


def record_refusal(outage: Outage, upstream: str, now: float) -> Outage:
    """Note that an upstream refused a request without running it."""
    return Outage(outage.refusing | {upstream}, now)


def allows(outage: Outage, now: float) -> bool:
    """Tell whether a request may go to the group now."""
    return not outage.out or now - outage.probed_at >= PROBE_INTERVAL_S


def retry_after_s(remaining_s: float) -> float:
    """Return when a refused caller should come back, in seconds."""
    return max(0.0, remaining_s * MAX_WAIT_FRACTION)
