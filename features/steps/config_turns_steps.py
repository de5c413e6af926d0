"""Steps on processes that are stopped and started in turn."""

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
    context.fell = []
    context.lost = []
    names = [name for name, _ in [*made.entries, *made.services]]
    for name in names:
        before = made.offsets()
        others = [n for n, (e, _) in enumerate(made.entries) if e != name]
        with load.Load(
            [lambda o=o: calls.serve(made, o) for o in others]
        ) as run:
            made.processes[name].stop()
            made.processes[name].start()
            cluster.wait_for(lambda name=name: made.ready(name), name)
        after = made.offsets()
        context.fell += [n for n in before if after[n] < before[n]]
        context.lost += [r for r in run.told if r.outcome != "ran"]


@when("an agent is back and the other one stops {count:d} times over")
def _(context, count):
    """Stop an agent right when the other knows its configuration again."""
    made = context.cluster
    one, other = (name for name, _ in made.services)
    context.lost = []
    for number in range(count):
        back, stopped = (one, other) if number % 2 else (other, one)
        made.processes[back].kill()
        cluster.wait_for(
            lambda: calls.serve(made, 0).outcome == "ran", "the rest"
        )
        made.processes[back].start()
        cluster.wait_for(lambda back=back: made.ready(back), back)
        made.processes[stopped].signal(signal.SIGTERM)
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            context.lost.append(calls.serve(made, 0))
        made.processes[stopped].popen.wait(20)
        made.processes[stopped].start()
        for name in (back, stopped):
            cluster.wait_for(lambda name=name: made.ready(name), name)


@then("no caller was refused")
def _(context):
    refused = [row for row in context.lost if row.outcome != "ran"]
    assert refused == [], (len(refused), len(context.lost), refused[:2])


@when(
    "nobody has called for {idle:d} s and an agent starts {seconds:d} s "
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
    "the agent is ready within {seconds:d} s of its upstream though nobody "
    "calls"
)
def _(context, seconds):
    made = context.cluster
    cluster.wait_for(lambda: made.ready(context.name), context.name, seconds)


@then("no offset went down")
def _(context):
    assert context.fell == [], context.fell


@then("no caller lost an answer")
def _(context):
    assert context.lost == [], context.lost[:3]
