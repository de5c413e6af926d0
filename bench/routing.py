"""Ways to choose an upstream, scored by a short queue recurrence.

Requests arrive at several entries, each of which knows the upstreams by
reports that lag.  An upstream serves its queue first come, first served,
in a number of slots; the wait of a request is known when it is sent.
Grants (delayed assignment) are the shares of each upstream's slots that
its agent gave at the last report; a request without a grant waits at its
entry, as in the paper's common queue, until a report brings one.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from reelscale_core import grant, rendezvous, routing

from . import caller

UPSTREAMS = 16
ENTRIES = 4
SLOTS = 8
SERVICE_S = 0.4
REQUESTS = 6000
LOAD = 0.85
LAGS_S = (0.1, 1.0, 5.0)
WARMUP = 500


class Case(NamedTuple):
    """One trace.

    Attributes:
      name: What is special in it.
      slow: How many times slower the first upstream is.
      burst: Size of bursts of arrivals, 1 for none.
    """

    name: str
    slow: float = 1.0
    burst: int = 1


CASES = (Case("steady"), Case("bursty", burst=24), Case("slow", slow=4.0))


class Upstream:
    """A queue in front of some slots."""

    def __init__(self, factor: float) -> None:
        self.factor = factor
        self.free = [0.0] * SLOTS
        self.ends: list[float] = []

    def serve(self, now: float, work: float) -> float:
        """Take a request; return when it begins."""
        begin = max(now, heapq.heappop(self.free))
        end = begin + work * self.factor
        heapq.heappush(self.free, end)
        heapq.heappush(self.ends, end)
        return begin

    def inside(self, now: float) -> int:
        """Return how many requests are here."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)


class View(NamedTuple):
    """What an entry knows of an upstream."""

    at: float
    inside: int
    slots: int


