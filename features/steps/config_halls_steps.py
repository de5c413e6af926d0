"""Steps on the configuration in partitioned halls."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when

from features import config_calls as calls
from standins import cluster, load


def _in_hall(made, hall):
    names = [*made.entries, *made.engines, *made.services]
    return [name for name, where in names if where == hall]


@when('hall "{hall}" is partitioned from the other hall and the platform')
def _(context, hall):
    made = context.cluster
    context.before = made.offsets()
    inside = _in_hall(made, hall)
    outside = [name for name in made.http if name not in inside]
    for name in inside:
        made.cut(name, outside, platform=True)
    for name in outside:
        made.cut(name, inside)


@when('the operator makes a change in hall "{hall}"')
def _(context, hall):
    made = context.cluster
    entry = next(n for n in _in_hall(made, hall) if n in dict(made.entries))
    context.offset = made.change([calls.put_weight("meanwhile", 3)], entry)


@then("callers in both halls are served")
def _(context):
    for number in range(len(context.cluster.entries)):
        results = [calls.call(context.cluster, number) for _ in range(10)]
        counts = load.outcomes(results)
        assert counts.get("ran", 0) >= 9, counts
        assert set(counts) <= {"ran", "not-run"}, counts


@then('hall "{hall}" is behind but has not reverted')
def _(context, hall):
    made = context.cluster
    offsets = made.offsets()
    for name in _in_hall(made, hall):
        assert context.before[name] <= offsets[name] < context.offset, name


@then("it catches up within {seconds:d} s after the partition ends")
def _(context, seconds):
    made = context.cluster
    for name in made.http:
        made.cut(name, [])
    made.wait_in_force(context.offset, seconds)


@when('all processes of hall "{hall}" restart while the log is down')
def _(context, hall):
    made = context.cluster
    context.hall = hall
    context.offset = made.offset(made.entries[0][0])
    inside = _in_hall(made, hall)
    other = [name for name, where in made.entries if where != hall]
    for name in inside:
        calls.set_peers(made, name, other)
    made.platform(down=True)
    for name in inside:
        made.processes[name].kill()
    for name in inside:
        made.processes[name].start()
    for name in inside:
        cluster.wait_for(lambda name=name: made.ready(name), name)


@then('hall "{hall}" serves callers again on the same offset')
def _(context, hall):
    made = context.cluster
    number = [where for _, where in made.entries].index(hall)
    cluster.wait_for(
        lambda: calls.call(made, number).outcome == "ran", "an answer"
    )
    for name in _in_hall(made, hall):
        assert made.offset(name) >= context.offset, name
