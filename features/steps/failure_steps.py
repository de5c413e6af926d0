"""Steps that cause failures of separate processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import itertools
import random
import threading
import time

from behave import then, when

from standins import cluster, load

TOKENS = 40


def _streams(context, count, tokens, entries, fault):
    """Stream through each of some entries while a fault is caused."""
    made = context.cluster
    context.results = []
    begun = []

    def run(entry):
        result = load.stream(made, entry, tokens, on_first=begun.append)
        context.results.append(result)

    threads = [
        threading.Thread(target=run, args=(entry,))
        for entry in entries
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    # Retries of streams that have not begun are limited by the retry budget,
    # which is not under test here.
    cluster.wait_for(lambda: len(begun) == len(threads), "streams to begin")
    fault()
    for thread in threads:
        thread.join(60)


@when("{count:d} callers stream {tokens:d} tokens while an agent is killed")
def _(context, count, tokens):
    made = context.cluster
    victim = made.processes[made.engines[0][0]]
    _streams(context, count, tokens, [made.entries[0][0]], victim.kill)


@when(
    "{count:d} callers stream {tokens:d} tokens through an entry that is "
    "killed"
)
def _(context, count, tokens):
    made = context.cluster
    entry = made.entries[0][0]
    _streams(context, count, tokens, [entry], made.processes[entry].kill)


@then("every stream is complete and its caller's own")
def _(context):
    counts = load.outcomes(context.results)
    assert set(counts) == {"ran"}, counts
    assert all(row.right for row in context.results)


@then("every stream of that entry is broken or complete, and none is wrong")
def _(context):
    counts = load.outcomes(context.results)
    assert counts.get("broken", 0) > 0, counts
    assert set(counts) <= {"ran", "broken"}, counts
    assert all(row.right for row in context.results)


@when("{count:d} callers ask at once through both halls")
def _(context, count):
    made = context.cluster
    entries = itertools.cycle(name for name, _ in made.entries)
    context.results = []

    def run(entry):
        context.results.append(load.stream(made, entry, 12))

    threads = [
        threading.Thread(target=run, args=(next(entries),))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(90)


@then("every answer that ran is complete and its caller's own")
def _(context):
    counts = load.outcomes(context.results)
    assert counts.get("ran", 0) > len(context.results) * 0.9, counts
    assert set(counts) <= {"ran", "not-run"}, counts
    assert all(row.right for row in context.results)


@when(
    "callers send for {seconds:d} s while agents and services are killed "
    "and cut"
)
def _(context, seconds):
    made = context.cluster
    entries = [name for name, _ in made.entries]
    calls = [
        lambda entry=entry: load.send(made, entry)
        for entry in entries
        for _ in range(6)
    ]
    with load.Load(calls) as running:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            _cause_faults(made, entries)
    context.results = running.told
    context.ledger = _sent(made)


def _sent(made):
    """Return the runs of requests that must not be repeated."""
    return [run for run in made.ledger() if run["path"] == "/send"]


def _cause_faults(made, entries):
    """Kill an agent, partition an entry and freeze a service, in turn."""
    agent = made.processes[made.services[0][0]]
    agent.kill()
    time.sleep(0.4)
    agent.start()
    service = made.services[1][0]
    made.cut(entries[0], [service])
    time.sleep(0.5)
    made.cut(entries[0], [])
    url = f"{made.upstream_http[service]}/ledger"
    process = made.processes[f"service-{service}"]
    process.freeze()
    time.sleep(0.3)
    process.thaw()
    made.client.get(url)
    time.sleep(0.5)


@then("nothing that a caller was told not-run is in the ledger")
def _(context):
    ran = {run["body"] for run in context.ledger}
    wrong = [
        row
        for row in context.results
        if row.outcome == "not-run" and row.id in ran
    ]
    counts = load.outcomes(context.results)
    assert counts.get("ran", 0) > 20, counts
    assert counts.get("not-run", 0) > 0, counts
    assert not wrong, wrong[:3]


@then("nothing sent once is in the ledger twice")
def _(context):
    counts = collections.Counter(run["body"] for run in context.ledger)
    twice = [body for body, count in counts.items() if count > 1]
    assert not twice, twice[:3]
    assert all(row.right for row in context.results)


@then("every refusal came at once with Retry-After")
def _(context):
    refused = [row for row in context.results if row.status in (429, 502, 503)]
    assert refused
    assert all(row.retry_after for row in refused)
    soon = [row.seconds for row in refused if row.outcome == "not-run"]
    assert sorted(soon)[len(soon) // 2] < 5.0, soon


@when(
    "callers repeat keys through all entries for {seconds:d} s while owners "
    "change"
)
def _(context, seconds):
    made = context.cluster
    entries = [name for name, _ in made.entries]
    source = random.Random(3)
    recent = collections.deque(maxlen=12)

    def call():
        if not recent or source.random() < 0.4:
            recent.append(load.uuid7())
        key = source.choice(list(recent))
        return load.send(made, source.choice(entries), key=key, body=key)

    _wait_out_skew()
    with load.Load([call] * 8) as running:
        end = time.monotonic() + seconds
        member = made.services[-1]
        while time.monotonic() < end:
            made.change([{"kind": "leave", "upstream": member[0]}])
            time.sleep(1.0)
            made.change([made.upstream_change(member[0], "codes", member[1])])
            time.sleep(2.0)
            agent = made.processes[made.services[0][0]]
            agent.kill()
            agent.start()
            time.sleep(1.0)
    context.results = running.told
    context.ledger = _sent(made)


@then("many keys have run")
def _(context):
    sent = {row.id for row in context.results}
    ran = {run["body"] for run in context.ledger}
    assert len(ran) > len(sent) * 0.2, (len(ran), len(sent))


def _wait_out_skew():
    """Wait until new keys are younger than agents by the clock skew."""
    time.sleep(2.5)


def _owner_of(made, key):
    runs = [run["by"] for run in made.ledger() if run["body"] == key]
    assert len(runs) == 1, runs
    return runs[0]


def _send_key(made, entry, key):
    return load.send(made, entry, key=key, body=key)


@when("a key has run and its owner restarts")
def _(context):
    made = context.cluster
    _wait_out_skew()
    context.key = load.uuid7()
    entry = made.entries[0][0]
    assert _send_key(made, entry, context.key).outcome == "ran"
    context.owner = _owner_of(made, context.key)
    made.processes[context.owner].kill()
    made.processes[context.owner].start()
    cluster.wait_for(lambda: made.ready(context.owner), context.owner)


@then(
    'the same key is answered with the outcome "{outcome}" and not run again'
)
def _(context, outcome):
    made = context.cluster
    result = cluster.wait_for(
        lambda: _not_refused(made, context.key), "an answer from the owner"
    )
    assert result.outcome == outcome, result
    _owner_of(made, context.key)


def _not_refused(made, key):
    result = _send_key(made, made.entries[-1][0], key)
    return result if result.outcome != "not-run" else None


@then("a new key for that owner runs")
def _(context):
    made = context.cluster
    _wait_out_skew()

    def ran_there():
        key = load.uuid7()
        result = _send_key(made, made.entries[0][0], key)
        return (
            result.outcome == "ran" and _owner_of(made, key) == context.owner
        )

    cluster.wait_for(ran_there, "a key to run at the restarted owner")


@when("the log is down and a key is sent through each entry")
def _(context):
    made = context.cluster
    _wait_out_skew()
    made.platform(down=True)
    time.sleep(1.0)
    context.key = load.uuid7()
    context.results = [
        _send_key(made, entry, context.key) for entry, _ in made.entries
    ]
    made.platform(down=False)


@then("the key ran once and every answer is the same")
def _(context):
    _owner_of(context.cluster, context.key)
    assert {row.outcome for row in context.results} == {"ran"}, context.results
    assert all(row.right for row in context.results)


@when("an upstream leaves under load, {how}")
def _(context, how):
    made = context.cluster
    context.leaver = made.services[0][0]
    entries = [name for name, _ in made.entries]
    calls = [
        lambda entry=entry: load.send(made, entry, path="/free")
        for entry in entries
        for _ in range(3)
    ]
    cut = entries[0]
    with load.Load(calls) as running:
        time.sleep(1.0)
        if "cut from the log" in how:
            made.cut(cut, [], platform=True)
        if "frozen" in how:
            made.processes[cut].freeze()
        if "list" in how:
            made.set_boxes(leaving=(context.leaver,))
        else:
            change = {"kind": "leave", "upstream": context.leaver}
            made.change([change], entry=entries[-1])
        context.left_at = time.monotonic()
        time.sleep(1.5)
        if "frozen" in how:
            made.processes[cut].thaw()
        time.sleep(3.0)
    context.results = running.told


@then("no new work reaches it after {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    runs = {run["body"]: run["by"] for run in made.ledger()}
    times = [
        row.at - context.left_at
        for row in context.results
        if runs.get(row.id) == context.leaver
    ]
    assert times and min(times) < 0, "it had work before it left"
    print(f"last new work {max(times):.3f} s after the leave")
    assert max(times) < seconds, max(times)
    after = [
        row
        for row in context.results
        if row.at > context.left_at + seconds and row.outcome == "ran"
    ]
    assert after, "the others went on serving"


@when("an entry and an agent are stopped at once under long streams")
def _(context):
    made = context.cluster
    first, second = made.entries[0][0], made.entries[1][0]
    agent = made.engines[0][0]
    context.statuses = []

    def stop(name):
        context.statuses.append(made.processes[name].stop(60))

    def fault():
        threads = [
            threading.Thread(target=stop, args=(name,))
            for name in (first, agent)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    _streams(context, 10, 500, [first, second], fault)


@then("both exit with status 0")
def _(context):
    assert context.statuses == [0, 0], context.statuses
