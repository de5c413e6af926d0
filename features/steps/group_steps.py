"""Steps on changes of a group's layout under failures."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import time

from behave import then, when


def _change_layout(made, version):
    change = {"kind": "set-model", "group": "m1", "model_version": version}
    return made.change([change])


def _holder(made):
    """Return the agent that holds, or last held, the group's lease."""
    for name, _ in made.engines:
        log = made.processes[name].log.read_text()
        if "A layout change waits" in log:
            return name
    return made.engines[0][0]


@when("the layout changes {count:d} times while {what} is {fault}")
def _(context, count, what, fault):
    made = context.cluster
    context.version = 1 + count
    source = random.Random(7)
    if what == "store":
        for name, _ in made.engines:
            url = f"{made.upstream_http[name]}/control"
            made.client.post(url, json={"stage_s": 1.0})
    for number in range(count):
        _change_layout(made, f"v{number + 2}")
        time.sleep(source.uniform(0.0, 0.35))
        _inject_fault(made, what, fault)
        made.wait_layout(2 + number, 40)


def _inject_fault(made, what, fault):
    if what == "holder":
        victim = made.processes[_holder(made)]
        if fault == "killed":
            victim.kill()
            time.sleep(0.2)
            victim.start()
        else:
            victim.freeze()
            time.sleep(2.5)
            victim.thaw()
    elif what == "engine":
        victim = made.processes[f"engine-{made.engines[-1][0]}"]
        victim.kill()
        victim.start()


@then("every rank ends on the last layout")
def _(context):
    context.cluster.wait_layout(context.version, 40)


@when("the layout changes {count:d} times in one lease")
def _(context, count):
    made = context.cluster
    context.version = 1 + count
    for number in range(count):
        _change_layout(made, f"v{number + 2}")
        made.wait_layout(2 + number, 40)


@then("no agent refused an order")
def _(context):
    made = context.cluster
    for name, _ in made.engines:
        log = made.processes[name].log.read_text()
        assert "Refused an order" not in log, log[-1500:]
