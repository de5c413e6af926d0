"""Chooses the upstream for a request.

The score is an expected wait in milliseconds: the load that the upstream last
reported, plus the requests that this entry has sent since.  Distance, session
affinity and prompt-cache affinity are converted to milliseconds and added.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from . import rendezvous

# Penalty for an upstream in another data hall, in milliseconds.
OTHER_HALL_MS = 6.0
# Time saved by a cached prompt prefix, in milliseconds.
PREFIX_MS = 40.0
# A session moves only if its preferred upstream is slower by more than
# this, in milliseconds.
SESSION_MS = 400.0
# Penalty for an upstream that recently refused a request, in milliseconds.
REFUSED_MS = 60.0
# Expected wait for each request ahead in a queue, in milliseconds.
QUEUE_MS = 30.0
# Reports older than this are ignored, in seconds.
STALE_S = 5.0


class Candidate(NamedTuple):
    """An upstream as one entry sees it.

    Attributes:
      name: Name of the upstream.
      hall: Its data hall.
      slots: Slots granted to this entry.
      until: Monotonic time at which the grant expires, in seconds.
      local_in_flight: Requests of this entry in progress there.
      local_reported: How many of those the report already includes.
      running: Requests in progress there, as reported.
      queued: Requests waiting there, as reported.
      capacity: Maximum number of requests that it runs concurrently.
      step_ms: Reported duration of a step, in milliseconds.
      reported_at: Monotonic time of the report, in seconds.
      allowed: Whether its circuit breaker admits a request.
      refused: Whether it recently refused a request.
      tie_breaker: Orders equal scores, differently for each entry.
      start: Key of its start; empty where starts are not distinguished.
      group: Group of ranks that it belongs to; empty while unknown.
    """

    name: str
    hall: str
    slots: int
    until: float
    local_in_flight: int
    local_reported: int
    running: int
    queued: int
    capacity: int
    step_ms: float
    reported_at: float
    allowed: bool = True
    refused: bool = False
    tie_breaker: int = 0
    start: str = ""
    group: str = ""


class Requirements(NamedTuple):
    """Routing requirements of a request.

    Attributes:
      hall: Data hall of the entry.
      session: Session key; empty for none.
      prefix: Key of the leading prompt blocks; empty for none.
      tried: Upstreams already tried for this request.
    """

    hall: str
    session: str = ""
    prefix: str = ""
    tried: tuple[str, ...] = ()


class Choice(NamedTuple):
    """The chosen upstream and the reason.

    Attributes:
      name: Name of the upstream.
      reason: "session", "prefix" or "wait".
      wait_ms: Its expected wait, in milliseconds.
      among: Number of eligible candidates.
    """

    name: str
    reason: str
    wait_ms: float
    among: int


def usable(candidate: Candidate, now: float) -> bool:
    """Return whether an upstream may receive a new request."""
    return (
        candidate.allowed
        and now < candidate.until
        and candidate.local_in_flight < candidate.slots
    )


def wait_ms(candidate: Candidate, now: float) -> float:
    """Estimate the wait of a new request, in milliseconds."""
    fresh = now - candidate.reported_at < STALE_S
    sent_since = max(0, candidate.local_in_flight - candidate.local_reported)
    running = (candidate.running if fresh else 0) + sent_since
    ahead = (candidate.queued if fresh else 0) + max(
        0, running - candidate.capacity
    )
    utilization = running / max(1, candidate.capacity)
    return ahead * QUEUE_MS + utilization * candidate.step_ms


def used(candidates: Sequence[Candidate]) -> float:
    """Return the fraction of all slots that is in use."""
    slots = sum(candidate.capacity for candidate in candidates)
    busy = sum(
        candidate.running + candidate.queued for candidate in candidates
    )
    return busy / slots if slots else 0.0


def choose(
    candidates: Iterable[Candidate], requirements: Requirements, now: float
) -> Choice | None:
    """Choose an upstream; None if no candidate is usable.

    Args:
      candidates: Known upstreams of the target.
      requirements: Routing requirements of the request.
      now: Monotonic time in seconds.
    """
    eligible = [
        candidate for candidate in candidates if usable(candidate, now)
    ]
    untried = [
        candidate
        for candidate in eligible
        if candidate.name not in requirements.tried
    ]
    eligible = untried or eligible
    if not eligible:
        return None
    names = [candidate.name for candidate in eligible]
    session_owner = (
        rendezvous.choose(requirements.session, names)
        if requirements.session
        else None
    )
    prefix_owner = (
        rendezvous.choose(requirements.prefix, names)
        if requirements.prefix
        else None
    )

    def score(candidate: Candidate) -> tuple[float, int, str]:
        cost = wait_ms(candidate, now)
        cost += OTHER_HALL_MS if candidate.hall != requirements.hall else 0.0
        cost += REFUSED_MS if candidate.refused else 0.0
        cost -= SESSION_MS if candidate.name == session_owner else 0.0
        cost -= PREFIX_MS if candidate.name == prefix_owner else 0.0
        return cost, candidate.tie_breaker, candidate.name

    best = min(eligible, key=score)
    reason = "wait"
    if best.name == session_owner:
        reason = "session"
    elif best.name == prefix_owner:
        reason = "prefix"
    return Choice(best.name, reason, wait_ms(best, now), len(eligible))
