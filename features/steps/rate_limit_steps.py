"""Steps on limits that upstreams name."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import time
from unittest import mock

from behave import then, when
from reelscale_core import clock, rate_limit
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import rate_limits
from twisted.internet import task

from features.models import rate_limits as model
from standins import process

# A refusal at once takes some milliseconds; the goal of the route is 1 s.
AT_ONCE_S = 0.25


def _parted_without_memory(per_s, upstream, entries):
    """Share by those that are heard alone, as if nobody could be cut off."""
    heard = entries._replace(known=len(entries.reachable))
    return REAL_SHARE(per_s, upstream, heard)


REAL_SHARE = rate_limit.share_per_s
FAULTS = {
    "sharing": ("share_per_s", lambda per_s, upstream, entries: per_s),
    "counting retries": ("debited", lambda bucket: bucket),
    "cut halves": ("share_per_s", _parted_without_memory),
}


@when("{count:d} traces of entries that share a limit are played")
def _(context, count):
    context.worst = max(model.play(seed).worst for seed in range(count))


@when(
    "{count:d} traces of entries that share a limit are played with a fault "
    "in {fault}"
)
def _(context, count, fault):
    name, function = FAULTS[fault]
    with mock.patch.object(rate_limit, name, function):
        context.worst = max(model.play(seed).worst for seed in range(count))


@then("no 4 s see more than one and a half times the limit and 5 requests")
def _(context):
    assert context.worst <= 0, context.worst


@then("some 4 s see more than one and a half times the limit and 5 requests")
def _(context):
    assert context.worst > 0, context.worst


@when(
    "an upstream names a limit of {limit:g} requests a second for "
    "{seconds:g} s, then none"
)
def _(context, limit, seconds):
    world = context.world = model.World(seed=1, count=6)
    for _ in range(20):
        world.step(burst=1, loss=0.0)
    world.name(limit)
    for _ in range(int(seconds / model.STEP_S)):
        world.step(burst=1, loss=0.0)
    world.name(None)
    world.sent_while_free = 0


@then("all entries send again within {seconds:g} s")
def _(context, seconds):
    world = context.world
    for _ in range(int(seconds / model.STEP_S)):
        world.step(burst=1, loss=0.0)
    before = world.sent_while_free
    world.step(burst=1, loss=0.0)
    assert world.sent_while_free - before == world.count, before


@when(
    "{count:d} entries share a limit of {limit:g} requests a second for "
    "{seconds:g} s"
)
def _(context, count, limit, seconds):
    world = model.World(seed=2, count=count)
    for _ in range(20):
        world.step(burst=1, loss=0.0)
    world.name(limit)
    for _ in range(40):
        world.step(burst=3, loss=0.0)
    arrivals = []
    with mock.patch.object(
        model.World,
        "arrived",
        lambda self, sender, real=model.World.arrived: (
            arrivals.append(self.clock.now),
            real(self, sender),
        ),
    ):
        for _ in range(int(seconds / model.STEP_S)):
            world.step(burst=3, loss=0.0)
    context.rate = len(arrivals) / seconds


@then("between {least:g} and {most:g} requests a second arrive")
def _(context, least, most):
    assert least <= context.rate <= most, context.rate


@when("one entry heard of a limit, another heard later that it is over")
def _(context):
    world = model.World(seed=3, count=2)
    context.first, context.second = world.entries
    context.first.limits.record_limit(model.START, base.RequestsPerSecond(0.0))
    context.late = context.first.tell()
    context.second.hear(context.late)
    world.clock.advance(0.2)
    context.second.limits.record_limit(model.START, base.NoRateLimit())


@when("the older news arrives after the newer")
def _(context):
    world = context.first.world
    told = context.first.tell()
    world.clock.advance(0.1)
    context.second.hear(told)


@then("the second entry sends what it likes")
def _(context):
    assert all(context.second.send() for _ in range(20))


@when("an entry has used up a limit of 0 at one upstream and of 4 at another")
def _(context):
    context.reactor, context.clock = task.Clock(), clock.FakeClock()
    context.woken = []
    only = rate_limit.Entries("e0", frozenset(("e0",)), 1)
    made = rate_limits.RateLimits(
        reactor=context.reactor,
        clock=context.clock,
        entries=lambda: only,
        on_update=lambda: None,
        on_free=lambda: context.woken.append(context.reactor.seconds()),
    )
    for start, per_s in (("i-1", 0.0), ("i-2", 4.0)):
        made.record_limit(start, base.RequestsPerSecond(per_s))
        made.record_sent(start)
        assert made.blocks(start), start


@then("those that wait at it look again within {seconds:g} s")
def _(context, seconds):
    context.reactor.advance(seconds)
    assert context.woken, seconds


@when("the worker names a limit of {limit:d} requests a second")
def _(context, limit):
    context.cluster.name_limit("w1", str(limit))


@when("the worker names no limit any more")
def _(context):
    context.cluster.name_limit("w1", "")


@when("all entries are asked for 10 times that for {seconds:g} s")
def _(context, seconds):
    made = context.cluster
    context.began_at = time.monotonic()
    context.answers = []

    def ask(number):
        entry = f"f{1 + number % len(made.http)}"
        at = time.monotonic()
        answer = made.ask("/read/x", method="GET", entry=entry)
        context.answers.append((answer, time.monotonic() - at))

    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        for number in range(int(40 * seconds)):
            due = context.began_at + number / 40
            time.sleep(max(0.0, due - time.monotonic()))
            threads.submit(ask, number)


def _arrivals(context):
    """Return when requests reached the worker, from the first second on."""
    reached = context.cluster.worker("w1")["reached"]
    since = context.began_at + 1.0
    return [row["at"] for row in reached if row["id"] and row["at"] >= since]


@then(
    "no 4 s after the first second see more than {most:d} requests at the "
    "worker"
)
def _(context, most):
    arrivals = _arrivals(context)
    windows = [
        sum(at <= other < at + model.WINDOW_S for other in arrivals)
        for at in arrivals
    ]
    assert max(windows) <= most, windows


@then("at least {least:d} requests reach the worker after the first second")
def _(context, least):
    assert len(_arrivals(context)) >= least, len(_arrivals(context))


@then("those refused were refused at once, as not run, with when to come back")
def _(context):
    refused = [row for row in context.answers if not row[0].is_success]
    assert len(refused) > 100, len(refused)
    for answer, _ in refused:
        assert answer.status_code in (429, 503), answer
        assert float(answer.headers["retry-after"]) > 0, answer.headers
    times = sorted(seconds for _, seconds in refused)
    assert times[len(times) // 2] < AT_ONCE_S, times[len(times) // 2]


@then('entry "{name}" serves {count:d} requests within {seconds:g} s')
def _(context, name, count, seconds):
    made = context.cluster
    process.wait_for(
        lambda: all(
            made.ask("/read/x", method="GET", entry=name).is_success
            for _ in range(count)
        ),
        f"{name} to serve {count}",
        seconds,
    )
