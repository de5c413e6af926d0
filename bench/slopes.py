"""Slopes from which docs/CAPACITY.md is worked out.

Each row varies one number over three sizes or more and fits a line; the
fit error is the largest distance of a point from the line, over the
largest value.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import gc
import random
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import numpy
from reelscale_core import (
    admission,
    change,
    fold,
    gate,
    model,
    once,
    record,
    routing,
    snapshot,
)
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from thrift.transport import TTransport

from standins import cluster

from . import caller, path

FRAME_BYTES = 4
# TCP and IP headers of a small message, and half of those of the one bare
# acknowledgement of an exchange.
PACKET_BYTES = 52 + 26
WATCH_S = 4.5


class Slope(NamedTuple):
    """A fitted line.

    Attributes:
      name: What was measured.
      unit: Unit of the slope.
      base: Value at zero.
      slope: Value for each one more.
      error: Largest distance from the line over the largest value.
      points: (size, value) pairs.
    """

    name: str
    unit: str
    base: float
    slope: float
    error: float
    points: tuple[tuple[float, float], ...]


def fit(
    name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Slope:
    """Measure at each size and fit a line."""
    points = tuple((float(size), float(measure(size))) for size in sizes)
    xs, ys = zip(*points, strict=True)
    slope, base = numpy.polyfit(xs, ys, 1)
    worst = max(abs(base + slope * x - y) for x, y in points)
    error = worst / max(abs(y) for y in ys)
    row = Slope(name, unit, float(base), float(slope), float(error), points)
    print(
        f"{row.name:<44} {row.slope:.4g} {row.unit} "
        f"(base {row.base:.4g}, fit error {row.error:.1%})"
    )
    return row


def wire_bytes(message: Any) -> int:
    """Return the bytes of a message on the wire, headers included."""
    buffer = TTransport.TMemoryBuffer()
    message.write(link.CODEC().getProtocol(buffer))
    call = 24
    return len(buffer.getvalue()) + call + FRAME_BYTES + PACKET_BYTES


def heartbeat_bytes() -> dict[str, int]:
    """Return the bytes of a heartbeat and of its answer."""
    beat = ttypes.Heartbeat(
        name="entry-100",
        incarnation="0123456789ab",
        hall="hall-10",
        offset=10_000_000,
        wanted={"upstream-900": 12},
        log_age_ms=1200,
        peer="10.100.100.100:9000",
    )
    pulse = ttypes.Pulse(
        name="upstream-900",
        incarnation="0123456789ab",
        hall="hall-10",
        offset=10_000_000,
        grant=ttypes.Grant(upstream="upstream-900", slots=4, lapse_ms=2000),
        running=30,
        queued=10,
        capacity=64,
        leaving=False,
        layout=300,
        step_ms=6.0,
        model_version="v300",
        healthy=True,
        heat=[],
        log_age_ms=1200,
        peer="10.100.100.100:9000",
    )
    sizes = {"heartbeat": wire_bytes(beat), "answer": wire_bytes(pulse)}
    # Heat is sent for one layer of 128 experts by agents of a group.
    pulse.heat = [100_000] * 128
    sizes["answer with heat"] = wire_bytes(pulse)
    print(f"bytes on the wire: {sizes}")
    return sizes


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
                "key": cluster.WORKSPACE_KEYS["acme"],
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


def _state(workspaces: int) -> states.State:
    """Fold a state with so many workspaces."""
    changes = tuple(
        change.PutWorkspace(
            workspace=model.Workspace(
                name=f"workspace-{number}",
                key_digest=model.digest_of_key(str(number)),
                targets=tuple(f"model-{n}" for n in range(5)),
            )
        )
        for number in range(workspaces)
    )
    plan = record.PlanRecord(id="p", base=-1, changes=changes)
    rows = [(0, record.to_json(plan))]
    rows.append((1, record.to_json(record.ConfirmRecord(plan="p"))))
    return fold.fold(states.State(), rows)


def memory_mb(make: Callable[[], Any]) -> float:
    """Return the memory that a thing keeps, in MB."""
    gc.collect()
    tracemalloc.start()
    thing = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del thing
    return size / 1e6


def seconds(run: Callable[[], Any], times: int = 3) -> float:
    """Return the least time that a call took."""
    best = float("inf")
    for _ in range(times):
        start = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - start)
    return best


def state_rows() -> list[Slope]:
    """Measure what a workspace costs."""
    sizes = (2000, 8000, 26000)
    made = {size: _state(size) for size in sizes}
    texts = {size: states.dump(made[size]) for size in sizes}
    change_row = [
        (2, record.to_json(_one_change(7))),
        (3, record.to_json(record.ConfirmRecord(plan="one"))),
    ]
    return [
        fit(
            "memory of a workspace",
            "MB each",
            sizes,
            lambda n: memory_mb(lambda: _state(n)),
        ),
        fit(
            "snapshot of a workspace",
            "bytes each",
            sizes,
            lambda n: len(texts[n]),
        ),
        fit(
            "time to dump a state, by workspace",
            "s each",
            sizes,
            lambda n: seconds(lambda: snapshot.cut(made[n])),
        ),
        fit(
            "time to load a state, by workspace",
            "s each",
            sizes,
            lambda n: seconds(lambda: states.load(texts[n])),
        ),
        fit(
            "time to fold one change, by workspace",
            "s each",
            sizes,
            lambda n: seconds(lambda: fold.fold(made[n], change_row)),
        ),
    ]


def _one_change(number: int) -> record.PlanRecord:
    put = model.Workspace(name=f"workspace-{number}", key_digest="0" * 64)
    item = change.PutWorkspace(workspace=put)
    return record.PlanRecord(id="one", base=1, changes=(item,))


def _keys(count: int) -> once.Table:
    table = once.Table(name="u", since=0.0)
    rows = (states.Membership(1, ("u",)),)
    for number in range(count):
        value = (10_000_000 << 80) | (7 << 76) | (2 << 62) | number
        key = f"workspace-1/{value:032x}"
        table.start(
            key, f"e1-0123456789ab-{number}", memberships=rows, wall=10_000
        )
    return table


def _tombstones(count: int) -> gate.Gate:
    made = gate.Gate(capacity=1)
    for number in range(count):
        made.cancel(f"e1-0123456789ab-{number}", 1.0)
    return made


def _queue_s(active: int) -> float:
    """Return the time of one offer and take with so many workspaces."""
    queue = admission.Queue(limit=active + 1)
    source = random.Random(1)
    for number in range(active):
        _offer(queue, number, f"w{number}")
    rounds = 3000
    start = time.perf_counter()
    for number in range(rounds):
        _offer(queue, number, f"w{source.randrange(active)}")
        queue.take(queue.head(), 1.0)
    return (time.perf_counter() - start) / rounds


def _offer(queue: admission.Queue, number: int, workspace: str) -> None:
    queue.offer(
        id=str(number),
        workspace=workspace,
        weight=1.0,
        priority=2,
        deadline=1e9,
        now=0.0,
        item=None,
    )


def _choose_s(count: int) -> float:
    """Return the time of one choice among so many upstreams."""
    rows = [
        routing.Candidate(
            f"u{n}", "a", 4, 100.0, n % 4, 0, n % 9, 0, 64, 6.0, 0.0
        )
        for n in range(count)
    ]
    wish = routing.Wish(hall="a", session="s", prefix="p")
    return (
        seconds(lambda: [routing.choose(rows, wish, 1.0) for _ in range(50)])
        / 50
    )


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


def main() -> dict[str, Any]:
    """Measure all slopes."""
    rows = [
        *state_rows(),
        fit(
            "memory of a key",
            "MB each",
            (5000, 20000, 60000),
            lambda n: memory_mb(lambda: _keys(n)),
        ),
        fit(
            "memory of a tombstone",
            "MB each",
            (5000, 20000, 60000),
            lambda n: memory_mb(lambda: _tombstones(n)),
        ),
        fit(
            "time of an admission, by active workspace",
            "s each",
            (100, 1000, 26000),
            _queue_s,
        ),
        fit(
            "time of a choice, by upstream",
            "s each",
            (10, 40, 100),
            _choose_s,
        ),
        fit(
            "processor share of an entry, by agent in touch",
            "each",
            (10, 40, 120),
            entry_cpu,
        ),
        *stream_rows(),
    ]
    return {
        "bytes": heartbeat_bytes(),
        "slopes": {row.name: row._asdict() for row in rows},
    }


if __name__ == "__main__":
    main()
    sys.exit(0)
