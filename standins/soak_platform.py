"""Runs entries on the platform's stand-ins beside all faults, in series.

Usage: python -m standins.soak_platform --seconds 40 --seed 1 --seeds 5, or
with --limits, which has as many processes as a small box bears, or with
--silent, which silences connections to the store in place of its own faults,
while the entries that others rely on are away.  Callers use
their connections until an entry is gone.  Faults begin and end at random and
overlap: entries stop, reload, are killed and freeze; the store is down, slow,
loses answers and is restored; workers leave and return, refuse, fail, and
send answers twice.  The exit status is 0 only if every rule was kept.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import argparse
import collections
import contextlib
import random
import signal
import sys
import threading
import time
from typing import NamedTuple

import httpx

from . import fleet, kept_callers, silences, soak_rules
from .process import wait_for

WAY_SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
MAX_PAUSE_S = 1.5
MAX_FAULT_S = 3.0
STOP_S = 10.0


class Shape(NamedTuple):
    """The processes of a run.

    Attributes:
      entries: Number of entries.
      workers: Number of workers.
      callers: Number of callers.
      silent: Whether connections to the store go silent; the store itself is
        then sound, and only entries that others rely on are harmed.
    """

    entries: int
    workers: int
    callers: int
    silent: bool = False


USUAL = Shape(entries=2, workers=4, callers=12)
LIMITS = Shape(entries=8, workers=24, callers=64)
SILENT = Shape(entries=5, workers=4, callers=6, silent=True)


class Soak:
    """One run.

    Attributes:
      faults: The faults so far.
      count: How often each kind was brought about.
    """

    def __init__(
        self,
        made: fleet.Fleet,
        seed: int,
        silent: silences.Silences | None = None,
    ) -> None:
        self.faults: list[soak_rules.Fault] = []
        self.count: collections.Counter[str] = collections.Counter()
        self._made = made
        self._seed = seed
        self._silent = silent
        self._until = 0.0
        self._busy: set[str] = set()
        self._lock = threading.Lock()

    def run(self, seconds: float) -> None:
        """Bring faults of the entries, store and workers about at once."""
        self._until = time.monotonic() + seconds
        harms = [
            self._harm_entries,
            self._harm_entries,
            self._harm_store,
            self._configure,
        ]
        if self._silent is not None:
            harms = [self._lose_neighbours, self._move_route]
        series = (*harms, self._harm_workers, self._move_workers)
        threads = [
            threading.Thread(
                target=self._repeat,
                args=(item, random.Random(self._seed * 100 + number)),
            )
            for number, item in enumerate(series)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _repeat(self, harm, source: random.Random) -> None:
        while time.monotonic() < self._until:
            try:
                harm(source)
            except httpx.HTTPError:
                # The store or the worker is away by another fault.
                self.count["not possible"] += 1
            time.sleep(source.uniform(0.1, MAX_PAUSE_S))

    def _note(self, kind: str, subject: str, from_s: float) -> None:
        self.count[kind] += 1
        row = soak_rules.Fault(kind, subject, from_s, time.monotonic())
        self.faults.append(row)

    def _claim(self, source: random.Random, names: list[str]) -> str:
        """Take a process that no other series works on, "" if none is free."""
        with self._lock:
            free = sorted(set(names) - self._busy)
            name = source.choice(free) if free else ""
            self._busy.add(name)
        return name

    def _harm_entries(self, source: random.Random) -> None:
        name = self._claim(source, list(self._made.http))
        if not name:
            return
        acts = (self._stop, self._stop, self._kill, self._freeze, self._reload)
        act, began = source.choice(acts), time.monotonic()
        try:
            act(name, source)
        finally:
            self._note(act.__name__.strip("_"), name, began)
            self._busy.discard(name)

    def _stop(self, name: str, _source: random.Random) -> None:
        process = self._made.processes[name]
        process.signal(signal.SIGTERM)
        wait_for(lambda: not process.running, f"{name} to end", STOP_S)
        process.start()
        self._made.wait_ready(name)

    def _kill(self, name: str, source: random.Random) -> None:
        process = self._made.processes[name]
        process.kill()
        time.sleep(source.uniform(0.0, 0.5))
        process.start()
        self._made.wait_ready(name)

    def _freeze(self, name: str, source: random.Random) -> None:
        self._made.processes[name].freeze()
        time.sleep(source.uniform(0.1, MAX_FAULT_S))
        self._made.processes[name].thaw()

    def _reload(self, name: str, source: random.Random) -> None:
        for _ in range(source.randrange(1, 4)):
            self._made.processes[name].signal(signal.SIGHUP)
            time.sleep(source.uniform(0.0, 0.1))

    def _harm_store(self, source: random.Random) -> None:
        began = time.monotonic()
        kind = source.choice(("down", "slow", "lose", "restore"))
        seconds = source.uniform(0.2, MAX_FAULT_S)
        try:
            match kind:
                case "down":
                    how = source.choice(("silent", "busy", "reset"))
                    self._made.control(down=how)
                    time.sleep(seconds)
                    self._made.control(down="")
                case "slow":
                    self._made.control(slow_s=source.uniform(0.05, 0.4))
                    time.sleep(seconds)
                    self._made.control(slow_s=0.0)
                case "lose":
                    self._made.control(lose_answers=2)
                case "restore":
                    self._made.control(restore={"behind_s": seconds})
        finally:
            self._note(f"store {kind}", "", began)

    def _lose_neighbours(self, source: random.Random) -> None:
        """Silence reads, then take those away on which others may rely."""
        for _ in range(source.choice((1, 1, 2))):
            began = time.monotonic()
            self._silent.silence()
            self._note("silence", "", began)
            time.sleep(source.uniform(0.0, soak_rules.CONTACT_S))
        threads = [
            threading.Thread(
                target=self._take_away,
                args=(
                    name,
                    source.choice(silences.WAYS),
                    source.uniform(*silences.AWAY_S),
                ),
            )
            for name in silences.RELIED_ON
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _take_away(self, name: str, way: str, seconds: float) -> None:
        """Take an entry away for a while, and have it back."""
        began = time.monotonic()
        process = self._made.processes[name]
        match way:
            case "cut":
                self._silent.cut(name, seconds)
            case "freeze":
                process.freeze()
                time.sleep(seconds)
                process.thaw()
            case "kill" | "stop":
                process.signal(WAY_SIGNALS[way])
                time.sleep(seconds)
                wait_for(lambda: not process.running, f"{name} to end", STOP_S)
                process.start()
                self._made.wait_ready(name)
        self._note(way, name, began)

    def _move_route(self, source: random.Random) -> None:
        began = time.monotonic()
        self._silent.move_route()
        self._note("configuration", "", began)
        silences.pause(source, silences.CHANGES_S)

    def excuses(self, probe: silences.Probe) -> bool:
        """Return whether an entry was not in touch at a probe."""
        return any(
            fault.subject in ("", probe.entry)
            and fault.kind not in soak_rules.NO_EXCUSES
            and fault.affects(probe.at, probe.at)
            for fault in self.faults
        )

    def _harm_workers(self, source: random.Random) -> None:
        """Have faulty workers refuse, and send answers twice."""
        began = time.monotonic()
        faulty = [
            n for n, (_, hall) in self._made.workers.items() if hall == "a"
        ]
        name = source.choice(faulty)
        fault = {
            "shed_share": source.choice((0.0, 0.3)),
            "surplus_share": source.choice((0.03, 0.2)),
            "unnamed_share": source.choice((0.0, 0.5)),
        }
        self._made.control_worker(name, **fault)
        time.sleep(source.uniform(0.5, MAX_FAULT_S))
        self._made.control_worker(name, **dict.fromkeys(fault, 0.0))
        self._note("answers twice", name, began)

    def _move_workers(self, source: random.Random) -> None:
        """Have a sound worker leave, and return under its id."""
        sound = [
            n for n, (_, hall) in self._made.workers.items() if hall == "b"
        ]
        name = source.choice(sound)
        if source.random() < 0.5:
            self._made.announce(name, state="draining")
        else:
            self._made.withdraw(name)
        left_at = time.monotonic()
        time.sleep(soak_rules.DRAIN_S + source.uniform(0.5, MAX_FAULT_S))
        self._note("leaving", name, left_at)
        self._made.announce(name)

    def _configure(self, source: random.Random) -> None:
        began = time.monotonic()
        for _ in range(source.randrange(1, 4)):
            self._made.change()
        self._note("configuration", "", began)


def run(seed: int, seconds: float, shape: Shape = USUAL) -> list[str]:
    """Run one seed; return what was broken."""
    halls = ("a", "b")
    workers = tuple(
        (("llm", "push")[number // 2 % 2], halls[number % 2])
        for number in range(shape.workers)
    )
    settings = {"stop_wait_s": 0.3}
    made = fleet.Fleet(
        entries=shape.entries, workers=workers, settings=settings
    )
    silent = silences.Silences(made) if shape.silent else None
    with made:
        soak = Soak(made, seed, silent)
        callers = kept_callers.Callers(made, count=shape.callers, seed=seed)
        probing = silent.probing() if silent else contextlib.nullcontext()
        with callers, probing:
            soak.run(seconds)
        made.control(down="", slow_s=0.0, lose_answers=0)
        for name in made.workers:
            made.announce(name)
        broken = soak_rules.broken_rules(made, soak.faults, callers.sent)
        broken += soak_rules.recovered(made)
        if silent is not None:
            broken += silent.late(soak.excuses)
            silent.close()
        if broken:
            made.print_logs()
    statuses = collections.Counter(row.status for row in callers.sent)
    print(f"seed {seed}: {dict(soak.count)}, {dict(statuses)}: {broken}")
    return broken


def main() -> int:
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--limits", action="store_true")
    parser.add_argument("--silent", action="store_true")
    given = parser.parse_args()
    seeds = range(given.seed, given.seed + given.seeds)
    shape = LIMITS if given.limits else USUAL
    shape = SILENT if given.silent else shape
    broken = [seed for seed in seeds if run(seed, given.seconds, shape)]
    print(f"{len(seeds) - len(broken)} of {len(seeds)} seeds kept all rules")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
