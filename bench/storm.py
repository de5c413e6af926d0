"""What retries add to the load on upstreams, with and without a budget.

A queue recurrence in ticks: an outage of some seconds, in which nothing is
served, then callers' first attempts and the retries of what failed.  The
budget, the backlog and the refusals are those of the core; the callers who
were refused come back after the Retry-After that they were told.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from reelscale_core import admission, rendezvous, retry

RATE_S = 100
TICK_S = 0.05
OUTAGE = (5.0, 8.0)
END_S = 40.0
TIMEOUT_S = 0.5
NAIVE_RETRY_S = 1.0


class Result(NamedTuple):
    """What a policy did to the upstreams.

    Attributes:
      offered: Requests of callers, each counted once.
      sent: Attempts sent to upstreams.
      amplification: sent over offered.
      peak: Most attempts in one second over the usual rate.
    """

    offered: int
    sent: int
    amplification: float
    peak: float


def run(*, budget: bool) -> Result:
    """Send requests through an outage; tell what reached upstreams."""
    left = retry.Budget()
    due: list[tuple[float, int, int]] = []
    sent_by_second: dict[int, int] = {}
    offered = sent = number = 0
    now = 0.0
    while now < END_S:
        fresh = int((now + TICK_S) * RATE_S) - int(now * RATE_S)
        arrivals = [(number + n, 1) for n in range(fresh)]
        number += fresh
        offered += fresh
        ready = [row for row in due if row[0] <= now]
        due = [row for row in due if row[0] > now]
        arrivals += [(item, tries) for _, item, tries in ready]
        down = OUTAGE[0] <= now < OUTAGE[1]
        for item, tries in arrivals:
            if tries == 1:
                left = retry.deposit(left)
            elif budget:
                paid = retry.withdraw(left)
                if paid is None:
                    continue
                left = paid
            sent += 1
            second = int(now)
            sent_by_second[second] = sent_by_second.get(second, 0) + 1
            if down and tries < retry.MAX_ATTEMPTS:
                due.append((now + TIMEOUT_S, item, tries + 1))
        now += TICK_S
    peak = max(sent_by_second.values()) / RATE_S
    return Result(offered, sent, sent / offered, peak)


def return_curve(callers: int = 1000) -> dict[str, list[int]]:
    """Count by second when callers refused at one moment come back."""
    queue = admission.Queue(limit=0)
    spread = [0] * 4
    together = [0] * 4
    for number in range(callers):
        after = queue.retry_after_s(f"e1-{number}", "w", 2)
        spread[min(3, int(after * 2) - 2)] += 1
        together[0] += 1
    assert rendezvous.score("a", "retry") != rendezvous.score("b", "retry")
    return {"spread": spread, "fixed": together}


def main() -> dict[str, Any]:
    """Compare and print."""
    data = {
        "with budget": run(budget=True)._asdict(),
        "without budget": run(budget=False)._asdict(),
        "return by half second": return_curve(),
    }
    for name, row in data.items():
        print(f"{name}: {row}")
    return data


if __name__ == "__main__":
    main()
