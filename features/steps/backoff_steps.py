"""Steps on upstreams that want no requests for a while."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import time
from unittest import mock

from behave import given, then, when
from reelscale_core import announcement, clock
from reelscale_daemon import metrics
from reelscale_daemon.controllers import backoffs, directory
from reelscale_daemon.exchange import connection
from reelscale_daemon.filters import direct
from reelscale_platform import worker
from twisted.internet import task

from features.models import shedding as model
from standins import fleet

COUNTS = {"one": 1, "two": 2, "three": 3}
# What was sent before the refusal was read may arrive this much later, in
# seconds, and be so many requests; both are stated by the platform.
ON_ITS_WAY_S = model.IN_TRANSIT_S
ON_ITS_WAY = model.MAX_IN_TRANSIT


@given('a fleet of {count} workers of "{service}"')
def _(context, count, service):
    workers = ((service, "a"),) * COUNTS[count]
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when('worker "{name}" sheds load and asks for {seconds:d} s without requests')
def _(context, name, seconds):
    context.asked_s = seconds
    context.cluster.shed(name, str(seconds))


@when('"{path}" is asked {rate:d} times a second for {seconds:g} s')
def _(context, path, rate, seconds):
    made = context.cluster
    method = "POST" if path.startswith("/chat") else "GET"
    began_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        asked = []
        for number in range(int(rate * seconds)):
            due = began_at + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            asked.append(threads.submit(made.ask, path, method=method))
        context.answers = [item.result() for item in asked]


@then(
    'nothing but what was on its way reaches "{name}" in the time it asked for'
)
def _(context, name):
    reached = context.cluster.worker(name)["reached"]
    arrivals = [row["at"] for row in reached if row["id"]]
    assert arrivals, "the worker was never asked"
    # Each refusal asks anew, the first one as well as any that follows.
    for at in arrivals:
        until = at + context.asked_s
        early = [x for x in arrivals if at + ON_ITS_WAY_S < x < until]
        assert len(early) <= ON_ITS_WAY, [round(x - at, 3) for x in early]


@then("all callers are served")
def _(context):
    failed = [row for row in context.answers if not row.is_success]
    assert not failed, failed


def _forgetful_view(self, item, real=directory.Directory._new_view):
    """Begin to see a start, and forget what it had asked."""
    self.backoffs._backoffs_by_start.pop(item.start.key, None)
    return real(self, item)


FAULTS = {
    "heeding": (backoffs.Backoffs, "remaining_s", lambda self, start: 0.0),
    "openings": (direct, "_check_accepted", lambda *_: None),
    "lists": (directory.Directory, "_new_view", _forgetful_view),
}


def _play(context, count):
    worlds = model.play_all(count)
    asks = [
        len(item.backoffs)
        for world in worlds
        for item in (*world.upstreams.values(), *world.ended)
    ]
    assert sum(asks) > count, "hardly any upstream shed load"
    context.worst = max(world.max_early_arrivals() for world in worlds)


@when("{count:d} traces of upstreams that shed load are played")
def _(context, count):
    _play(context, count)


@when(
    "{count:d} traces of upstreams that shed load are played with a fault in "
    "{fault}"
)
def _(context, count, fault):
    with mock.patch.object(*FAULTS[fault]):
        _play(context, count)


@then("no upstream gets more than was on its way")
def _(context):
    assert context.worst <= 0, context.worst


@then("some upstream gets more than was on its way")
def _(context):
    assert context.worst > 0, context.worst


@given(
    "an entry and {count:d} upstream that asked for {seconds:d} s without "
    "requests"
)
@given(
    "an entry and {count:d} upstreams that asked for {seconds:d} s without "
    "requests"
)
def _(context, count, seconds):
    world = context.world = model.World(seed=1, count=count, slow_share=0.0)
    for item in world.upstreams.values():
        item.retry_after_s = float(seconds)
    world.ask(model.READ)
    world.pass_time(0.4)
    asks = [item.backoffs for item in world.upstreams.values()]
    assert all(len(rows) == 1 for rows in asks), asks


@when("the upstream starts again")
def _(context):
    context.world.start_upstream("w1")
    context.world.pass_time(1.0)


@then("a request is served")
def _(context):
    asked = context.world.ask(model.READ, wait_s=0.0)
    context.world.pass_time(3.0)
    assert asked.http.status == 200, asked


@when("the upstream has room again")
def _(context):
    context.world.upstreams["w1"].retry_after_s = None


@when("a request that may wait for {seconds:d} s comes")
def _(context, seconds):
    lasting = model.READ._replace(timeout_s=20.0)
    context.asked = context.world.ask(lasting, wait_s=float(seconds))


@then("it is served {seconds:d} s after the refusal")
def _(context, seconds):
    world = context.world
    world.pass_time(10.0)
    (item,) = world.upstreams.values()
    (refused_at, _), arrived_at = item.backoffs[0], item.arrivals[-1]
    assert context.asked.http.status == 200, context.asked
    late_s = arrived_at - refused_at - seconds
    assert 0 <= late_s < 0.2, late_s


@then("it is refused at once, to come back after {seconds:d} s")
def _(context, seconds):
    assert context.asked.code == "upstream-backoff", context.asked
    after_s = context.world.refusals[-1].retry_after_s
    assert seconds - 0.5 < after_s <= seconds, after_s


@then('a refusal with "Retry-After: {text}" asks for {meaning}')
def _(context, text, meaning):
    head = connection.Head(503, [(b"Retry-After", text.encode())])
    found = worker.Dialect().answer(head).retry_after_s
    wanted = None if meaning == "no time" else float(meaning.split()[0])
    assert found == wanted, found


@given("what an entry knows of an upstream born at {seconds:d} s")
def _(context, seconds):
    context.clock = clock.FakeClock(start=float(seconds))
    context.start = announcement.Start("w1", seconds * 1000)
    context.backoffs = backoffs.Backoffs(
        reactor=task.Clock(),
        clock=context.clock,
        metrics=metrics.Metrics(),
        on_expired=lambda: None,
    )


@when("it asks for {seconds:g} s at {at:g} s")
def _(context, seconds, at):
    context.clock.advance(at - context.clock.now)
    context.backoffs.record_backoff(context.start, seconds)


@when("the list tells at {at:g} s that it was born again at {born:g} s")
def _(context, at, born):
    context.clock.advance(at - context.clock.now)
    before, context.start = (
        context.start,
        announcement.Start("w1", int(born * 1000)),
    )
    context.backoffs.on_restart(before, context.start)


@then("it wants nothing for {seconds:g} s more")
def _(context, seconds):
    remaining_s = context.backoffs.remaining_s(context.start)
    assert abs(remaining_s - seconds) < 0.001, remaining_s


@given(
    "an entry and {count:d} upstreams of which {shedding:d} want no requests "
    "for {seconds:d} s"
)
def _(context, count, shedding, seconds):
    world = context.world = model.World(seed=1, count=count, slow_share=0.0)
    context.asked_s = float(seconds)
    for item in list(world.upstreams.values())[:shedding]:
        item.retry_after_s = context.asked_s


@when("a request is refused by both of them")
def _(context):
    world = context.world
    for _ in range(20):
        asked = world.ask(model.READ)
        world.pass_time(0.4)
        if asked.code == "upstream-503":
            return
        assert not any(u.backoffs for u in world.upstreams.values()), asked
    raise AssertionError("no request was refused by both")


@then("it is told to come back before those {seconds:d} s are over")
def _(context, seconds):
    context.after_s = context.world.refusals[-1].retry_after_s
    assert 0 < context.after_s < seconds, context.after_s


@then("one that comes back then is served")
def _(context):
    world = context.world
    world.pass_time(context.after_s)
    asked = world.ask(model.READ)
    world.pass_time(3.0)
    assert asked.http.status == 200, asked
