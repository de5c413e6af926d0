"""Goodput, urgent requests and small tenants under overload.

A recurrence in ticks over the core's admission queue: slots come free at a
fixed rate and go to the head of the queue; callers who are refused come
back when they were told to.  A queue without classes, shares or early
refusal (first come, first served) is the baseline.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from typing import Any, NamedTuple

from reelscale_core import admission

from . import caller

CAPACITY_S = 200
TICK_S = 0.01
END_S = 30.0
WARM_S = 5.0
DEADLINE_S = 2.0
LIMIT = 1000
FACTORS = (0.7, 1.5, 3.0, 10.0)
# Of the offered load: one large tenant floods, one small one does not.
SMALL_RATE_S = 10
URGENT_RATE_S = 20
SMALL, LARGE, URGENT = "small", "large", "urgent"


class Asked(NamedTuple):
    """A request of the trace."""

    tenant: str
    at: float
    deadline: float


class Outcome(NamedTuple):
    """What came of a trace.

    Attributes:
      goodput: Requests begun in time over what the slots could begin.
      urgent_p99_ms: Wait of the urgent class.
      small_share: Share of the small tenant's requests begun in time.
      refused_late: Refusals after the deadline had passed.
    """

    goodput: float
    urgent_p99_ms: float
    small_share: float
    refused_late: int


def run(factor: float, *, fair: bool) -> Outcome:
    """Offer a multiple of the capacity; tell what came of it."""
    line = Fair() if fair else Plain()
    began: list[tuple[Asked, float]] = []
    offered: collections.Counter = collections.Counter()
    now = tokens = 0.0
    owed = dict.fromkeys((SMALL, LARGE, URGENT), 0.0)
    large_s = CAPACITY_S * factor - SMALL_RATE_S - URGENT_RATE_S
    rates = {SMALL: SMALL_RATE_S, LARGE: large_s, URGENT: URGENT_RATE_S}
    while now < END_S:
        for tenant, rate in rates.items():
            owed[tenant] += rate * TICK_S
            while owed[tenant] >= 1:
                owed[tenant] -= 1
                offered[tenant] += now >= WARM_S
                line.offer(Asked(tenant, now, now + DEADLINE_S), now)
        tokens = min(tokens + CAPACITY_S * TICK_S, CAPACITY_S * TICK_S + 1)
        while tokens >= 1:
            asked = line.take(now)
            if asked is None:
                break
            tokens -= 1
            began.append((asked, now))
        now += TICK_S
    return _outcome(began, offered, line, factor)


class Plain:
    """First come, first served; refuses nothing."""

    late = 0

    def __init__(self) -> None:
        self.rows: collections.deque[Asked] = collections.deque()

    def offer(self, asked: Asked, now: float) -> None:
        """Queue a request."""
        self.rows.append(asked)

    def take(self, now: float) -> Asked | None:
        """Return the next request."""
        return self.rows.popleft() if self.rows else None


class Fair:
    """The core's queue."""

    def __init__(self) -> None:
        self.queue = admission.Queue(limit=LIMIT)
        self.number = 0
        self.late = 0

    def offer(self, asked: Asked, now: float) -> None:
        """Queue a request, or refuse one."""
        self.number += 1
        self.queue.offer(
            id=str(self.number),
            workspace=asked.tenant,
            weight=1.0,
            priority=0 if asked.tenant == URGENT else 2,
            deadline=asked.deadline,
            now=now,
            item=asked,
        )

    def take(self, now: float) -> Asked | None:
        """Return the next request that is still in time."""
        while True:
            entry = self.queue.head()
            if entry is None:
                return None
            if entry.deadline < now:
                self.queue.drop(entry)
                self.late += 1
                continue
            self.queue.take(entry, now)
            return entry.item


def _outcome(
    began: list[tuple[Asked, float]],
    offered: collections.Counter,
    line: Any,
    factor: float,
) -> Outcome:
    began = [row for row in began if row[1] >= WARM_S]
    good = [(asked, at) for asked, at in began if at <= asked.deadline]
    window = END_S - WARM_S
    possible = min(sum(offered.values()), CAPACITY_S * window)
    urgent = [(at - a.at) * 1000 for a, at in began if a.tenant == URGENT]
    small = sum(
        asked.tenant == SMALL and asked.at >= WARM_S for asked, _ in good
    )
    return Outcome(
        goodput=len(good) / possible,
        urgent_p99_ms=caller.percentile(urgent, 99) if urgent else -1.0,
        small_share=small / offered[SMALL],
        refused_late=line.late,
    )


def main() -> dict[str, Any]:
    """Run everything and print tables."""
    data: dict[str, Any] = {}
    for factor in FACTORS:
        for name, fair in (("queue", True), ("first come", False)):
            row = run(factor, fair=fair)
            data[f"{factor} {name}"] = row._asdict()
            print(
                f"offered x{factor:<4} {name:<10} goodput {row.goodput:.3f}, "
                f"urgent p99 {row.urgent_p99_ms:.0f} ms, small tenant "
                f"{row.small_share:.3f}, expired in the queue "
                f"{row.refused_late}"
            )
    return data


if __name__ == "__main__":
    main()
