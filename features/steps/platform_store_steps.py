"""Steps on an entry and the platform's store."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import time

from behave import given, then, when
from reelscale_core import clock, error
from reelscale_platform import store as stores
from twisted.internet import defer, reactor, task

from features import platform_clients as clients
from standins import fleet, process
from standins import store as standin


def _status(context, path="/push/x", key=fleet.KEY):
    made = context.cluster
    answer = made.ask(path, Authorization=f"Bearer {key}")
    return answer.status_code


def _becomes(context, wanted, seconds, **what):
    process.wait_for(
        lambda: _status(context, **what) == wanted, f"{wanted}", seconds
    )


@when('the operator states a version without the route "{prefix}"')
def _(context, prefix):
    made = context.cluster
    context.before = made.config
    routes = [
        row
        for row in made.config["routes"]
        if not row["prefix"].startswith(prefix)
    ]
    made.change(routes=routes)


@then('requests to "{path}" get {status:d} within {seconds:d} s')
def _(context, path, status, seconds):
    _becomes(context, status, seconds, path=path)


@when("an older version with that route is written")
def _(context):
    context.cluster.configure(context.before)


@then('requests to "{path}" still get {status:d} after {seconds:d} s')
def _(context, path, status, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert _status(context, path=path) == status


@then('requests to "{path}" with the key "{key}" still get {status:d}')
def _(context, path, key, status):
    assert _status(context, path=path, key=key) == status


@when('the operator replaces the keys by "{key}"')
def _(context, key):
    tenants = [{"name": "acme", "api_keys": [key], "prio": 1}]
    context.cluster.change(tenants=tenants)


@then('the key "{key}" is served within {seconds:d} s')
def _(context, key, seconds):
    _becomes(context, 200, seconds, key=key)


@then('the key "{key}" is refused with {status:d}')
def _(context, key, status):
    assert _status(context, key=key) == status


@when("the store is down, {how}")
def _(context, how):
    context.cluster.control(down=how)
    # A read in progress waits at the store; the next one meets the outage.
    time.sleep(1.0)


@then("{count:d} requests are all served")
def _(context, count):
    statuses = [_status(context) for _ in range(count)]
    assert set(statuses) == {200}, statuses


@then("the entry stays ready")
def _(context):
    assert context.cluster.ready("f1")


@then("its log says once that the list cannot be read")
def _(context):
    made = context.cluster

    def said():
        rows = made.log_lines("f1")
        return [row for row in rows if "cannot be read" in row["text"]]

    process.wait_for(said, "the line")
    assert len(said()) == 1, said()


@when('the store is back and a worker "{name}" is leaving')
def _(context, name):
    context.cluster.control(down="")
    context.cluster.announce(name, state="draining")


@when('worker "{name}" is leaving')
def _(context, name):
    context.cluster.announce(name, state="draining")


@when('worker "{name}" is withdrawn')
def _(context, name):
    context.cluster.withdraw(name)


@when("the history of the store is dropped")
def _(context):
    context.cluster.control(drop=True)


@when("reads of the store are {count:d} records behind for {seconds:d} s")
def _(context, count, seconds):
    context.cluster.control(stale=count)
    time.sleep(seconds)


@when('entry "{name}" is killed and started again')
def _(context, name):
    made = context.cluster
    made.processes[name].kill()
    made.processes[name].log.write_text("")
    made.processes[name].start()


@then('entry "{name}" has the configuration of its peer within {seconds:d} s')
def _(context, name, seconds):
    made = context.cluster

    def taken():
        return any(
            row["text"] == "Adopted the state of a peer."
            for row in made.log_lines(name)
        )

    process.wait_for(taken, "a peer's state", seconds)


@then("it serves by its peer's list of workers within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    process.wait_for(lambda: made.ready("f2"), "f2 to be ready", seconds)
    answer = made.ask("/push/x", entry="f2", Authorization=_bearer(made))
    assert answer.status_code == 200, answer
    texts = [row["text"] for row in made.log_lines("f2")]
    assert "Applied the list of a peer." in texts, texts


@when('both entries are killed and "f2" is started again')
def _(context):
    made = context.cluster
    for name in ("f1", "f2"):
        made.processes[name].kill()
        made.processes[name].log.write_text("")
    made.processes["f2"].start()


@when('the store is back and entry "f1" has started on it')
def _(context):
    made = context.cluster
    # The other one is to have it from its peer alone.
    made.processes["f2"].freeze()
    made.control(down="")
    made.processes["f1"].start()
    made.wait_ready("f1")
    made.control(down="silent")
    made.processes["f2"].thaw()


@when('the worker "{name}" is leaving')
def _(context, name):
    context.cluster.announce(name, state="draining")


@then(
    'requests by entry "{entry}" to "{path}" run at "{name}" alone '
    "within {seconds:d} s"
)
def _(context, entry, path, name, seconds):
    made = context.cluster
    time.sleep(seconds)
    for _ in range(8):
        wanted = made.next_id()
        answer = made.ask(
            path,
            entry=entry,
            Request_Id=wanted,
            Authorization=_bearer(made),
        )
        assert answer.status_code == 200, answer
        runs = made.runs_of(wanted)
        assert [run["by"] for run in runs] == [name], runs


@then("it is not ready and answers 503")
def _(context):
    _check_unknowing(context, "f1")


@then('entry "{name}" is not ready and answers 503')
def _(context, name):
    _check_unknowing(context, name)


def _bearer(made):
    """Return the credentials that the newest version allows."""
    return f"Bearer {made.config['tenants'][0]['api_keys'][0]}"


def _check_unknowing(context, name):
    made = context.cluster
    process.wait_for(
        lambda: any("Serving" in r["text"] for r in made.log_lines(name)),
        "the entry to serve",
    )
    assert not made.ready(name)
    assert made.ask("/push/x", entry=name).status_code == 503


@when("the store is silent for {seconds:d} s more and then back")
def _(context, seconds):
    time.sleep(seconds)
    context.cluster.control(down="")


@given('a fleet whose entry "{name}" has a store that does not answer')
def _(context, name):
    made = fleet.Fleet(entries=2)
    context.cluster = made
    data, path = clients.settings_file(made, name)
    nobody = f"127.0.0.1:{process.free_port()}"
    path.write_text(json.dumps({**data, "platform": f"http://{nobody}"}))
    made.start(wait=("f1",))


@then('entry "{name}" has the version of its peer within {seconds:d} s')
def _(context, name, seconds):
    made = context.cluster

    def taken():
        return any(
            row.get("version") == made.config["version"]
            for row in made.log_lines(name)
        )

    process.wait_for(taken, "the version", seconds)


# The store's client by itself.


@given("a store of its own")
def _(context):
    context.cluster = fleet.Fleet(entries=0, workers=())
    made = context.cluster
    made.processes["store"].start()
    process.wait_for(lambda: made.answers(made._store), "the store")
    context.store = stores.Store(
        reactor=reactor, clock=clock.SystemClock(), address=made._store
    )


@then("an append at the wrong place is refused and adds nothing")
def _(context):
    store = context.store
    assert (
        clients.run_on_reactor(
            store.append, "t", 0, [b"one", b"two"], at=0
        ).offset
        == 0
    )
    refused = clients.run_on_reactor(store.append, "t", 0, [b"no"], at=0)
    assert isinstance(refused, error.CodedError), refused
    assert refused.code == "log-conflict", refused
    got = clients.run_on_reactor(store.read, "t", 0, 0, wait_s=0)
    assert (got.rows, got.end) == ([b"one", b"two"], 2), got


@then("an append of an older epoch is refused")
def _(context):
    store = context.store
    assert (
        clients.run_on_reactor(
            store.append, "t", 1, [b"a"], producer=("w", 5, 1)
        ).offset
        == 0
    )
    refused = clients.run_on_reactor(
        store.append, "t", 1, [b"b"], producer=("w", 4, 9)
    )
    assert getattr(refused, "code", "") == "log-conflict", refused


@then("a repeated append of a producer is taken once")
def _(context):
    store = context.store
    first = clients.run_on_reactor(
        store.append, "t", 2, [b"a"], producer=("w", 1, 1)
    )
    again = clients.run_on_reactor(
        store.append, "t", 2, [b"a"], producer=("w", 1, 1)
    )
    assert first.offset == again.offset == 0, (first, again)
    assert clients.run_on_reactor(store.read, "t", 2, 0, wait_s=0).end == 1


@then("a read waits for a record and gets it")
def _(context):
    store = context.store
    reading = defer.ensureDeferred(store.read("t", 3, 0, wait_s=10))
    clients.run_on_reactor(lambda: task.deferLater(reactor, 0.2))
    assert not reading.called
    clients.run_on_reactor(store.append, "t", 3, [b"late"])
    clients.run_on_reactor(lambda: reading)
    assert reading.called


@then("records that are gone are named by the lowest kept offset")
def _(context):
    store = context.store
    context.cluster.control(drop=True)
    gone = clients.run_on_reactor(store.read, "t", 0, 0, wait_s=0)
    assert isinstance(gone, stores.GoneError), gone
    assert gone.first == 2, gone.first


@then("the newest record of each key comes in pages")
def _(context):
    store = context.store
    count = standin.PAGE + 20
    rows = [standin.keyed(f"k{n:04}", b"v%d" % n) for n in range(count)]
    clients.run_on_reactor(store.append, "keyed.t", 0, rows)
    clients.run_on_reactor(
        store.append, "keyed.t", 0, [standin.keyed("k0001", None)]
    )
    got = clients.run_on_reactor(store.newest, "keyed.t")
    names = [row.key for _, row in got.rows]
    assert len(names) == count - 1, len(names)
    assert "k0001" not in names
    assert got.end == count + 1, got.end


@then("members of a group share the partitions out")
def _(context):
    store = context.store
    parts = []
    for name in ("one", "two", "one"):
        got = clients.run_on_reactor(
            store.join, "g", name, ["t"], ttl_s=3.0, generation=0
        )
        parts.append({row[1] for row in got.parts})
    assert parts[1] & parts[2] == set(), parts
    assert len(parts[1] | parts[2]) == 24, parts