class World:
    """Upstreams and what each entry knows of them."""

    def __init__(self, case: Case, lag: float) -> None:
        self.lag = lag
        self.source = random.Random(3)
        self.upstreams = [
            Upstream(case.slow if number == 0 else 1.0)
            for number in range(UPSTREAMS)
        ]
        first = View(0.0, 0, SLOTS // ENTRIES)
        self.views = [[first] * UPSTREAMS for _ in range(ENTRIES)]
        self.own: list[list[list[float]]] = [
            [[] for _ in range(UPSTREAMS)] for _ in range(ENTRIES)
        ]
        self.reports = 0
        self.turn = 0

    def refresh(self, entry: int, now: float) -> None:
        """Bring an entry's reports up to date, as far as the lag lets."""
        for number, view in enumerate(self.views[entry]):
            if now - view.at < self.lag:
                continue
            inside = self.upstreams[number].inside(now)
            wanted = {
                str(other): len(self._open(other, number, now))
                for other in range(ENTRIES)
            }
            slots = grant.shares(SLOTS, wanted)[str(entry)]
            self.views[entry][number] = View(now, inside, slots)
            self.reports += 1

    def _open(self, entry: int, number: int, now: float) -> list[float]:
        kept = [end for end in self.own[entry][number] if end > now]
        self.own[entry][number] = kept
        return kept

    def candidates(self, entry: int, now: float) -> list[routing.Candidate]:
        """Return what routing looks at."""
        rows = []
        for number, view in enumerate(self.views[entry]):
            own = len(self._open(entry, number, now))
            rows.append(
                routing.Candidate(
                    name=str(number),
                    hall="a",
                    slots=view.slots,
                    until=now + 1,
                    local_in_flight=own,
                    local_reported=min(own, view.inside),
                    running=min(view.inside, SLOTS),
                    queued=max(0, view.inside - SLOTS),
                    capacity=SLOTS,
                    step_ms=6.0,
                    reported_at=view.at,
                    tie_breaker=rendezvous.score(str(entry), str(number)),
                )
            )
        return rows


Policy = Callable[[World, int, float], int | None]


def by_random(world: World, entry: int, now: float) -> int:
    """Choose any."""
    return world.source.randrange(UPSTREAMS)


def by_turn(world: World, entry: int, now: float) -> int:
    """Choose in turn."""
    world.turn += 1
    return world.turn % UPSTREAMS


def by_report(world: World, entry: int, now: float) -> int:
    """Choose the least loaded by report."""
    rows = world.views[entry]
    return min(range(UPSTREAMS), key=lambda n: (rows[n].inside, n))


def by_two(world: World, entry: int, now: float) -> int:
    """Choose the less loaded of two."""
    pair = world.source.sample(range(UPSTREAMS), 2)
    return min(pair, key=lambda n: world.views[entry][n].inside)


def by_wait(world: World, entry: int, now: float) -> int:
    """Choose by expected wait, own requests counted, without grants."""
    rows = [
        item._replace(slots=10**6) for item in world.candidates(entry, now)
    ]
    return int(routing.choose(rows, routing.Requirements(hall="a"), now).name)


def by_grant(world: World, entry: int, now: float) -> int | None:
    """Choose by expected wait, only on a grant: delayed assignment."""
    rows = world.candidates(entry, now)
    choice = routing.choose(rows, routing.Requirements(hall="a"), now)
    return int(choice.name) if choice else None


def by_both(world: World, entry: int, now: float) -> int:
    """Choose on a grant if there is one, else by expected wait."""
    chosen = by_grant(world, entry, now)
    return by_wait(world, entry, now) if chosen is None else chosen


POLICIES: dict[str, Policy] = {
    "random": by_random,
    "in turn": by_turn,
    "least reported": by_report,
    "two choices": by_two,
    "expected wait (early)": by_wait,
    "grants (delayed)": by_grant,
    "both (hybrid)": by_both,
}


def run(case: Case, lag: float, policy: Policy) -> dict[str, float]:
    """Send all requests of a trace; return percentiles of the wait."""
    world = World(case, lag)
    source = random.Random(8)
    rate = LOAD * UPSTREAMS * SLOTS / SERVICE_S
    waits: list[float] = []
    now = 0.0
    for number in range(REQUESTS):
        if number % case.burst == 0:
            now += source.expovariate(rate / case.burst)
        work = source.expovariate(1 / SERVICE_S)
        begin = _send(world, policy, source.randrange(ENTRIES), now, work)
        if number >= WARMUP:
            waits.append(begin - now)
    result = {
        f"p{percent}": caller.percentile(waits, percent) * 1000
        for percent in (50, 95, 99)
    }
    result["reports_s"] = world.reports / now
    return result


def _send(
    world: World, policy: Policy, entry: int, now: float, work: float
) -> float:
    """Send one request, when the policy lets it; return its begin."""
    at = now
    while True:
        world.refresh(entry, at)
        chosen = policy(world, entry, at)
        if chosen is not None:
            break
        opens = [end for rows in world.own[entry] for end in rows if end > at]
        report = min(view.at for view in world.views[entry]) + world.lag
        at = max(at + 1e-4, min([report, *opens]))
    upstream = world.upstreams[chosen]
    begin = upstream.serve(at, work)
    end = begin + work * upstream.factor
    world.own[entry][chosen].append(end)
    return begin


def main() -> dict[str, Any]:
    """Run everything and print tables."""
    data: dict[str, Any] = {}
    for case in CASES:
        for lag in LAGS_S:
            key = f"{case.name}, reports {lag} s old"
            print(f"{key}: wait p50 / p95 / p99 in ms")
            data[key] = {}
            for name, policy in POLICIES.items():
                row = run(case, lag, policy)
                data[key][name] = row
                print(
                    f"  {name:<22} {row['p50']:7.1f} {row['p95']:8.1f} "
                    f"{row['p99']:8.1f}"
                )
    return data


if __name__ == "__main__":
    main()
