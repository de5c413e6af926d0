"""Steps on upstreams that request a backoff."""

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
# Bounds of the platform on requests in flight when a refusal is sent: the
# seconds within which they arrive, and their number.
IN_TRANSIT_S = model.IN_TRANSIT_S
MAX_IN_TRANSIT = model.MAX_IN_TRANSIT


@given('a fleet of {count} workers of "{service}"')
def _(context, count, service):
    workers = ((service, "a"),) * COUNTS[count]
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when('worker "{name}" sheds load with a backoff of {seconds:d} s')
def _(context, name, seconds):
    context.backoff_s = seconds
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


@then('only what was in flight reaches "{name}" during its backoff')
def _(context, name):
    reached = context.cluster.worker(name)["reached"]
    arrivals = [row["at"] for row in reached if row["id"]]
    assert arrivals, "the worker was never asked"
    # Each refusal requests a backoff of its own.
    for at in arrivals:
        until = at + context.backoff_s
        early = [x for x in arrivals if at + IN_TRANSIT_S < x < until]
        assert len(early) <= MAX_IN_TRANSIT, [round(x - at, 3) for x in early]


@then("all callers are served")
def _(context):
    failed = [row for row in context.answers if not row.is_success]
    assert not failed, failed


def _forgetful_view(self, item, real=directory.Directory._new_view):
    """Create the view of a start, and drop its backoff."""
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
    assert sum(asks) > count, "too few upstreams shed load"
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


@then("no upstream gets more than was in flight")
def _(context):
    assert context.worst <= 0, context.worst


@then("some upstream gets more than was in flight")
def _(context):
    assert context.worst > 0, context.worst


@given(
    "an entry and {count:d} upstream that requested a backoff of {seconds:d} s"
)
@given(
    "an entry and {count:d} upstreams that requested a backoff of "
    "{seconds:d} s"
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


@when("the upstream has capacity again")
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


@then("it is refused at once with Retry-After of {seconds:d} s")
def _(context, seconds):
    assert context.asked.code == "upstream-backoff", context.asked
    after_s = context.world.refusals[-1].retry_after_s
    assert seconds - 0.5 < after_s <= seconds, after_s


@then('a refusal with "Retry-After: {text}" requests {meaning}')
def _(context, text, meaning):
    head = connection.Head(503, [(b"Retry-After", text.encode())])
    parsed = worker.Dialect().answer(head).retry_after_s
    expected = None if meaning == "no time" else float(meaning.split()[0])
    assert parsed == expected, parsed


@given("the backoffs of an upstream started at {seconds:d} s")
def _(context, seconds):
    context.clock = clock.FakeClock(start=float(seconds))
    context.start = announcement.Start("w1", seconds * 1000)
    context.backoffs = backoffs.Backoffs(
        reactor=task.Clock(),
        clock=context.clock,
        metrics=metrics.Metrics(),
        on_expired=lambda: None,
    )


@when("it requests a backoff of {seconds:g} s at {at:g} s")
def _(context, seconds, at):
    context.clock.advance(at - context.clock.now)
    context.backoffs.record_backoff(context.start, seconds)


@when("the list reports at {at:g} s that it restarted at {born:g} s")
def _(context, at, born):
    context.clock.advance(at - context.clock.now)
    before, context.start = (
        context.start,
        announcement.Start("w1", int(born * 1000)),
    )
    context.backoffs.on_restart(before, context.start)


@then("its backoff lasts {seconds:g} s more")
def _(context, seconds):
    remaining_s = context.backoffs.remaining_s(context.start)
    assert abs(remaining_s - seconds) < 0.001, remaining_s


@given(
    "an entry and {count:d} upstreams of which {shedding:d} request a "
    "backoff of {seconds:d} s"
)
def _(context, count, shedding, seconds):
    world = context.world = model.World(seed=1, count=count, slow_share=0.0)
    context.backoff_s = float(seconds)
    for item in list(world.upstreams.values())[:shedding]:
        item.retry_after_s = context.backoff_s


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


@then("its Retry-After is less than {seconds:d} s")
def _(context, seconds):
    context.after_s = context.world.refusals[-1].retry_after_s
    assert 0 < context.after_s < seconds, context.after_s


@then("a request after that time is served")
def _(context):
    world = context.world
    world.pass_time(context.after_s)
    asked = world.ask(model.READ)
    world.pass_time(3.0)
    assert asked.http.status == 200, asked
