"""Steps on agents that change the layout of their group."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import signal

from behave import given, step, then, when

from standins import ranked, ranks
from standins.process import wait_for

# Experts that demand shifts to; it begins with the first expert.
SHIFTED_EXPERTS = [5, 6]
# Steps between shifts where demand keeps changing.
SHIFT_STEPS = 100
SUPERSEDED = "A newer holder has the group."


@given("a group of ranks with agents")
def _(context):
    context.cluster = ranked.Ranked().__enter__()


@when("the group runs with its first layout")
def _(context):
    found = context.cluster.group()
    assert found["skew"] > 1.4, found


@step("its skew falls below {most:f} within {seconds:d} s")
def _(context, most, seconds):
    # Skip the skew from before the demand shifted.
    steps = context.cluster.group()["steps"] + 2

    def level():
        found = context.cluster.group()
        return found["steps"] > steps and found["skew"] < most

    wait_for(level, f"a skew below {most}", seconds)


@step("the ranks have {count:d} requests each")
@step("the ranks have {count:d} request each")
def _(context, count):
    context.cluster.group(running=count)


@then("its layout is still the first after {count:d} steps")
def _(context, count):
    made = context.cluster
    steps = made.group()["steps"] + count
    wait_for(lambda: made.group()["steps"] >= steps, f"{count} steps", 20)
    assert set(made.group()["versions"]) == {0}, made.group()


@when("demand shifts to other experts")
def _(context):
    context.cluster.group(hot=SHIFTED_EXPERTS)


@when(
    "the next {count:d} orders are executed {late_s:f} s late and their "
    "answers are lost"
)
def _(context, count, late_s):
    context.cluster.group(lose=count, late_s=late_s)


@when("a rank restarts")
def _(context):
    before = context.cluster.group()["epoch"]
    assert context.cluster.group(restart=True)["epoch"] == before + 1


@when("the store is unavailable and demand shifts to other experts")
def _(context):
    context.cluster.control(down="silent")
    context.cluster.group(hot=SHIFTED_EXPERTS)


@when("an agent holds the lease permanently")
def _(context):
    made = context.cluster
    # The lease moves while agents join; after these calls all have joined.
    for name in made.agents:
        wait_for(lambda n=name: made.log_lines(n), f"{name} to start", 20)
    before = made.control()["calls"].get("log-join", 0)
    enough = before + 3 * len(made.agents)
    wait_for(
        lambda: made.control()["calls"].get("log-join", 0) >= enough,
        "all agents to ask for the lease",
        20,
    )
    wait_for(lambda: len(made.holders()) == 1, "one holder", 20)
    (context.holder_name,) = made.holders()


@when("the holder is killed while the group is held")
def _(context):
    _stop_while_held(context, lambda process: process.kill())
    context.cluster.group(lose=0)


@when("a rank restarts while the group is held")
def _(context):
    made = context.cluster
    _hold(made, "go")
    made.group(restart=True, lose=0)


@when("the killed agent is started again")
def _(context):
    context.cluster.processes[context.holder_name].start()


@when("the holder is frozen while the group is held")
def _(context):
    _stop_while_held(context, lambda process: process.freeze())
    context.cluster.group(lose=0)


@when("the holder and its rank stop responding while the group is held")
def _(context):
    made = context.cluster

    def silence(process):
        process.freeze()
        made.group(mute=[made.agents.index(context.holder_name)])

    # Lose the orders to arm: were all other ranks armed, nobody could tell
    # whether the holder's rank is armed too, and they would wait.
    _stop_while_held(context, silence, "arm")


@when("they respond again")
def _(context):
    made = context.cluster
    made.group(mute=[], lose=0)
    made.processes[context.holder_name].thaw()


def _is_hold_end(row):
    """Return whether a log line reports the end of a hold."""
    return row.get("order") == "go" and row.get("outcome") == "taken"


def _texts(made, name):
    """Return the messages that an agent has logged."""
    return [row["text"] for row in made.log_lines(name)]


def _hold(made, lost):
    """Get the group held by losing all orders of one kind."""
    made.group(lose=1000, lose_op=lost, late_s=60, hot=SHIFTED_EXPERTS)
    wait_for(lambda: made.group()["held_by"], "a hold", 20)


def _stop_while_held(context, stop, lost="go"):
    """Stop the holder's process while the group stays held."""
    made = context.cluster
    _hold(made, lost)
    # The group is held by the rank after the holder's.
    (number,) = made.group()["held_by"]
    context.holder_name = made.agents[number - 1]
    stop(made.processes[context.holder_name])
    assert made.group()["held_by"]
    context.logged = {n: len(_texts(made, n)) for n in made.agents}


