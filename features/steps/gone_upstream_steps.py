"""Steps that kill the agent of an upstream before streams have begun."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import threading

from behave import then, when
from reelscale_core import retry

from standins import cluster, load

TOKENS = 200


def _start(context, tokens, begun):
    """Start a thread that streams through the only entry."""
    made = context.cluster
    entry = made.entries[0][0]

    def run():
        result = load.stream(made, entry, tokens, on_first=begun.append)
        context.results.append(result)

    thread = threading.Thread(target=run)
    thread.start()
    return thread


def _running(made, name):
    """Return how many attempts run at an agent."""
    text = made.client.get(f"{made.http[name]}/metrics").text
    for line in text.splitlines():
        if line.startswith("reelscale_running "):
            return int(float(line.split()[-1]))
    raise AssertionError("the agent has no such gauge")


def _fill_budget(made):
    """Send enough requests to fill the retry budget of the entry."""
    for _ in range(round(retry.INITIAL / retry.RATIO)):
        made.complete(made.entries[0][0], tokens=1).raise_for_status()


@when(
    "a caller streams {tokens:d} tokens and another asks as the free agent "
    "dies"
)
def _(context, tokens):
    made = context.cluster
    context.results = []
    begun = []
    threads = [_start(context, tokens, begun)]
    cluster.wait_for(lambda: begun, "the stream to begin")
    (free,) = [name for name, _ in made.engines if not _running(made, name)]
    made.processes[free].kill()
    threads.append(_start(context, tokens, begun))
    for thread in threads:
        thread.join(60)


@when("{count:d} callers ask a frozen engine and its agent is killed")
def _(context, count):
    made = context.cluster
    names = [name for name, _ in made.engines]
    _fill_budget(made)
    context.results = []
    # The engines run in lockstep, so none produces a token now.
    made.processes[f"engine-{names[0]}"].freeze()
    threads = [_start(context, TOKENS, []) for _ in range(count)]
    cluster.wait_for(
        lambda: sum(_running(made, name) for name in names) == count,
        "all streams to be sent",
    )
    context.lost = _running(made, names[0])
    made.processes[names[0]].kill()
    made.processes[f"engine-{names[0]}"].thaw()
    for thread in threads:
        thread.join(60)


@then("as many as the retry budget allows continue elsewhere")
def _(context):
    counts = load.outcomes(context.results)
    assert context.lost > retry.INITIAL, context.lost
    expected = len(context.results) - context.lost + int(retry.INITIAL)
    assert counts.get("ran", 0) == expected, (context.lost, counts)
    assert all(row.right for row in context.results)


@then("the others get the outcome unknown, with Retry-After")
def _(context):
    counts = load.outcomes(context.results)
    unretried = context.lost - int(retry.INITIAL)
    assert counts.get("unknown", 0) == unretried, (context.lost, counts)
    unknown = [row for row in context.results if row.outcome == "unknown"]
    assert all(row.status == 502 for row in unknown), unknown
    assert all(row.retry_after for row in unknown), unknown
