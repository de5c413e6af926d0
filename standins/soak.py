"""Longer runs: random faults under load, then a count of broken promises.

Usage: python -m standins.soak --minutes 5 --seed 1.  Bounded by the
minutes; the exit status is 0 only if no promise was broken.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import argparse
import collections
import random
import sys
import time
from collections.abc import Callable

from . import cluster, load

STREAM_TOKENS = 60
KEYS_KEPT = 20


class Soak:
    """One run."""

    def __init__(self, made: cluster.Cluster, seed: int) -> None:
        self.made = made
        self.source = random.Random(seed)
        self.faults: collections.Counter = collections.Counter()
        self.keys: collections.deque[str] = collections.deque(maxlen=KEYS_KEPT)
        self.version = 1
        self.fell: list[str] = []
        self.offsets: dict[str, int] = {}

    def calls(self) -> list[Callable[[], load.Told]]:
        """Return what callers do, one thread each."""
        entries = [name for name, _ in self.made.entries]

        def send() -> load.Told:
            entry = self.source.choice(entries)
            if not self.keys or self.source.random() < 0.3:
                self.keys.append(load.uuid7())
            key = self.source.choice(list(self.keys))
            return load.send(self.made, entry, key=key, body=key)

        def plain() -> load.Told:
            return load.send(self.made, self.source.choice(entries))

        def stream() -> load.Told:
            entry = self.source.choice(entries)
            return load.stream(self.made, entry, STREAM_TOKENS)

        return [send, send, plain, plain, stream, stream, stream, stream]

    def harm(self) -> None:
        """Bring one fault about and mend it."""
        faults = (
            self.kill_agent,
            self.kill_entry,
            self.kill_engine,
            self.freeze,
            self.log_down,
            self.log_slow,
            self.lose_answers,
            self.cut_hall,
            self.change_layout,
            self.leave_and_return,
        )
        fault = self.source.choice(faults)
        self.faults[fault.__name__] += 1
        fault()
        self.note_offsets()

    def _agent(self) -> str:
        made = self.made
        return self.source.choice([*made.engines, *made.services])[0]

    def _restart(self, name: str) -> None:
        self.made.processes[name].kill()
        time.sleep(self.source.uniform(0, 1))
        self.made.processes[name].start()
        self.offsets.pop(name, None)

    def kill_agent(self) -> None:
        """Kill an agent."""
        self._restart(self._agent())

    def kill_entry(self) -> None:
        """Kill an entry."""
        self._restart(self.source.choice(self.made.entries)[0])

    def kill_engine(self) -> None:
        """Kill an engine, which loses its layout."""
        self._restart(f"engine-{self.source.choice(self.made.engines)[0]}")

    def freeze(self) -> None:
        """Freeze an agent or an entry for longer than a lease."""
        name = self.source.choice(sorted(self.made.http))
        self.made.processes[name].freeze()
        time.sleep(self.source.uniform(0.2, 3.5))
        self.made.processes[name].thaw()

    def log_down(self) -> None:
        """Take the log down for a while."""
        self.made.platform(down=True)
        time.sleep(self.source.uniform(0.5, 5))
        self.made.platform(down=False)

    def log_slow(self) -> None:
        """Make the log slow for a while."""
        self.made.platform(slow_s=0.8)
        time.sleep(2)
        self.made.platform(slow_s=0.0)

    def lose_answers(self) -> None:
        """Lose the answers of the next appends."""
        self.made.platform(lose_answers=2)
        self.change_layout()
        self.made.platform(lose_answers=0)

    def cut_hall(self) -> None:
        """Cut a hall off from the other and the platform."""
        halls = {name: hall for name, hall in self.made.entries}
        halls |= dict([*self.made.engines, *self.made.services])
        inside = [name for name, hall in halls.items() if hall == "b"]
        outside = [name for name in halls if name not in inside]
        for name in inside:
            self.made.cut(name, outside, platform=True)
        for name in outside:
            self.made.cut(name, inside)
        time.sleep(self.source.uniform(1, 5))
        for name in halls:
            self.made.cut(name, [])

    def change_layout(self) -> None:
        """Plan and confirm a new model version, as far as one can."""
        self.version += 1
        name = f"v{self.version}"
        row = {"kind": "set-model", "group": "m1", "model_version": name}
        self._try([row])

    def leave_and_return(self) -> None:
        """Let an upstream leave and come back."""
        name, hall = self.source.choice(self.made.services)
        self._try([{"kind": "leave", "upstream": name}])
        time.sleep(self.source.uniform(0, 2))
        self._try([self.made.upstream_change(name, "codes", hall)])

    def _try(self, changes: list[dict]) -> None:
        entry = self.source.choice(self.made.entries)[0]
        try:
            plan = self.made.plan(changes, entry)
            if plan.is_success:
                self.made.confirm(plan.json()["id"], entry)
        except cluster.httpx.HTTPError:
            pass

    def note_offsets(self) -> None:
        """Check that no process's offset has gone down."""
        for name in self.made.http:
            try:
                offset = self.made.offset(name)
            except cluster.httpx.HTTPError:
                continue
            if offset >= 0 and offset < self.offsets.get(name, -1):
                self.fell.append(name)
            self.offsets[name] = max(offset, self.offsets.get(name, -1))


def broken(soak: Soak, told: list[load.Told]) -> dict[str, int]:
    """Count what was promised and not kept."""
    runs = [run for run in soak.made.ledger() if run["path"] == "/send"]
    counts = collections.Counter(run["body"] for run in runs)
    # A key is asked for many times; only single sends speak for one run.
    keys = {row.id for row in told if len(row.id) == 36}
    lied = [
        row
        for row in told
        if row.outcome == "not-run" and counts[row.id] and row.id not in keys
    ]
    return {
        "steps on two layouts": len(soak.made.mixed_steps()),
        "wrong or short answers": sum(not row.right for row in told),
        "told not-run, but ran": len(lied),
        "ran twice": sum(count > 1 for count in counts.values()),
        "offsets that went down": len(soak.fell),
    }


def main() -> int:
    """Run; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=5)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    options = {"entries": 2, "engines": 1, "services": 2, "lease_s": 1}
    with cluster.Cluster(**options) as made:
        soak = Soak(made, given.seed)
        time.sleep(2.5)
        end = time.monotonic() + given.minutes * 60
        with load.Load(soak.calls()) as running:
            while time.monotonic() < end:
                soak.harm()
                time.sleep(soak.source.uniform(0.2, 1.5))
        time.sleep(2)
        result = broken(soak, running.told)
    print(f"faults brought about: {dict(soak.faults)}")
    print(f"callers were told: {load.outcomes(running.told)}")
    print(f"promises broken: {result}")
    return 1 if any(result.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
