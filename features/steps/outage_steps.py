"""Steps on groups of which some or all ranks refuse work."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections

from behave import given, then, when

from features.models import shedding

OUT = "group-out"


@given(
    "a group of {count:d} ranks of which {refusing:d} refuse all that arrives"
)
def _(context, count, refusing):
    world = context.world = shedding.World(seed=1, count=count, slow_share=0)
    # Streams are in progress before the first refusal.
    _ask(world, rate=15, seconds=1.0)
    _refuse(context, refusing)


@given(
    "a group of {count:d} ranks that stands still and refuses all that arrives"
)
def _(context, count):
    world = context.world = shedding.World(seed=1, count=count, slow_share=0)
    _ask(world, rate=15, seconds=1.0)
    # No stream lasts longer than this.
    _ask(world, rate=0, seconds=4.0)
    _refuse(context, count)


def _refuse(context, count):
    """Have ranks refuse; they name no time, so that they are asked again."""
    world = context.world
    for item in list(world.upstreams.values())[:count]:
        item.retry_after_s = 0.0
    context.before = len(world.calls)
    context.arrived = _arrived(world)


def _arrived(world):
    return sum(len(item.arrivals) for item in world.upstreams.values())


def _ask(world, *, rate, seconds):
    due = 0.0
    for _ in range(round(seconds / shedding.STEP_S)):
        due += rate * shedding.STEP_S
        while due >= 1.0:
            world.ask(shedding.STREAM, wait_s=0.0)
            due -= 1.0
        world.step()


@when("{rate:d} streams a second are asked for during {seconds:d} s")
def _(context, rate, seconds):
    _ask(context.world, rate=rate, seconds=seconds)
    context.codes = collections.Counter(
        asked.code for asked in context.world.calls[context.before :]
    )


@then("the group is never taken to be out")
def _(context):
    assert not context.codes[OUT], context.codes


@then("the group is taken to be out")
def _(context):
    assert context.codes[OUT], context.codes


@then("no rank that refuses nothing stands idle while a caller is refused")
def _(context):
    """See that callers are refused by ranks alone."""
    codes = set(context.codes) - {"", "lost"}
    assert codes <= {"upstream-503"}, context.codes


@then("{most:d} requests at most reach its ranks")
def _(context, most):
    arrived = _arrived(context.world) - context.arrived
    assert arrived <= most, arrived
