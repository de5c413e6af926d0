"""Chooses the upstream for a request.

The score is an expected wait in milliseconds.  It starts from the report
of the upstream's agent, which lags, and adds what this entry has sent
since; distance, session home and prompt prefix count as milliseconds too,
so that one order decides.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from . import rendezvous

# Going to another hall must save more than this many milliseconds.
OTHER_HALL_MS = 6.0
# What reusing a cached prompt prefix saves, in milliseconds.
PREFIX_MS = 40.0
# A session stays at its home unless waiting there costs more than this.
SESSION_MS = 400.0
# One that has refused a request lately is asked after others that have not,
# unless waiting there costs more than this many milliseconds.
REFUSED_MS = 60.0
# A request waits about this long for each one ahead of it in a queue.
QUEUE_MS = 30.0
# A report older than this says nothing of its own.
STALE_S = 5.0


class Candidate(NamedTuple):
    """An upstream as one entry sees it.

    Attributes:
      name: Name of the upstream.
      hall: Its data hall.
      slots: Slots granted to this entry.
      until: Monotonic seconds at which the grant lapses.
      local_in_flight: Requests of this entry in progress there.
      local_reported: How many of those the report already counts.
      running: Requests in progress there, as reported.
      queued: Requests waiting there, as reported.
      capacity: Requests that it runs at once.
      step_ms: Reported time of a step.
      reported_at: Monotonic seconds of the report.
      allowed: Whether the circuit lets a request through.
      refused: Whether it has refused a request lately.
      tie_breaker: Orders equal scores, differently for each entry.
      start: Key of its start, where starts are told apart.
      group: The group of ranks that it is in, "" while not known.
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
    """What a request asks of routing.

    Attributes:
      hall: Data hall of the entry.
      session: Key of the session, empty for none.
      prefix: Key of the leading blocks of the prompt, empty for none.
      tried: Upstreams already tried for this request.
    """

    hall: str
    session: str = ""
    prefix: str = ""
    tried: tuple[str, ...] = ()


class Choice(NamedTuple):
    """The upstream chosen and why.

    Attributes:
      name: Name of the upstream.
      reason: "session", "prefix" or "wait".
      wait_ms: Its score.
      among: How many could have been chosen.
    """

    name: str
    reason: str
    wait_ms: float
    among: int


def usable(candidate: Candidate, now: float) -> bool:
    """Tell whether new work may be sent to an upstream at all."""
    return (
        candidate.allowed
        and now < candidate.until
        and candidate.local_in_flight < candidate.slots
    )


def wait_ms(candidate: Candidate, now: float) -> float:
    """Estimate how long a new request would wait, in milliseconds."""
    fresh = now - candidate.reported_at < STALE_S
    since = max(0, candidate.local_in_flight - candidate.local_reported)
    running = (candidate.running if fresh else 0) + since
    ahead = (candidate.queued if fresh else 0) + max(
        0, running - candidate.capacity
    )
    share = running / max(1, candidate.capacity)
    return ahead * QUEUE_MS + share * candidate.step_ms


def used(candidates: Sequence[Candidate]) -> float:
    """Return the part of the slots of all that is in use."""
    slots = sum(item.capacity for item in candidates)
    busy = sum(item.running + item.queued for item in candidates)
    return busy / slots if slots else 0.0


def choose(
    candidates: Iterable[Candidate], wish: Requirements, now: float
) -> Choice | None:
    """Choose an upstream, or None when none may take new work.

    Args:
      candidates: All upstreams of the target that this entry knows.
      wish: What the request asks for.
      now: Monotonic seconds.
    """
    fit = [item for item in candidates if usable(item, now)]
    fresh = [item for item in fit if item.name not in wish.tried]
    fit = fresh or fit
    if not fit:
        return None
    names = [item.name for item in fit]
    home = rendezvous.choose(wish.session, names) if wish.session else None
    warm = rendezvous.choose(wish.prefix, names) if wish.prefix else None

    def score(item: Candidate) -> tuple[float, int, str]:
        cost = wait_ms(item, now)
        cost += OTHER_HALL_MS if item.hall != wish.hall else 0.0
        cost += REFUSED_MS if item.refused else 0.0
        cost -= SESSION_MS if item.name == home else 0.0
        cost -= PREFIX_MS if item.name == warm else 0.0
        return cost, item.tie_breaker, item.name

    best = min(fit, key=score)
    reason = "wait"
    if best.name == home:
        reason = "session"
    elif best.name == warm:
        reason = "prefix"
    return Choice(best.name, reason, wait_ms(best, now), len(fit))
