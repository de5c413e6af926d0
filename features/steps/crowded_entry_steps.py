"""Steps on an entry that gets nearly all new connections."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import itertools
import time
from typing import NamedTuple

import httpx
from behave import given, then, when

from standins import fleet

PER_S = 30.0
SECONDS = 4.0
CROWDED_SECONDS = 7.0
SETTLED_S = 3.0
THREADS = 64
PATHS = ("/chat/x", "/read/x")


class Sent(NamedTuple):
    """A request on a connection of its own.

    Attributes:
      after_s: Seconds from the start of its phase.
      served: Whether it was answered with 200.
    """

    after_s: float
    served: bool


@given(
    "a fleet of {workers:d} workers and {count:d} entries with "
    "{descriptors:d} descriptors each"
)
def _(context, workers, count, descriptors):
    services = itertools.cycle((("llm", "b"), ("push", "b")))
    context.cluster = fleet.Fleet(
        workers=tuple(itertools.islice(services, workers)),
        entries=count,
        descriptors=descriptors,
    ).__enter__()


def _send(made, entry, path, began):
    after_s = time.monotonic() - began
    method = "POST" if path.startswith("/chat") else "GET"
    try:
        answer = made.ask(path, method=method, entry=entry, Connection="close")
    except httpx.HTTPError:
        return Sent(after_s, False)
    return Sent(after_s, answer.is_success)


def _phase(made, entries, *, per_s, seconds):
    """Send at a steady rate, each request on a connection of its own."""
    began = time.monotonic()
    turns, paths = itertools.cycle(entries), itertools.cycle(PATHS)
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        tasks = []
        for number in range(int(per_s * seconds)):
            due = began + number / per_s
            time.sleep(max(0.0, due - time.monotonic()))
            entry, path = next(turns), next(paths)
            tasks.append(pool.submit(_send, made, entry, path, began))
    return [task.result() for task in tasks]


def _share(rows):
    assert rows
    return sum(row.served for row in rows) / len(rows)


@when("callers connect to all entries in turn for each request")
def _(context):
    made = context.cluster
    rows = _phase(made, list(made.http), per_s=PER_S, seconds=SECONDS)
    context.before = _share(rows)
    assert context.before > 0.9, context.before


def _crowd(context, entry):
    context.rows = _phase(
        context.cluster, [entry], per_s=2 * PER_S, seconds=CROWDED_SECONDS
    )


@when('they connect to "{entry}" alone, twice as often')
def _(context, entry):
    _crowd(context, entry)


@when('"{stopped}" is stopped and they connect to "{entry}" alone')
def _(context, stopped, entry):
    context.cluster.processes[stopped].kill()
    _crowd(context, entry)


@then("from 3 s on it serves at least three quarters as often as before")
def _(context):
    settled = [row for row in context.rows if row.after_s >= SETTLED_S]
    share = _share(settled)
    assert share >= 0.75 * context.before, (share, context.before)
