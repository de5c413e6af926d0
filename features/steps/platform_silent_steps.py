"""Steps on connections that go silent while new ones work."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import http.client
import json
import threading
import time

from behave import given, then, when
from reelscale_core import clock, rank
from reelscale_daemon import rank_wire
from reelscale_daemon.exchange import silence
from reelscale_platform import store as stores
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, reactor, task
from zope.interface import implementer

from features import platform_clients as clients
from standins import fleet, process, ranked, silent

LINK_TIMEOUT_S = 0.25
# What the runs of steps add to a time-out on a busy machine, in seconds.
SLACK_S = 0.3
TOPIC = "silent"


def _relay(context, to):
    """Return a relay that is closed with the scenario."""
    made = silent.Relay(to=to)
    context.add_cleanup(made.close)
    return made


def _set(made, name, **fields):
    """Change settings of an entry that has not started."""
    data, path = clients.settings_file(made, name)
    path.write_text(json.dumps({**data, **fields}))


# The store.


def _fleet_with_relay(context, entries):
    made = context.cluster = fleet.Fleet(entries=entries)
    context.relay = _relay(context, made._store)
    name = f"f{entries}"
    _set(made, name, platform=f"http://{context.relay.address}")
    made.__enter__()


@given("a fleet that reaches its store through a relay")
def _(context):
    _fleet_with_relay(context, 1)


@given(
    'a fleet of {count:d} entries whose "{name}" reaches its store'
    " through a relay"
)
def _(context, count, name):
    _fleet_with_relay(context, count)
    made = context.cluster
    for entry in made.http:
        process.wait_for(
            lambda entry=entry: _count(made, entry, "An entry is known.") > 1,
            f"{entry} to know the others",
        )


def _count(made, entry, text):
    return sum(row["text"] == text for row in made.log_lines(entry))


@when("the open connections {whose} go silent, {way}")
def _(context, whose, way):
    assert context.relay.go_silent(way) > 0, "nothing is open"


@then('entry "{name}" serves the key "{key}" within {seconds:d} s')
def _(context, name, key, seconds):
    made = context.cluster

    def served():
        answer = made.ask("/push/x", entry=name, Authorization=f"Bearer {key}")
        return answer.status_code == 200

    process.wait_for(served, f"{name} to serve {key}", seconds)


@given("a store of its own behind a relay, with {count:d} idle connections")
def _(context, count):
    made = context.cluster = fleet.Fleet(entries=0, workers=())
    made.processes["store"].start()
    process.wait_for(lambda: made.answers(made._store), "the store")
    context.relay = _relay(context, made._store)
    context.store = stores.Store(
        reactor=reactor,
        clock=clock.SystemClock(),
        address=context.relay.address,
    )

    async def use_all():
        appends = [
            defer.ensureDeferred(context.store.append(TOPIC, 0, [b"first"]))
            for _ in range(count)
        ]
        return await defer.gatherResults(appends)

    got = clients.run_on_reactor(use_all)
    assert sorted(got) == list(range(count)), got
    assert context.relay.open == count, context.relay.open


def _append(context, record):
    """Append a record; return the outcome and the seconds it took."""
    start = time.monotonic()
    got = clients.run_on_reactor(context.store.append, TOPIC, 0, [record])
    return got, time.monotonic() - start


@then("an append has no answer after {seconds:d} s at most")
def _(context, seconds):
    got, taken_s = _append(context, b"second")
    assert getattr(got, "code", "") == "log-down", got
    assert taken_s < seconds, taken_s


@then("the next append is answered within {seconds:f} s")
def _(context, seconds):
    got, taken_s = _append(context, b"third")
    assert isinstance(got, int), got
    assert taken_s < seconds, taken_s


@then("each append is in the log once at most")
def _(context):
    got = clients.run_on_reactor(context.store.read, TOPIC, 0, 0, wait_s=0)
    assert got.rows.count(b"second") <= 1, got.rows
    assert got.rows.count(b"third") == 1, got.rows


# Links.


def _link_to(context, address):
    context.relay = _relay(context, address)
    context.link = link.Link(reactor=reactor, address=context.relay.address)


@given("a link to an agent through a relay")
def _(context):
    made = context.cluster = ranked.Ranked().__enter__()
    data, _ = clients.settings_file(made, made.agents[0])
    order = rank_wire.to_order(rank.Disarm(99), fence=1, epoch=1)
    query = ttypes.RankQuery(counts=False, experts=False)
    context.calls = [("rank", query), ("order_rank", order)]
    _link_to(context, data["peer"])
    # An agent answers once it has found its rank.
    process.wait_for(
        lambda: not isinstance(_call(context, 0), link.LinkError), "the agent"
    )


@given("a link to an entry through a relay")
def _(context):
    made = context.cluster = fleet.Fleet(workers=()).__enter__()
    query = ttypes.StateRequest(have_offset=0)
    context.calls = [("state", query), ("roster", ttypes.RosterQuery(0))]
    _link_to(context, made.peer["f1"])


def _call(context, number):
    method, message = context.calls[number]
    return clients.run_on_reactor(
        context.link.call, method, message, timeout_s=LINK_TIMEOUT_S
    )


@when("the link has been used")
def _(context):
    for number in range(len(context.calls)):
        got = _call(context, number)
        assert not isinstance(got, Exception), got
    context.opened = context.relay.opened


@when("the link is idle for {seconds:f} s")
def _(context, seconds):
    clients.run_on_reactor(task.deferLater, reactor, seconds)


@then("a call over the link is lost after its time-out and not sent again")
def _(context):
    start = time.monotonic()
    got = _call(context, 1)
    taken_s = time.monotonic() - start
    assert isinstance(got, link.LinkError), got
    assert got.written, "a call that was sent counts as not sent"
    assert taken_s < LINK_TIMEOUT_S + SLACK_S, taken_s
    assert context.relay.opened == context.opened, "sent on another one"


@then("the next call over the link is answered")
def _(context):
    for number in range(len(context.calls)):
        got = _call(context, number)
        assert not isinstance(got, Exception), got
    assert context.relay.opened == context.opened + 1, context.relay.opened


@implementer(Peer.Iface)
class _SlowPeer:
    """Answers each call after the seconds that were set for it."""

    def __init__(self):
        self.delays_s = [0.7, 0.6, 0.0]

    def state(self, query):
        reply = ttypes.StateReply(
            offset=query.have_offset, digest="", state=b""
        )
        return task.deferLater(reactor, self.delays_s.pop(0), lambda: reply)


@given("a peer that answers its first two calls late")
def _(context):
    context.server = link.Server(handler=_SlowPeer(), reactor=reactor)
    port = reactor.listenTCP(0, context.server, interface="127.0.0.1")
    context.add_cleanup(port.stopListening)
    address = f"127.0.0.1:{port.getHost().port}"
    context.link = link.Link(reactor=reactor, address=address)
    context.add_cleanup(context.link.close)


def _ask_state(context, number, timeout_s):
    query = ttypes.StateRequest(have_offset=number)
    return context.link.call("state", query, timeout_s=timeout_s)


@when("two calls are sent and the first is too late")
def _(context):
    async def both():
        first = defer.ensureDeferred(_ask_state(context, 1, 0.2))
        second = defer.ensureDeferred(_ask_state(context, 2, 2.0))
        return await defer.DeferredList([first, second], consumeErrors=True)

    context.outcomes = clients.run_on_reactor(both)


@then("the second is answered all the same")
def _(context):
    (first_good, _), (second_good, second) = context.outcomes
    assert not first_good, context.outcomes
    assert second_good, second
    assert second.offset == 2, second


@then("the call after them is answered")
def _(context):
    got = clients.run_on_reactor(_ask_state, context, 3, 1.0)
    assert getattr(got, "offset", None) == 3, got


# Workers.


@given("a fleet whose workers are reached through relays")
def _(context):
    made = context.cluster = fleet.Fleet().__enter__()
    context.relays = {}
    for name in made.workers:
        relay = _relay(context, made.address[name])
        context.relays[name] = relay
        made.announce(name, addr=relay.address)
    for path in ("/read/x", "/chat/x"):
        process.wait_for(
            lambda path=path: _warm(context, path), "a connection to each"
        )


def _warm(context, path):
    """Send requests at once; tell whether all their workers are connected."""
    _at_once(context, path, 6)
    service = "llm" if path.startswith("/chat") else "push"
    workers = context.cluster.workers
    return all(
        relay.open > 0
        for name, relay in context.relays.items()
        if workers[name][0] == service
    )


def _at_once(context, path, count):
    """Send requests at the same time; return their answers."""
    made = context.cluster
    method = "POST" if path.startswith("/chat") else "GET"
    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        asked = [
            threads.submit(made.ask, path, method=method) for _ in range(count)
        ]
        return [item.result() for item in asked]


@when("all open connections to workers go silent, {way}")
def _(context, way):
    for name, relay in context.relays.items():
        assert relay.go_silent(way) > 0, name


@then("it came within {seconds:f} s")
def _(context, seconds):
    assert context.seconds < seconds, context.seconds


@then("the next {count:d} requests are each served within {seconds:f} s")
def _(context, count, seconds):
    for _ in range(count):
        clients.ask(context, "/read/x", "GET")
        assert context.answer.status_code == 200, context.answer
        assert context.seconds < seconds, context.seconds


@then("the answer is a success or says that its end is unknown")
def _(context):
    status = context.answer.status_code
    assert status in (200, 502, 504), context.answer


@then("it ran at most once")
def _(context):
    runs = context.cluster.runs_of(context.id)
    assert len(runs) <= 1, runs


@then("every event of the stream came once, within {seconds:f} s")
def _(context, seconds):
    assert context.answer.status_code == 200, context.answer
    found = clients.events(context.answer.text)
    assert found == fleet.STREAM, found
    assert context.seconds < seconds, context.seconds


@when(
    "{count:d} requests are sent at once to workers that have stopped"
    " for {seconds:d} s"
)
def _(context, count, seconds):
    made = context.cluster
    stopped = [made.processes[name] for name in made.workers]
    for item in stopped:
        item.freeze()

    def thaw():
        for item in stopped:
            item.thaw()

    timer = threading.Timer(seconds, thaw)
    timer.start()
    context.answers = _at_once(context, "/read/x", count)
    timer.join()


@then("at most {count:d} of them ran twice and all are served")
def _(context, count):
    made = context.cluster
    ids = [answer.request.headers["request-id"] for answer in context.answers]
    assert {answer.status_code for answer in context.answers} == {200}, [
        (answer.status_code, answer.text) for answer in context.answers
    ]
    twice = [item for item in ids if len(made.runs_of(item)) > 1]
    assert len(twice) <= count, twice


@when(
    "an entry stands still for {seconds:f} s while the answer to"
    ' "{path}" comes'
)
def _(context, seconds, path):
    made = context.cluster
    stopped = [made.processes[name] for name in made.workers]
    wanted = made.next_id()
    for item in stopped:
        item.freeze()
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        asked = threads.submit(made.ask, path, method="GET", Request_Id=wanted)
        # The request is in the workers' kernel by then.
        time.sleep(SLACK_S)
        made.processes["f1"].freeze()
        start = time.monotonic()
        for item in stopped:
            item.thaw()
        process.wait_for(lambda: made.runs_of(wanted), "the worker's run")
        time.sleep(max(0.0, start + seconds - time.monotonic()))
        made.processes["f1"].thaw()
        context.answer = asked.result()
    context.id = wanted


@then("that request is served and ran once")
def _(context):
    assert context.answer.status_code == 200, context.answer
    assert len(context.cluster.runs_of(context.id)) == 1, context.id


# The judgement by itself.


class _Exchange:
    """What is looked at of a connection."""

    def __init__(self, address, opened_at, begun_at):
        self.address = address
        self.opened_at = opened_at
        self.begun_at = begun_at


def _judge(context):
    context.clock = clock.FakeClock()
    context.since = []
    return silence.Silences(
        clock=context.clock, on_silent=context.since.append
    )


def _set_time(context, at):
    context.clock.advance(at - context.clock.monotonic())


def _ending(context, at):
    """Return the addresses of the exchanges that end at a time."""
    _set_time(context, at)
    ended = [item for item in context.left if context.judge.ends(item)]
    context.left = [item for item in context.left if item not in ended]
    return [item.address for item in ended]


@given(
    "{count:d} exchanges with a peer that began at 0 s and one of another peer"
)
def _(context, count):
    context.judge = _judge(context)
    context.left = [_Exchange("one", -1.0, 0.0) for _ in range(count)]
    context.left.append(_Exchange("other", -1.0, 0.0))


@then("at {at:f} s one exchange of each peer ends")
def _(context, at):
    assert _ending(context, at) == ["one", "other"]
    assert context.since == [0.0, 0.0], context.since


@then("at {at:f} s no other does")
def _(context, at):
    assert _ending(context, at) == []


@when("an answer begins at {at:f} s on a connection opened at {opened:f} s")
def _(context, at, opened):
    _set_time(context, at)
    context.judge.note_first_byte(_Exchange("one", opened, opened))


@then("at {at:f} s all others of that peer end")
def _(context, at):
    assert set(_ending(context, at)) == {"one"}
    assert context.left == [], context.left


@given("a peer whose answers took {most} and {last:f} s to begin")
def _(context, most, last):
    context.judge = _judge(context)
    for took_s in (*map(float, most.split(",")), last):
        _set_time(context, took_s)
        context.judge.note_first_byte(_Exchange("one", 0.0, 0.0))


@then(
    "its answers may take {own:f} s to begin and those of others {usual:f} s"
)
def _(context, own, usual):
    assert abs(context.judge.allowance_s("one") - own) < 1e-6
    assert context.judge.allowance_s("other") == usual


# Callers.


@given("a fleet whose entry is reached through a relay")
def _(context):
    made = context.cluster = fleet.Fleet().__enter__()
    context.relay = _relay(context, made.http["f1"])
    made.http["f1"] = context.relay.address


@given("connections end after {seconds:d} s without a request")
def _(context, seconds):
    made = context.cluster
    limits = {**made.config["limits"], "idle_timeout_ms": seconds * 1000}
    made.change(limits=limits)
    process.wait_for(lambda: _in_force(made), "the version")


def _in_force(made):
    """Tell whether entry f1 has the newest version."""
    version = made.config["version"]
    rows = made.log_lines("f1")
    return any(row.get("version") == version for row in rows)


@when("{count:d} callers each keep a connection")
def _(context, count):
    made = context.cluster
    context.kept = [made.connect() for _ in range(count)]
    for conn in context.kept:
        context.add_cleanup(conn.close)
        clients.send(conn, made.headers(), "/push/x")
        assert conn.getresponse().read(), "no answer"
    context.ended = context.relay.ended


@then("a caller on a new connection is served within {seconds:f} s")
def _(context, seconds):
    conn = context.cluster.connect()
    start = time.monotonic()
    clients.send(conn, context.cluster.headers(), "/push/x")
    answer = conn.getresponse()
    taken_s = time.monotonic() - start
    conn.close()
    assert answer.status == http.client.OK, answer.status
    assert taken_s < seconds, taken_s


@then("the entry ends the {count:d} silent connections within {seconds:d} s")
def _(context, count, seconds):
    # The new caller's connection has been closed by its caller meanwhile.
    process.wait_for(
        lambda: context.relay.ended >= context.ended + count,
        "the connections to end",
        seconds,
    )