@then("another agent finishes the change within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    others = [name for name in made.agents if name != context.holder_name]

    def finished():
        # Any agent may do it, with or without the lease.
        new = [
            r for n in others for r in made.log_lines(n)[context.logged[n] :]
        ]
        return any(_is_hold_end(row) for row in new)

    wait_for(finished, "another agent to finish the change", seconds)


@when("the holder is frozen until another holds the lease")
def _(context):
    made = context.cluster
    frozen = made.processes[context.holder_name]
    frozen.freeze()
    wait_for(lambda: len(made.holders()) > 1, "another holder", 20)
    made.group(hot=SHIFTED_EXPERTS)
    frozen.thaw()


@then("the frozen agent stops managing the group within {seconds:d} s")
def _(context, seconds):
    made, name = context.cluster, context.holder_name

    def replaced():
        # Shifting demand makes the holder send orders.
        steps = made.group()["steps"]
        made.group(hot=[steps // SHIFT_STEPS % ranks.EXPERTS])
        texts = _texts(made, name)
        return SUPERSEDED in texts or "Lost the lease." in texts

    wait_for(replaced, "the old holder to stop", seconds)


@when("the holder is stopped gracefully")
def _(context):
    context.status = context.cluster.processes[context.holder_name].stop()


@when("the holder receives a signal to reload its settings")
def _(context):
    context.cluster.processes[context.holder_name].signal(signal.SIGHUP)
    context.cluster.group(hot=SHIFTED_EXPERTS)


@then("it logs that it has reloaded them")
def _(context):
    made, name = context.cluster, context.holder_name

    def read():
        return "Read the settings again." in _texts(made, name)

    wait_for(read, "the settings to be read", 20)
    assert made.processes[name].running


@then("it logs that it has stopped")
def _(context):
    assert context.status == 0, context.status
    lines = context.cluster.log_lines(context.holder_name)
    assert lines[-1]["text"] == "Stopped.", lines[-1]


@then("another agent holds the lease within {seconds:d} s")
def _(context, seconds):
    made, old = context.cluster, context.holder_name
    wait_for(
        lambda: [name for name in made.holders() if name != old],
        "another holder",
        seconds,
    )


@then("the group is not held")
def _(context):
    assert context.cluster.group()["held_by"] == [], context.cluster.group()


@then("the group is not held within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    wait_for(lambda: not made.group()["held_by"], "the hold to end", seconds)


@then("no step of the group began on two layouts")
def _(context):
    found = context.cluster.group()
    assert found["steps"] > 0, found
    assert found["mixed"] == 0, found


# Several groups behind one target.


@given("{count:d} groups of ranks with agents")
def _(context, count):
    context.count = count
    context.cluster = ranked.Ranked(groups=count)
    context.cluster.__enter__()


def _holders_of(made, number):
    """Return the agents of a group that hold its lease."""
    agents = made.agents[number * ranked.SIZE : (number + 1) * ranked.SIZE]
    return set(agents) & set(made.holders())


@then("an agent of each group holds its lease within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    wait_for(
        lambda: all(_holders_of(made, n) for n in range(context.count)),
        "a holder of each group",
        seconds,
    )


@then("the skew of group {number:d} falls below {most:g} within {seconds:d} s")
def _(context, number, most, seconds):
    made = context.cluster
    wait_for(
        lambda: made.group(number)["skew"] < most,
        f"the skew of group {number}",
        seconds,
    )


@when("demand of group {number:d} shifts to other experts")
def _(context, number):
    made = context.cluster
    made.group(number, hot=[7, 11])
    # The skew under the new demand is known after the next step.
    wait_for(lambda: made.group(number)["skew"] > 1.4, "a skew")


@when("group {number:d} forms again")
def _(context, number):
    made = context.cluster
    made.group(number, restart=True)
    wait_for(lambda: made.group(number)["skew"] > 1.4, "a skew")


@when("the ranks of group {number:d} do not respond")
def _(context, number):
    context.cluster.group(number, mute=list(range(ranked.SIZE)))


@then("no step of either group began on two layouts")
def _(context):
    for number in range(context.count):
        found = context.cluster.group(number)
        assert found["mixed"] == 0, found
