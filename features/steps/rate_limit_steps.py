"""Steps on rate limits stated by upstreams."""

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

# Well below the latency goal of the route, which is 1 s.
IMMEDIATE_S = 0.25


def _share_among_reachable(per_s, upstream, entries):
    """Divide among reachable entries, as if no partition could occur."""
    reachable = entries._replace(known=len(entries.reachable))
    return REAL_SHARE(per_s, upstream, reachable)


REAL_SHARE = rate_limit.share_per_s
FAULTS = {
    "sharing": ("share_per_s", lambda per_s, upstream, entries: per_s),
    "counting retries": ("debited", lambda bucket: bucket),
    "partitions": ("share_per_s", _share_among_reachable),
}


@when("{count:d} traces of entries sharing a limit are replayed")
def _(context, count):
    context.max_excess = max(
        model.play(seed).max_excess for seed in range(count)
    )


@when(
    "{count:d} traces of entries sharing a limit are replayed with a fault in "
    "{fault}"
)
def _(context, count, fault):
    name, function = FAULTS[fault]
    with mock.patch.object(rate_limit, name, function):
        context.max_excess = max(
            model.play(seed).max_excess for seed in range(count)
        )


@then("no window of 4 s exceeds 1.5 times the limit plus 5 requests")
def _(context):
    assert context.max_excess <= 0, context.max_excess


@then("some window of 4 s exceeds 1.5 times the limit plus 5 requests")
def _(context):
    assert context.max_excess > 0, context.max_excess


@when(
    "an upstream states a limit of {limit:g} requests per second for "
    "{seconds:g} s, then lifts it"
)
def _(context, limit, seconds):
    world = context.world = model.World(seed=1, count=6)
    for _ in range(20):
        world.step(burst=1, loss=0.0)
    world.set_limit(limit)
    for _ in range(int(seconds / model.STEP_S)):
        world.step(burst=1, loss=0.0)
    world.set_limit(None)
    world.sent_without_limit = 0


@then("all entries send again within {seconds:g} s")
def _(context, seconds):
    world = context.world
    for _ in range(int(seconds / model.STEP_S)):
        world.step(burst=1, loss=0.0)
    before = world.sent_without_limit
    world.step(burst=1, loss=0.0)
    assert world.sent_without_limit - before == world.count, before


@when(
    "{count:d} entries share a limit of {limit:g} requests per second for "
    "{seconds:g} s"
)
def _(context, count, limit, seconds):
    world = model.World(seed=2, count=count)
    for _ in range(20):
        world.step(burst=1, loss=0.0)
    world.set_limit(limit)
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


@then("between {min_rate:g} and {max_rate:g} requests per second arrive")
def _(context, min_rate, max_rate):
    assert min_rate <= context.rate <= max_rate, context.rate


@when("one entry receives a limit and another later receives its removal")
def _(context):
    world = model.World(seed=3, count=2)
    context.first, context.second = world.entries
    context.first.limits.record_limit(model.START, base.RequestsPerSecond(0.0))
    context.older = context.first.usage()
    context.second.receive(context.older)
    world.clock.advance(0.2)
    context.second.limits.record_limit(model.START, base.NoRateLimit())


@when("the older report arrives after the newer one")
def _(context):
    world = context.first.world
    report = context.first.usage()
    world.clock.advance(0.1)
    context.second.receive(report)


@then("the second entry sends without a limit")
def _(context):
    assert all(context.second.send() for _ in range(20))


@when(
    "an entry has exhausted a limit of 0 at one upstream and of 4 at another"
)
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


@then("its queued requests are retried within {seconds:g} s")
def _(context, seconds):
    context.reactor.advance(seconds)
    assert context.woken, seconds


@when("the worker states a limit of {limit:d} requests per second")
def _(context, limit):
    context.cluster.name_limit("w1", str(limit))


@when("the worker lifts its limit")
def _(context):
    context.cluster.name_limit("w1", "")


@when("all entries together receive 10 times that rate for {seconds:g} s")
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
    """Return the arrival times at the worker after the first second."""
    reached = context.cluster.worker("w1")["reached"]
    since = context.began_at + 1.0
    return [row["at"] for row in reached if row["id"] and row["at"] >= since]


@then(
    "no window of 4 s after the first second has more than {max_requests:d} "
    "requests at the worker"
)
def _(context, max_requests):
    arrivals = _arrivals(context)
    windows = [
        sum(at <= other < at + model.WINDOW_S for other in arrivals)
        for at in arrivals
    ]
    assert max(windows) <= max_requests, windows


@then("at least {count:d} requests reach the worker after the first second")
def _(context, count):
    assert len(_arrivals(context)) >= count, len(_arrivals(context))


@then("the others were refused immediately as not run, with a Retry-After")
def _(context):
    refused = [row for row in context.answers if not row[0].is_success]
    assert len(refused) > 100, len(refused)
    for answer, _ in refused:
        assert answer.status_code in (429, 503), answer
        assert float(answer.headers["retry-after"]) > 0, answer.headers
    times = sorted(seconds for _, seconds in refused)
    assert times[len(times) // 2] < IMMEDIATE_S, times[len(times) // 2]


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
