"""Time that entry and agent add, and what one entry carries on a core.

Latency: the same streams straight to the engine and through entry and
agent, in turn.  Carried: processor seconds of each process for events and
for requests, next to a bare relay, so that the figure does not depend on
which process of the run saturates first.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import os
import sys
import time
from typing import Any

from standins import cluster

from . import caller

TOKENS = 60
CONCURRENT = (1, 16, 64)
TOTALS = {1: 20, 16: 160, 64: 384}
BLAST_EVENTS = 4000
BLAST_STREAMS = 32
SHORT_TOTAL = 1500
TICK = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def latency() -> dict[str, Any]:
    """Compare streams straight to the engine with those through us."""
    data: dict[str, Any] = {}
    with cluster.Cluster(
        halls=("a",), services=0, slots=128, step_s=0.005
    ) as made:
        entry, engine = made.entries[0][0], made.engines[0][0]
        through = made.http[entry].removeprefix("http://")
        straight = made.upstream_http[engine].removeprefix("http://")
        head = made.headers()
        for streams in CONCURRENT:
            options = {"streams": streams, "tokens": TOKENS}
            options["total"] = TOTALS[streams] // 2
            rows: dict[str, list] = {"direct": [], "through": []}
            for _ in range(2):
                rows["direct"] += caller.run(straight, head, **options)
                rows["through"] += caller.run(through, head, **options)
            data[str(streams)] = _compare(rows)
    return data


def _compare(rows: dict[str, list[caller.Timing]]) -> dict[str, float]:
    result: dict[str, float] = {}
    for percent in (50, 99):
        for field in ("first_s", "whole_s"):
            values = {
                name: caller.percentile(
                    [getattr(item, field) for item in items], percent
                )
                for name, items in rows.items()
            }
            key = f"{field[:-2]}_p{percent}"
            result[f"{key}_direct_ms"] = values["direct"] * 1000
            result[f"{key}_through_ms"] = values["through"] * 1000
            result[f"{key}_ratio"] = values["through"] / values["direct"]
    whole = [item.whole and item.events == TOKENS for item in rows["through"]]
    result["whole"] = sum(whole) / len(whole)
    return result


def carried() -> dict[str, Any]:
    """Measure processor time for events and requests."""
    with cluster.Cluster(
        halls=("a",), services=0, slots=1024, blast=True
    ) as made:
        entry, engine = made.entries[0][0], made.engines[0][0]
        port = cluster.free_port()
        upstream = made.upstream_http[engine].removeprefix("http://")
        command = [sys.executable, "-m", "bench.bare", str(port)]
        command.append(upstream.rpartition(":")[2])
        bare = cluster.Process("bare", command, made.dir / "bare.log")
        bare.start()
        made.processes["bare"] = bare
        time.sleep(1.0)
        head = made.headers()
        pids = {
            "entry": made.processes[entry].popen.pid,
            "agent": made.processes[engine].popen.pid,
            "bare": bare.popen.pid,
        }
        through = made.http[entry].removeprefix("http://")
        relay = f"127.0.0.1:{port}"
        events = {"streams": BLAST_STREAMS, "total": BLAST_STREAMS * 2}
        events["tokens"] = BLAST_EVENTS
        short = {"streams": 32, "total": SHORT_TOTAL, "tokens": 1}
        data: dict[str, Any] = {}
        for name, options in (("events", events), ("requests", short)):
            data[name] = _carry(through, relay, head, pids, options)
        return data


def _carry(
    through: str,
    relay: str,
    head: dict[str, str],
    pids: dict[str, int],
    options: dict[str, int],
) -> dict[str, float]:
    """Return how many units a second of one core each process carries."""
    used: dict[str, float] = {}
    walls: dict[str, float] = {}
    units = options["total"] * options["tokens"]
    for address, names in ((through, ("entry", "agent")), (relay, ("bare",))):
        caller.run(address, head, **{**options, "total": 32})
        before = {name: cpu_s(pids[name]) for name in names}
        start = time.perf_counter()
        rows = caller.run(address, head, **options)
        wall = time.perf_counter() - start
        assert all(row.whole for row in rows), "a stream was not whole"
        for name in names:
            used[name] = cpu_s(pids[name]) - before[name]
            walls[name] = wall
    result = {f"{n}_per_core_s": units / s for n, s in used.items()}
    result["entry_of_bare"] = used["bare"] / used["entry"]
    result["through_per_s"] = units / walls["entry"]
    result["bare_per_s"] = units / walls["bare"]
    return result


def main() -> dict[str, Any]:
    """Run everything and print tables."""
    data = {"latency": latency(), "carried": carried()}
    for streams, row in data["latency"].items():
        print(
            f"{streams:>3} streams: first event p50 "
            f"{row['first_p50_direct_ms']:.1f} -> "
            f"{row['first_p50_through_ms']:.1f} ms "
            f"(x{row['first_p50_ratio']:.2f}), p99 "
            f"{row['first_p99_direct_ms']:.1f} -> "
            f"{row['first_p99_through_ms']:.1f} ms; whole p50 "
            f"x{row['whole_p50_ratio']:.2f}, p99 "
            f"x{row['whole_p99_ratio']:.2f}"
        )
    for name, row in data["carried"].items():
        print(
            f"{name} a core and second: entry {row['entry_per_core_s']:.0f}, "
            f"agent {row['agent_per_core_s']:.0f}, bare relay "
            f"{row['bare_per_core_s']:.0f}; entry of bare "
            f"{row['entry_of_bare']:.2f}; through at once "
            f"{row['through_per_s']:.0f}/s, bare {row['bare_per_s']:.0f}/s"
        )
    return data


if __name__ == "__main__":
    main()
