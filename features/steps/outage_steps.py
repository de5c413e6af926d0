"""Steps on groups in which some or all ranks refuse work."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections

from behave import given, then, when

from features.models import shedding

OUT = "group-out"


@given("a group of {count:d} ranks of which {refusing:d} refuse all requests")
def _(context, count, refusing):
    world = context.world = shedding.World(seed=1, count=count, slow_share=0)
    # Streams must be in progress before the first refusal.
    _request_streams(world, rate=15, seconds=1.0)
    _refuse(context, refusing)


@given("a stalled group of {count:d} ranks that refuse all requests")
def _(context, count):
    world = context.world = shedding.World(seed=1, count=count, slow_share=0)
    _request_streams(world, rate=15, seconds=1.0)
    # Longer than any stream lasts.
    _request_streams(world, rate=0, seconds=4.0)
    _refuse(context, count)


def _refuse(context, count):
    """Make ranks refuse without a Retry-After, so that they are retried."""
    world = context.world
    for item in list(world.upstreams.values())[:count]:
        item.retry_after_s = 0.0
    context.before = len(world.calls)
    context.arrived = _arrived(world)


def _arrived(world):
    return sum(len(item.arrivals) for item in world.upstreams.values())


def _request_streams(world, *, rate, seconds):
    due = 0.0
    for _ in range(round(seconds / shedding.STEP_S)):
        due += rate * shedding.STEP_S
        while due >= 1.0:
            world.ask(shedding.STREAM, wait_s=0.0)
            due -= 1.0
        world.step()


@when("{rate:d} streams per second are requested for {seconds:d} s")
def _(context, rate, seconds):
    _request_streams(context.world, rate=rate, seconds=seconds)
    context.codes = collections.Counter(
        asked.code for asked in context.world.calls[context.before :]
    )


@then("the group is never considered out of service")
def _(context):
    assert not context.codes[OUT], context.codes


@then("the group is considered out of service")
def _(context):
    assert context.codes[OUT], context.codes


@then("requests are refused only by ranks")
def _(context):
    codes = set(context.codes) - {"", "lost"}
    assert codes <= {"upstream-503"}, context.codes


@then("at most {max_requests:d} requests reach its ranks")
def _(context, max_requests):
    arrived = _arrived(context.world) - context.arrived
    assert arrived <= max_requests, arrived
