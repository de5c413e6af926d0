"""Runs entries on a store that is restored again and again, beside faults.

Usage: python -m standins.soak_restore --seconds 20 --seed 1 --seeds 1.  Every
version of the operator has a key of its own, so what an entry accepts tells
which version is in force there.  The exit status is 0 only if no entry went
back to an older version, none was late with a newer one once all was well, and
no entry that knew an upstream to be leaving sent it a request.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import argparse
import random
import sys
import time

import httpx

from . import fleet
from .process import wait_for

ENTRIES = 3
# From an acknowledgement until a version is in force, in seconds.
APPLY_S = 2.0
# From the end of all faults until APPLY_S holds, in seconds.
STABLE_S = 3.0
# From an announcement that an upstream leaves until it gets nothing more.
DRAIN_S = 2.0
# The copies are up to this old, in seconds.
OLDEST_COPY_S = 5.0
HEARTBEAT_S = 0.5
FAULTS_A_ROUND = 6
MOST_VERSIONS = 5
LEAVING = "w3"


class Entry:
    """What an entry is known to have done since it was started.

    Attributes:
      started_at: Monotonic seconds of its start.
      version: Highest version that it has accepted the key of.
      suspended: Whether it is suspended now.
    """

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.version = 0
        self.suspended = False


class Soak:
    """One run."""

    def __init__(self, made: fleet.Fleet, seed: int) -> None:
        self.made = made
        self.source = random.Random(seed)
        self.entries_by_name = {name: Entry() for name in made.http}
        self.faults: list[str] = []
        self.broken: list[str] = []
        self.born_ms = 1
        self.left_at: float | None = None
        # Unix time of the same.
        self.left_unix_s = 0.0
        # When the store was harmed, in monotonic seconds.
        self.harmed_at: list[float] = []
        self.announced_at = 0.0
        self.down = False

    def round(self) -> None:
        """Bring some faults about, end them, and check that all agree."""
        for _ in range(FAULTS_A_ROUND):
            faults = (
                self.restore,
                self.restore,
                self.restore_in_outage,
                self.state_versions,
                self.state_versions,
                self.suspend,
                self.restart,
                self.leave,
            )
            fault = self.source.choice(faults)
            self.faults.append(fault.__name__)
            fault()
            self.watch(self.source.uniform(0.1, 1.0))
        self.end_faults()

    def restore(self) -> None:
        """Restore the store, with or without breaking its connections."""
        how = {
            "behind_s": self.source.uniform(0, OLDEST_COPY_S),
            "rewrite_s": self.source.choice((0.1, 1.0, 2.0, None)),
            "keeps_reads": self.source.choice((True, False)),
        }
        self.harmed_at.append(time.monotonic())
        self.made.control(restore=how)

    def restore_in_outage(self) -> None:
        """Restore the store up to three times while it is down."""
        self.harmed_at.append(time.monotonic())
        self.made.control(down=self.source.choice(("silent", "reset", "busy")))
        self.down = True
        self.watch(self.source.uniform(0.1, 3.0))
        for _ in range(self.source.randint(1, 3)):
            self.restore()
        self.made.control(down="")
        self.down = False

    def state_versions(self) -> None:
        """Have the operator state some versions in quick succession."""
        for _ in range(self.source.randint(1, MOST_VERSIONS)):
            self.state_version()

    def state_version(self) -> None:
        """Have the operator state a version, with a key of its own."""
        version = self.made.config["version"] + 3
        tenants = [{"name": "acme", "api_keys": [_key(version)], "prio": 1}]
        self.made.change(tenants=tenants)

    def suspend(self) -> None:
        """Suspend an entry, or resume it."""
        name = self.source.choice(list(self.entries_by_name))
        entry = self.entries_by_name[name]
        process = self.made.processes[name]
        if entry.suspended:
            process.thaw()
        else:
            process.freeze()
        entry.suspended = not entry.suspended

    def restart(self) -> None:
        """Kill an entry and start it again."""
        name = self.source.choice(list(self.entries_by_name))
        process = self.made.processes[name]
        process.thaw()
        process.kill()
        process.start()
        self.entries_by_name[name] = Entry()

    def leave(self) -> None:
        """Have an upstream leave, or start again."""
        if self.left_at is None:
            self.left_unix_s = time.time()
            self.announce("draining")
            self.left_at = time.monotonic()
            return
        self.born_ms += 1
        self.left_at = None
        self.announce("ready")

    def announce(self, state: str = "") -> None:
        """Write the announcements of all upstreams."""
        leaving = state or ("ready" if self.left_at is None else "draining")
        for name in self.made.workers:
            own = leaving if name == LEAVING else "ready"
            born = self.born_ms if name == LEAVING else 1
            self.made.announce(name, state=own, born=born)
        self.announced_at = time.monotonic()

    def watch(self, seconds: float) -> None:
        """Probe the entries for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            silent_s = time.monotonic() - self.announced_at
            if silent_s > HEARTBEAT_S and not self.down:
                self.announce()
            for name, entry in self.entries_by_name.items():
                if not entry.suspended:
                    self.probe(name, entry)
            time.sleep(0.02)

    def probe(self, name: str, entry: Entry) -> None:
        """Ask an entry with the key of some version."""
        newest = self.made.config["version"]
        version = self.source.choice((newest, newest, newest - 3, newest - 6))
        wanted = self.made.next_id()
        status = self.ask(name, version, wanted)
        if status != httpx.codes.OK:
            return
        if version < entry.version:
            before = f"{name}: {entry.version}, then {version}"
            self.broken.append(f"went back at {before}")
        entry.version = max(entry.version, version)
        self.check_run(entry, name, wanted)

    def ask(self, name: str, version: int, wanted: str) -> int:
        """Return the status of a request with a version's key, 0 for none."""
        try:
            return self.made.ask(
                "/push/x",
                entry=name,
                Request_Id=wanted,
                Authorization=f"Bearer {_key(version)}",
            ).status_code
        except httpx.HTTPError:
            return 0

    def check_run(self, entry: Entry, name: str, wanted: str) -> None:
        """Check that the request did not run where an upstream leaves."""
        if self.left_at is None:
            return
        since = max(self.left_at, entry.started_at + STABLE_S)
        if self.is_excused(name):
            return
        for run in self.made.runs_of(wanted):
            if run["by"] == LEAVING and run["begun_at"] > since + DRAIN_S:
                self.broken.append(f"{name} uses {LEAVING} though it leaves")

    def is_excused(self, name: str) -> bool:
        """Return whether a fault of the store kept an entry from knowing.

        Only while the store is sound has an entry to know of a leaving within
        DRAIN_S; once it has read of it, nothing excuses it.
        """
        in_time_s = self.left_at + DRAIN_S
        harmed = any(self.left_at <= at <= in_time_s for at in self.harmed_at)
        return harmed and not self.knows(name)

    def knows(self, name: str) -> bool:
        """Return whether an entry has read that the upstream leaves."""
        return any(
            row.get("name") == LEAVING
            and row.get("leaving")
            and row["time"] >= self.left_unix_s
            for row in self.made.log_lines(name)
        )

    def end_faults(self) -> None:
        """Resume all, and check that a new version is soon in force."""
        for name, entry in self.entries_by_name.items():
            self.made.processes[name].thaw()
            entry.suspended = False
        for name in self.entries_by_name:
            self.made.wait_ready(name)
        self.watch(STABLE_S)
        self.state_version()
        version = self.made.config["version"]
        for name in self.entries_by_name:
            try:
                wait_for(lambda n=name: self.serves(n, version), name, APPLY_S)
            except TimeoutError:
                self.broken.append(f"{name} is late with {version}")

    def serves(self, name: str, version: int) -> bool:
        """Return whether an entry accepts the key of a version."""
        status = self.ask(name, version, self.made.next_id())
        return status == httpx.codes.OK


def _key(version: int) -> str:
    return f"key-of-{version}"


def run(seed: int, seconds: float) -> list[str]:
    """Run one seed; return what was broken."""
    with fleet.Fleet(entries=ENTRIES) as made:
        soak = Soak(made, seed)
        soak.announce()
        soak.state_version()
        end = time.monotonic() + seconds
        while time.monotonic() < end and not soak.broken:
            soak.round()
        if soak.broken:
            made.print_logs()
        faults = ", ".join(soak.faults)
    print(f"seed {seed}: {soak.broken or 'nothing broken'}; {faults}")
    return soak.broken


def main() -> int:
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    given = parser.parse_args()
    seeds = range(given.seed, given.seed + given.seeds)
    broken = [seed for seed in seeds if run(seed, given.seconds)]
    print(f"{len(seeds) - len(broken)} of {len(seeds)} seeds kept all rules")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
