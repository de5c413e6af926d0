"""Slopes measured on running processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import threading
import time
from collections.abc import Callable
from typing import Any

from standins import callers, cluster

from . import caller, path
from .line import Slope, fit

WATCH_S = 4.5


def entry_cpu(agents: int) -> float:
    """Return an entry's processor share with so many agents, all warm."""
    return _watch_entry(agents)[0]


def _watch_entry(agents: int) -> tuple[float, float]:
    made = cluster.Cluster(
        halls=("a",),
        engines=0,
        services=0,
        settings={"subset": 1000, "heartbeat_s": 1.0},
    )
    addresses = {
        f"q{number}": f"127.0.0.1:{cluster.free_port()}"
        for number in range(agents)
    }
    made._stand_in("peers", "peers", {"agents": addresses})
    with made:
        entry = made.entries[0][0]
        changes: list[dict[str, Any]] = [
            {"kind": "put-service", "name": "quiet"},
            {
                "kind": "put-workspace",
                "name": "acme",
                "key": callers.WORKSPACE_KEYS["acme"],
                "targets": ["quiet"],
            },
        ]
        changes += [
            {
                "kind": "put-upstream",
                "name": name,
                "target": "quiet",
                "hall": "a",
                "agent": address,
            }
            for name, address in addresses.items()
        ]
        made.change(changes)
        pid = made.processes[entry].popen.pid
        # Requests that the quiet agents refuse keep their grants warm.
        _ask_quiet(made, entry)
        time.sleep(1.0)
        _ask_quiet(made, entry)
        before = path.cpu_s(pid)
        time.sleep(WATCH_S)
        return (path.cpu_s(pid) - before) / WATCH_S, path.rss_mb(pid)


def _ask_quiet(made: cluster.Cluster, entry: str) -> None:
    url = f"{made.http[entry]}/services/quiet/x"
    headers = {**made.headers(), "x-request-timeout": "0.2"}
    made.client.get(url, headers=headers)


def stream_rows() -> list[Slope]:
    """Measure what an open stream and an event cost."""
    sizes = (50, 150, 300)
    found: dict[int, dict[str, float]] = {}
    with cluster.Cluster(
        halls=("a",), services=0, slots=1024, blast=True
    ) as made:
        entry, agent = made.entries[0][0], made.engines[0][0]
        pids = {
            "entry": made.processes[entry].popen.pid,
            "agent": made.processes[agent].popen.pid,
        }
        address = made.http[entry].removeprefix("http://")
        for size in sizes:
            found[size] = _paced(address, made.headers(), pids, size)
    rows = []
    for name in pids:
        rows.append(
            fit(
                f"processor share of {name}, by event a second",
                "s each",
                [int(found[size]["events"]) for size in sizes],
                _lookup(found, f"{name}_cpu"),
            )
        )
        rows.append(
            fit(
                f"memory of {name}, by open stream",
                "MB each",
                sizes,
                lambda n, name=name: found[n][f"{name}_mb"],
            )
        )
    return rows


def _lookup(
    found: dict[int, dict[str, float]], field: str
) -> Callable[[int], float]:
    by_events = {int(row["events"]): row[field] for row in found.values()}
    return lambda events: by_events[events]


def _paced(
    address: str, head: dict[str, str], pids: dict[str, int], size: int
) -> dict[str, float]:
    """Run so many streams of 40 events a second; watch the processes."""
    tokens = 320
    done: list[Any] = []
    options = {"streams": size, "tokens": tokens, "total": size, "pace": 40}
    thread = threading.Thread(
        target=lambda: done.extend(caller.run(address, head, **options))
    )
    thread.start()
    time.sleep(2.5)
    before = {name: path.cpu_s(pid) for name, pid in pids.items()}
    start = time.monotonic()
    time.sleep(3.0)
    wall = time.monotonic() - start
    row: dict[str, float] = {"events": size * 40}
    for name, pid in pids.items():
        row[f"{name}_cpu"] = (path.cpu_s(pid) - before[name]) / wall
        row[f"{name}_mb"] = path.rss_mb(pid)
    thread.join()
    assert len(done) == size and all(item.whole for item in done)
    return row
