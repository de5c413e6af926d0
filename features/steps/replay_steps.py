"""Steps that replay traces against models of the protocols."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import importlib
import json
import pathlib
import random

import hypothesis
from behave import then, when
from hypothesis import strategies

from features.models import (
    chooser,
    configlog,
    exchange,
    lockstep,
    oncekeys,
    relayout_engine,
    restores,
    silent_reads,
)

TRACES = pathlib.Path(__file__).parent.parent / "traces"
FAULTS = (
    configlog.StateMismatchError,
    exchange.WrongOutcomeError,
    lockstep.MixedStepError,
    oncekeys.DoubleRunError,
    relayout_engine.MixedLayoutsError,
    restores.RestoreError,
    silent_reads.LateError,
)
RANKED = ("lockstep", "relayout")
EVENTS = 400


def _world(model, rules="as built", ranks=3):
    module = importlib.import_module(f"features.models.{model}")
    if model == "configlog":
        return module.World()
    given = module.RULES[rules]()
    if model in RANKED:
        return module.World(ranks=ranks, given=given)
    return module.World(rules=given)


def _run(world, numbers):
    choose = chooser.Chooser(numbers)
    while not choose.over:
        world.act(choose)
    if hasattr(world, "check"):
        world.check()
    return world


def _seeded(seed):
    source = random.Random(seed)
    return [source.randrange(1000) for _ in range(EVENTS)]


@when(
    "{generated:d} generated traces and {seeded:d} seeded ones of the "
    "{model} model run"
)
def _(context, generated, seeded, model):
    context.ran = 0
    context.seeded = seeded
    context.violation = None

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=generated,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.binary(min_size=50, max_size=EVENTS))
    def replay(numbers):
        context.ran += 1
        _run(_world(model), numbers)

    try:
        replay()
        for seed in range(seeded):
            context.ran += 1
            _run(_world(model, ranks=2 + seed % 3), _seeded(seed))
    except FAULTS as violation:
        context.violation = violation


@then("no trace violates the invariant")
def _(context):
    assert context.violation is None, repr(context.violation)
    assert context.ran > context.seeded, context.ran


def _recorded(model, rules):
    name = f"{model}-{rules.replace(' ', '-')}.json"
    return json.loads((TRACES / name).read_text())


def _violates(context, rules):
    trace = context.trace
    world = _world(context.model, rules, trace.get("ranks", 3))
    try:
        _run(world, trace["numbers"])
    except FAULTS:
        return True
    return False


@when("the recorded trace of the {model} model {rules} is replayed")
def _(context, model, rules):
    context.model, context.rules = model, rules
    context.trace = _recorded(model, rules)


@then("it violates the invariant")
def _(context):
    assert _violates(context, context.rules)


@then("the same trace with the rules as built does not")
def _(context):
    assert not _violates(context, "as built")


@when("{count:d} seeded traces of the {model} model run and faults cease")
def _(context, count, model):
    worlds = [
        _run(_world(model, ranks=1 + seed % 4), _seeded(seed))
        for seed in range(count)
    ]
    context.stuck = [world for world in worlds if not world.settle()]


@then("every group converges to the target layout")
def _(context):
    assert context.stuck == [], context.stuck[0].ranks
