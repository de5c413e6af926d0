"""Steps on an entry whose store comes back from an older copy."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, step, then, when
from reelscale_core import error
from reelscale_platform import lease

from features import platform_clients as clients
from standins import fleet, process, soak_restore

# Age of a copy, in seconds, that is from before everything in a scenario.
EMPTY_S = 3600.0
SOAK_SEED = 7
# Copies are told apart from what follows by its time, in seconds.
COPY_GAP_S = 0.1


@given("a fleet whose store names no era")
def _(context):
    context.cluster = fleet.Fleet().__enter__()
    context.cluster.control(era=None)


@step("the operator states {count:d} more versions")
def _(context, count):
    made = context.cluster
    for _ in range(count):
        made.change()
    _wait_in_force(made, "f1", made.config["version"])


@when("the store is copied")
def _(context):
    context.copied_at = time.monotonic()
    # What is written from now on is not in the copy.
    time.sleep(COPY_GAP_S)


@step("the store comes back from that copy")
def _(context):
    _restore_copy(context)


@step("the store comes back {times:d} times from that copy")
def _(context, times):
    for _ in range(times):
        _restore_copy(context)


@step("the store is restored from that copy without being away")
def _(context):
    _restore_copy(context, keeps_reads=True)


@step("the store comes back empty and is written again after {rewrite_s:f} s")
def _(context, rewrite_s):
    _restore(context, behind_s=EMPTY_S, rewrite_s=rewrite_s)


@then("its log says that the store lacks the records asked for")
def _(context):
    _wait_for_line(context.cluster, "The store does not have the records")


@then("its log says once that the log ends below the offset reached")
def _(context):
    _check_said_once(context.cluster, "The log ends below the offset reached")


@then("its log says once from which offset the log went back")
def _(context):
    row = _check_said_once(context.cluster, "The log was restored from a copy")
    # The fleet's first version and four more were read before.
    assert (row["incarnation_before"], row["offset_before"]) == (1, 4), row
    assert (row["incarnation"], row["offset"]) == (2, 0), row
    assert row["version"] == context.cluster.config["version"], row


@then("its log has no error")
def _(context):
    rows = context.cluster.log_lines("f1")
    errors = [row for row in rows if row["level"] == "ERROR"]
    assert errors == [], errors


@then('the key "{key}" and no other is served for {seconds:f} s')
def _(context, key, seconds):
    made = context.cluster
    context.reads_before = _reads(made)
    context.reads_since = time.monotonic()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert _status(made, "f1", key) == 200
        assert _status(made, "f1", fleet.KEY) == 401
        time.sleep(0.05)


@then("the entry has sent the store no more than {most:d} reads a second")
def _(context, most):
    count = _reads(context.cluster) - context.reads_before
    rate = count / (time.monotonic() - context.reads_since)
    assert rate <= most, rate


@then('the started entry "{name}" serves "{key}" within {seconds:d} s')
def _(context, name, key, seconds):
    made = context.cluster
    process.wait_for(
        lambda: made.ready(name) and _status(made, name, key) == 200,
        f"{key} to be served",
        seconds,
    )


@when("the workers announce themselves {count:d} more times")
def _(context, count):
    _announce(context.cluster, context.cluster.workers, count)


@when('the workers but "{name}" announce themselves {count:d} more times')
def _(context, name, count):
    others = [n for n in context.cluster.workers if n != name]
    _announce(context.cluster, others, count)


@when('entry "{name}" is suspended')
def _(context, name):
    # It reads what was announced first.
    time.sleep(0.5)
    context.cluster.processes[name].freeze()


@when('entry "{name}" is resumed')
def _(context, name):
    context.cluster.processes[name].thaw()


@then('requests to "{path}" run at "{name}" alone for {seconds:f} s')
def _(context, path, name, seconds):
    made = context.cluster
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        wanted = made.next_id()
        assert made.ask(path, Request_Id=wanted).status_code == 200
        runs = made.runs_of(wanted)
        assert [run["by"] for run in runs] == [name], runs
        time.sleep(0.05)


@when("two holders of a lease draw {count:d} fences each")
def _(context, count):
    context.leases = [_lease(context, name) for name in ("one", "two")]
    context.fences = [
        clients.run_on_reactor(held.draw_fence)
        for _ in range(count)
        for held in context.leases
    ]


@then("the next fence of each holder is above all before")
def _(context):
    for held in context.leases:
        fence = clients.run_on_reactor(held.draw_fence)
        assert fence > max(context.fences), (fence, context.fences)
        context.fences.append(fence)


@when("other holders have drawn {count:d} fences for the group")
def _(context, count):
    made = context.cluster
    for _ in range(count):
        made.write("layout.moe", b"another holder")
    before = _fences(made)
    made.processes[context.holder_name].kill()
    process.wait_for(lambda: _fences(made) - before, "a higher fence", 20)
    made.processes[context.holder_name].start()
    process.wait_for(lambda: len(made.holders()) == 1, "one holder", 20)
    (context.holder_name,) = made.holders()


@when("the holder is killed and demand shifts to other experts")
def _(context):
    made = context.cluster
    made.processes[context.holder_name].kill()
    made.group(hot=[5, 6])
    made.processes[context.holder_name].start()


@when("a seeded soak of restores runs for {seconds:d} s")
def _(context, seconds):
    context.broken = soak_restore.run(SOAK_SEED, seconds)


@then("it has kept all rules")
def _(context):
    assert context.broken == [], context.broken


@when('the store names the era "{first}" and then the era "{second}"')
def _(context, first, second):
    made = context.cluster
    made.control(era=first)
    first = clients.run_on_reactor(context.store.append, "t", 0, [b"a"])
    assert first.offset == 0, first
    made.control(era=None if second == "none" else second)


@when('the store names the era "{era}"')
def _(context, era):
    context.cluster.control(era=era)


@then("neither a read nor an append nor a join takes its answer")
def _(context):
    store = context.store
    for got in (
        clients.run_on_reactor(store.read, "t", 0, 0, wait_s=0),
        clients.run_on_reactor(store.append, "t", 0, [b"b"]),
        clients.run_on_reactor(
            store.join, "g", "one", ["t"], ttl_s=3.0, generation=0
        ),
    ):
        assert isinstance(got, error.CodedError), got
        assert got.outcome == error.OUTCOME_UNKNOWN, got


@then("its answers are taken, with era {era:d}")
def _(context, era):
    store = context.store
    got = clients.run_on_reactor(store.read, "t", 0, 0, wait_s=0)
    assert (got.rows[0], got.incarnation) == (b"a", era), got
    newest = clients.run_on_reactor(store.newest, "keyed.t")
    assert newest.incarnation == era, newest


def _restore_copy(context, **how):
    behind_s = time.monotonic() - context.copied_at
    _restore(context, behind_s=behind_s, **how)


def _restore(context, **how):
    context.cluster.control(restore=how)


def _announce(made, names, count):
    for _ in range(count):
        for name in names:
            made.announce(name)


def _status(made, entry, key):
    answer = made.ask("/push/x", entry=entry, Authorization=f"Bearer {key}")
    return answer.status_code


def _reads(made):
    """Return how many reads the store has got."""
    calls = made.control()["calls"]
    return calls.get("log-read", 0) + calls.get("log-newest", 0)


def _lease(context, member):
    return lease.Lease(
        store=context.store,
        topic="layout.t",
        matter="layout.t.g",
        member=member,
        ttl_s=3.0,
    )


def _fences(made):
    """Return the fences under which agents have fenced earlier holders."""
    rows = [row for name in made.agents for row in made.log_lines(name)]
    text = "All ranks refuse earlier holders."
    return {row["fence"] for row in rows if row["text"] == text}


def _lines(made, name, start):
    """Return the lines of an entry's log whose text begins so."""
    rows = made.log_lines(name)
    return [row for row in rows if row["text"].startswith(start)]


def _check_said_once(made, start):
    """Check that one line of the entry's log begins so, and return it."""
    _wait_for_line(made, start)
    time.sleep(1.0)
    (row,) = _lines(made, "f1", start)
    return row


def _wait_for_line(made, start, name="f1", seconds=5):
    process.wait_for(lambda: _lines(made, name, start), start, seconds)


def _wait_in_force(made, name, version, seconds=2):
    """Wait until an entry logs that a version is in force."""

    def in_force():
        rows = _lines(made, name, "A configuration is in force.")
        return any(row["version"] == version for row in rows)

    process.wait_for(in_force, f"version {version} at {name}", seconds)
