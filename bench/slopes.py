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
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from reelscale_core import (
    admission,
    change,
    fold,
    gate,
    idempotency,
    model,
    record,
    routing,
    snapshot,
)
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from thrift.transport import TTransport

from . import live
from .line import Slope, fit

FRAME_BYTES = 4
# TCP and IP headers of a small message, and half of those of the one bare
# acknowledgement of an exchange.
PACKET_BYTES = 52 + 26


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


def _state(workspaces: int) -> states.State:
    """Fold a state with so many workspaces."""
    changes = tuple(
        change.PutWorkspace(
            workspace=model.Workspace(
                name=f"workspace-{number}",
                key_digests=(model.digest_of_key(str(number)),),
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
            lambda n: seconds(lambda: snapshot.split(made[n])),
        ),
        fit(
            "time to load a state, by workspace",
            "s each",
            sizes,
            lambda n: seconds(lambda: states.load(texts[n])),
        ),
        fit(
            "longest slice of a dump, by workspace",
            "s each",
            sizes,
            lambda n: _longest_s(states.dump_slices(made[n])),
        ),
        fit(
            "longest slice of a load, by workspace",
            "s each",
            sizes,
            lambda n: _longest_s(states.load_slices(texts[n])),
        ),
        fit(
            "time to fold one change, by workspace",
            "s each",
            sizes,
            lambda n: seconds(lambda: fold.fold(made[n], change_row)),
        ),
    ]


def _longest_s(slices: states.Slices[Any]) -> float:
    """Return the time of the longest slice, run as the daemon does."""
    longest = 0.0
    ended = False
    gc.disable()
    while not ended:
        start = time.perf_counter()
        ended = next(slices, gc) is gc
        longest = max(longest, time.perf_counter() - start)
    gc.enable()
    return longest


def _one_change(number: int) -> record.PlanRecord:
    put = model.Workspace(name=f"workspace-{number}", key_digests=("0" * 64,))
    item = change.PutWorkspace(workspace=put)
    return record.PlanRecord(id="one", base=1, changes=(item,))


def _keys(count: int) -> idempotency.Table:
    table = idempotency.Table(name="u", since=0.0)
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
    wish = routing.Requirements(hall="a", session="s", prefix="p")
    return (
        seconds(lambda: [routing.choose(rows, wish, 1.0) for _ in range(50)])
        / 50
    )


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
            live.entry_cpu,
        ),
        *live.stream_rows(),
    ]
    return {
        "bytes": heartbeat_bytes(),
        "slopes": {row.name: row._asdict() for row in rows},
    }


if __name__ == "__main__":
    main()
    sys.exit(0)
