"""Works out docs/CAPACITY.md's figures from measured slopes.

Reads the JSON that bench.run wrote and writes the page's table.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import pathlib
import sys
from typing import Any, NamedTuple

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- table -->"
END = "<!-- end -->"
RESULTS = pathlib.Path(__file__).parent / "results.json"


class Size(NamedTuple):
    """The size to design for."""

    entries: int = 350
    agents: int = 950
    halls: int = 10
    groups: int = 30
    workspaces: int = 26_000
    requests_s: int = 5_500
    tokens_s: int = 1_600_000
    changes_day: int = 5_300
    restarts_day: int = 230


SIZE = Size()
DAY_S = 86_400
BEAT_S = 1.0
# Upstreams that an entry keeps warm: 16 requests/s over the subset of the
# targets that they ask for, within the five seconds of warmth.
WARM = 24
PEER_ENTRIES = 8
PEERS_S = 5.0
ONCE_SHARE = 0.2
KEY_S = 900
TOMBSTONE_S = 600
RECORDS_PER_CHANGE = 2
LEASES_PER_LAYOUT = 2
STREAM_S = 15.0


def slope(data: dict[str, Any], name: str) -> float:
    """Return a measured slope."""
    return data["slopes"]["slopes"][name]["slope"]


def rows(data: dict[str, Any]) -> list[tuple[str, str, str]]:
    """Return (role and matter, figure, how it is worked out)."""
    sent = data["slopes"]["bytes"]
    beat = sent["heartbeat"] + sent["answer"]
    beat_cpu = slope(data, "processor share of an entry, by agent in touch")
    warm_entries = WARM * SIZE.entries / SIZE.agents
    state_mb = SIZE.workspaces * slope(data, "memory of a workspace")
    snapshot = SIZE.workspaces * slope(data, "snapshot of a workspace")
    dump = SIZE.workspaces * slope(
        data, "longest slice of a dump, by workspace"
    )
    load = SIZE.workspaces * slope(
        data, "longest slice of a load, by workspace"
    )
    changes_s = SIZE.changes_day / DAY_S
    keys = SIZE.requests_s * ONCE_SHARE / SIZE.agents * KEY_S
    key_mb = keys * slope(data, "memory of a key")
    stones = SIZE.requests_s / SIZE.agents * TOMBSTONE_S
    stone_mb = stones * slope(data, "memory of a tombstone")
    streams = SIZE.requests_s * STREAM_S / SIZE.entries
    stream_mb = streams * slope(data, "memory of entry, by open stream")
    choose_us = 40 * slope(data, "time of a choice, by upstream") * 1e6
    appends = changes_s * RECORDS_PER_CHANGE
    appends += changes_s * LEASES_PER_LAYOUT
    entry_bytes = WARM * beat / BEAT_S + PEER_ENTRIES * 2 * beat / PEERS_S
    agent_bytes = warm_entries * beat / BEAT_S
    exchanges = WARM / BEAT_S + PEER_ENTRIES * 2 / PEERS_S
    entry_cpu = exchanges * beat_cpu
    agent_cpu = warm_entries * beat_cpu
    return [
        (
            "entry: control bytes/s",
            f"{entry_bytes / 1000:.1f} KB/s",
            f"{WARM} warm upstreams each {BEAT_S:.0f} s, {PEER_ENTRIES} "
            f"peers both ways each {PEERS_S:.0f} s, x {beat} B",
        ),
        (
            "entry: control processor",
            f"{entry_cpu:.2%} of a core",
            f"{exchanges:.1f} exchanges/s x {beat_cpu * 1e6:.0f} us",
        ),
        (
            "entry: state",
            f"{state_mb:.0f} MB",
            f"{SIZE.workspaces} workspaces",
        ),
        (
            "entry: open streams",
            f"{stream_mb:.0f} MB",
            f"{streams:.0f} streams of {STREAM_S:.0f} s (data path)",
        ),
        ("entry: one choice", f"{choose_us:.0f} us", "among 40 upstreams"),
        (
            "agent: control bytes/s",
            f"{agent_bytes / 1000:.1f} KB/s",
            f"{warm_entries:.1f} entries that keep it warm",
        ),
        (
            "agent: control processor",
            f"{agent_cpu:.2%} of a core",
            f"{warm_entries:.1f} exchanges/s, as dear as at an entry",
        ),
        (
            "agent: keys",
            f"{key_mb:.1f} MB",
            f"{keys:.0f} keys: {ONCE_SHARE:.0%} of requests, {KEY_S} s",
        ),
        (
            "agent: tombstones",
            f"{stone_mb:.1f} MB",
            f"{stones:.0f} attempts in {TOMBSTONE_S} s",
        ),
        (
            "snapshot writer: size",
            f"{snapshot / 1e6:.1f} MB",
            f"{SIZE.workspaces} workspaces",
        ),
        (
            "snapshot writer: loop held",
            f"{dump * 1000:.0f} ms",
            "the longest slice of a dump",
        ),
        (
            "new process: loop held",
            f"{load * 1000:.0f} ms",
            "the longest slice of a load",
        ),
        (
            "log: appends",
            f"{appends:.2f}/s",
            f"{SIZE.changes_day} changes a day, {RECORDS_PER_CHANGE} records, "
            f"{LEASES_PER_LAYOUT} claims if each were a layout",
        ),
        (
            "log: reads that wait",
            f"{SIZE.entries + SIZE.agents}",
            "each process polls, an answer in 10 s or at a record",
        ),
    ]


def table(data: dict[str, Any]) -> str:
    """Return the figures as a Markdown table."""
    lines = ["| role and matter | figure | from |", "|---|---|---|"]
    lines += [f"| {a} | {b} | {c} |" for a, b, c in rows(data)]
    return "\n".join(lines)


def main() -> int:
    """Write the table into the page; return the exit status."""
    if not RESULTS.exists():
        print("first run: make bench", file=sys.stderr)
        return 1
    made = table(json.loads(RESULTS.read_text()))
    text = PAGE.read_text()
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE.write_text(f"{before}{BEGIN}\n{made}\n{END}{after}")
    print(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
