"""Steps on layouts under shifting demand."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random

from behave import then, when
from reelscale_core import clock, demand, rank, replicas
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import arming, rank_reports

from features.models import (
    chooser,
    relayout,
    relayout_engine,
    shifting_demand,
)

DURATION_S = 24.0
HIGH_SKEW = 1.8
SHIFT_EVERY_S = 4.0


def _time_at_high_skew(count, loads):
    """Return the fraction of time at a high skew."""
    skews = []
    for seed in range(1, count + 1):
        group = shifting_demand.Group(seed=seed, loads=loads)
        group.play(DURATION_S, shift_every_s=SHIFT_EVERY_S)
        skews += group.skews
    return sum(skew > HIGH_SKEW for skew in skews) / len(skews)


def _bounds(load_s):
    limits = base.EngineLimits(
        shifting_demand.EXPERTS,
        shifting_demand.PLACES,
        shifting_demand.SPARE,
        load_s * 1000 / 8,
        1000.0 if load_s else 0.0,
    )
    return rank_reports.bounds_of(limits)


@when(
    "the demand of {count:d} groups shifts every 4 s and the loads per change "
    "are not limited"
)
def _(context, count):
    context.unlimited = _time_at_high_skew(count, None)


@when(
    "the loads per change of {count:d} such groups are limited to half a "
    "second"
)
def _(context, count):
    loads = _bounds(shifting_demand.LOAD_S).loads
    context.limited = _time_at_high_skew(count, loads)


@then("the limit reduces the time at a skew above 1.8 by a quarter")
def _(context):
    rows = (context.limited, context.unlimited)
    assert context.limited <= 0.75 * context.unlimited, rows


@when(
    "one set of layers is skewed and another is not, and a rank may load one "
    "expert"
)
def _(context):
    held = [[(0, 1), (2, 3)], [(0, 1), (2, 3)]]
    demand = [[9.0, 8.0, 1.0, 1.0], [3.0, 3.0, 2.0, 2.0]]
    bounds = replicas.Bounds(places=3, spare=2, loads=1)
    context.solutions = replicas.solve(held, demand, bounds, min_gain=0.01)


@then("the expert is loaded for the skewed set")
def _(context):
    first, second = context.solutions
    assert first.loaded == 1, context.solutions
    assert second.loaded == 0, context.solutions
    assert first.after < first.before, context.solutions


@then("ranks that take {seconds:g} s for an expert load {count:d} in a change")
def _(context, seconds, count):
    assert _bounds(seconds).loads == count, _bounds(seconds)


@then("ranks without a known load time load without a limit")
def _(context):
    assert _bounds(0.0).loads is None, _bounds(0.0)


def _observe(context, epoch, counts, now):
    """Apply the counters of the only rank of a group."""
    counted = {"r0": demand.Counters(epoch, counts)}
    context.demand = demand.observed(
        context.demand, counted, now=now, half_life_s=0.5
    )


@when(
    "a group has demand for its first expert, is unavailable for 10 s, and "
    "forms anew"
)
def _(context):
    context.demand = demand.Demand()
    for second in range(4):
        _observe(context, 1, (100 * second, 0), float(second))
    context.before = context.demand.recent
    context.demand = demand.observed(
        context.demand, {}, now=8.0, half_life_s=0.5
    )
    _observe(context, 2, (0, 0), 13.0)
    _observe(context, 2, (0, 0), 13.2)


@then("its demand is unchanged")
def _(context):
    assert context.demand.recent == context.before, context.demand
    assert context.before[0] > 0, context.before


@when("it has demand for its second expert for 3 s")
def _(context):
    for tenth in range(1, 31):
        _observe(context, 2, (0, 10 * tenth), 13.2 + tenth / 10)


@then("its demand is for the second expert only")
def _(context):
    first, second = context.demand.recent
    assert first < 0.05 * second, context.demand


@when(
    "{count:d} seeded traces run in which changes are held 2 to 8 steps ahead"
)
def _(context, count):
    context.error = None
    rules = relayout.RULES["held further ahead"]
    try:
        for seed in range(count):
            source = random.Random(seed)
            numbers = [source.randrange(1000) for _ in range(400)]
            world = relayout.World(ranks=2 + seed % 3, given=rules())
            choose = chooser.Chooser(numbers)
            while not choose.over:
                world.act(choose)
    except relayout_engine.MixedLayoutsError as error:
        context.error = error


@then("no step of them began on two layouts")
def _(context):
    assert context.error is None, repr(context.error)


@when("steps take {step_s:g} s and arming all ranks took {arming_s:g} s")
def _(context, step_s, arming_s):
    fake_clock = clock.FakeClock()
    context.arming = arming.Arming(clock=fake_clock)
    for step in range(5):
        by_name = {"r0": rank.Rank("g", 1, 0, 1, True, step, 0)}
        context.arming.record_ranks(by_name)
        fake_clock.advance(step_s)
    context.arming.record_orders([rank.Hold(7)])
    fake_clock.advance(arming_s)
    context.arming.record_orders([rank.Go(7)])


@then("the next change is held {steps:d} steps ahead")
def _(context, steps):
    assert context.arming.margin == steps, context.arming.margin
