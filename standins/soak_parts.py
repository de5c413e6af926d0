"""Runs entries on workers that a part of prompts crashes, beside faults.

Usage: python -m standins.soak_parts --seed 1 --seeds 5.  The exit status is 0
only if few requests with the part reached workers after its fifth crash, and
sound requests with the same parts were answered about as often as before.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import argparse
import random
import signal
import sys
import threading
from typing import NamedTuple

from . import crashing, fleet, mixed_callers
from .process import wait_for

WORKERS = 8
# Seconds of sound traffic, and then of both kinds.
BEFORE_S = 3.0
BESIDE_S = 15.0
SOUND_PER_S = 12.0
# From the fifth crash until at most MAX_LATE more requests reach workers.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE = 3
# Smallest share of the earlier answers that sound requests may fall to.
MIN_SOUND_SHARE = 0.5


class Ledger(NamedTuple):
    """What the workers saw, as monotonic times in ascending order.

    Attributes:
      crashed_at: Crashes that a request with the part brought about.
      reached_at: Requests with the part.
    """

    crashed_at: list[float]
    reached_at: list[float]

    @property
    def late(self) -> int:
        """Number of requests that reached workers too late."""
        if len(self.crashed_at) < CRASHES:
            return 0
        bound = self.crashed_at[CRASHES - 1] + CONTACT_S
        return sum(at > bound for at in self.reached_at)


def read_ledger(made: fleet.Fleet) -> Ledger:
    """Read the ledgers of all workers, once all of them are back."""
    crashed_at: list[float] = []
    reached_at: list[float] = []
    for name in made.workers:
        wait_for(lambda n=name: made.answers(made.address[n]), name)
        rows = made.worker(name)
        crashed_at += [r["at"] for r in rows["crashes"] if r["request"]]
        reached_at += [
            row["at"]
            for row in rows["reached"]
            if mixed_callers.CRASHING in row["parts"]
        ]
    return Ledger(sorted(crashed_at), sorted(reached_at))


def sound_shares(
    callers: mixed_callers.Callers, ledger: Ledger
) -> tuple[list[bool], list[bool]]:
    """Return which sound requests came whole, before the part and after.

    After means from two contact times after the fifth crash, or the last.
    """
    first = min(row.at for row in callers.sent if row.crashing)
    settled = ledger.crashed_at[:CRASHES][-1] + 2 * CONTACT_S
    sound = [row for row in callers.sent if not row.crashing]
    before = [row.whole for row in sound if row.at < first]
    after = [row.whole for row in sound if row.at > settled]
    return before, after


def _disturb(made: fleet.Fleet, source: random.Random) -> None:
    """Crash a worker for another reason, or have an entry reload."""
    if source.random() < 0.5:
        name = source.choice(list(made.http))
        made.processes[name].signal(signal.SIGHUP)
        return
    name = source.choice(list(made.workers))
    if made.answers(made.address[name]):
        made.control_worker(name, crash=True)


def run(seed: int) -> list[str]:
    """Run one seed; return what was broken."""
    source = random.Random(seed)
    entries = source.choice((1, 2, 3, 5))
    death = source.choice(list(crashing.DEATHS))
    per_s = source.choice((0.8, 1.5, 3.0))
    workers = (("llm", "a"),) * WORKERS
    with fleet.Fleet(workers=workers, entries=entries) as made:
        for name in made.workers:
            part = mixed_callers.CRASHING
            made.control_worker(name, part=part, death=death, prefill_s=0.08)
        first = source.random() < 0.5
        callers = mixed_callers.Callers(made, crashing_first=first, seed=seed)
        callers.run(mixed_callers.Rates(SOUND_PER_S), BEFORE_S)
        faults = [
            threading.Timer(at_s, _disturb, (made, source))
            for at_s in (source.uniform(0.5, BESIDE_S) for _ in range(4))
        ]
        for fault in faults:
            fault.start()
        rates = mixed_callers.Rates(SOUND_PER_S, per_s)
        callers.run(rates, BESIDE_S)
        for fault in faults:
            fault.join()
        broken = _check(callers, read_ledger(made))
        if broken:
            made.print_logs()
    print(
        f"seed {seed}: {entries} entries, {death}, {per_s} a second: {broken}"
    )
    return broken


def _check(callers: mixed_callers.Callers, ledger: Ledger) -> list[str]:
    if not ledger.crashed_at:
        return ["the part has crashed no worker"]
    broken = []
    if ledger.late > MAX_LATE:
        count = len(ledger.crashed_at)
        broken.append(f"{ledger.late} late requests, {count} crashes")
    before, after = sound_shares(callers, ledger)
    if after:
        share = sum(after) / len(after)
        if share < MIN_SOUND_SHARE * sum(before) / len(before):
            broken.append(f"{share:.2f} of the sound requests answered")
    return broken


def main() -> int:
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    given = parser.parse_args()
    seeds = range(given.seed, given.seed + given.seeds)
    broken = [seed for seed in seeds if run(seed)]
    print(f"{len(seeds) - len(broken)} of {len(seeds)} seeds kept all rules")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
