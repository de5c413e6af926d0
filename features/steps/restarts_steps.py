"""Steps that replay restarts of upstreams against the state of an entry."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random

import hypothesis
from behave import then, when
from hypothesis import strategies

from features.models import chooser, restarts

EVENTS = 120


def _run(numbers):
    world = restarts.World()
    choose = chooser.Chooser(numbers)
    while not choose.over:
        world.act(choose)
    world.check()


def _run_seeded(context, count):
    """Run traces until one fails, and record it."""
    for seed in range(count):
        source = random.Random(seed)
        context.ran += 1
        try:
            _run([source.randrange(1000) for _ in range(EVENTS)])
        except restarts.StaleStateError as failure:
            context.found = (seed, failure)
            return


@when(
    "{generated:d} generated and {seeded:d} seeded traces of restarts run "
    "as built"
)
def _(context, generated, seeded):
    context.ran, context.found = 0, None

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=generated,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.binary(min_size=20, max_size=EVENTS))
    def replay(numbers):
        context.ran += 1
        _run(list(numbers))

    replay()
    _run_seeded(context, seeded)
    assert context.ran >= generated + seeded or context.found, context.ran


@when("up to {count:d} seeded traces of restarts run {rules}")
def _(context, count, rules):
    context.ran, context.found = 0, None
    with restarts.RULES[rules]():
        _run_seeded(context, count)
    print(rules, "found by seed", context.found and context.found[0])


@then("no state is applied to another start")
def _(context):
    assert context.found is None, context.found


@then("one of them applies state to another start")
def _(context):
    assert context.found is not None, f"not found in {context.ran} traces"
