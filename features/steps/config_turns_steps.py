"""Steps on processes that are restarted one after the other."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import signal
import time

from behave import then, when

from features import config_calls as calls
from standins import cluster, load


@when("every entry and agent is stopped and started again in turn under load")
def _(context):
    made = context.cluster
    context.decreased = []
    context.lost = []
    names = [name for name, _ in [*made.entries, *made.services]]
    for name in names:
        before = made.offsets()
        others = [n for n, (e, _) in enumerate(made.entries) if e != name]
        with load.Load(
            [lambda o=o: calls.call(made, o) for o in others]
        ) as run:
            made.processes[name].stop()
            made.processes[name].start()
            cluster.wait_for(lambda name=name: made.ready(name), name)
        after = made.offsets()
        context.decreased += [n for n in before if after[n] < before[n]]
        context.lost += [r for r in run.told if r.outcome != "ran"]


@when("an agent returns and the other one stops, {count:d} times")
def _(context, count):
    """Stop an agent as soon as the other is ready again."""
    made = context.cluster
    one, other = (name for name, _ in made.services)
    context.results = []
    for number in range(count):
        returned, stopped = (one, other) if number % 2 else (other, one)
        made.processes[returned].kill()
        cluster.wait_for(
            lambda: calls.call(made, 0).outcome == "ran", "the rest"
        )
        made.processes[returned].start()
        cluster.wait_for(lambda name=returned: made.ready(name), returned)
        made.processes[stopped].signal(signal.SIGTERM)
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            context.results.append(calls.call(made, 0))
        made.processes[stopped].popen.wait(20)
        made.processes[stopped].start()
        for name in (returned, stopped):
            cluster.wait_for(lambda name=name: made.ready(name), name)


@then("no caller was refused")
def _(context):
    refused = [row for row in context.results if row.outcome != "ran"]
    assert refused == [], (len(refused), len(context.results), refused[:2])


@when(
    "there were no calls for {idle:d} s and an agent starts {seconds:d} s "
    "before its upstream"
)
def _(context, idle, seconds):
    made = context.cluster
    time.sleep(idle)
    context.name = made.services[0][0]
    upstream = made.processes[f"service-{context.name}"]
    upstream.kill()
    made.processes[context.name].kill()
    made.processes[context.name].start()
    time.sleep(seconds)
    upstream.start()


@then(
    "the agent is ready within {seconds:d} s after its upstream, without calls"
)
def _(context, seconds):
    made = context.cluster
    cluster.wait_for(lambda: made.ready(context.name), context.name, seconds)


@then("no offset decreased")
def _(context):
    assert context.decreased == [], context.decreased


@then("no caller lost an answer")
def _(context):
    assert context.lost == [], context.lost[:3]
