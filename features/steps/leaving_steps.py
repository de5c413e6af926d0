"""Steps on upstreams that announce in their answers that they leave."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from unittest import mock

from behave import given, then, when
from reelscale_core import announcement
from reelscale_daemon.controllers import departures, directory

from features.models import shedding


def _forgetful_view(self, item, real=directory.Directory._new_view):
    """Create the view of a start, and drop its departure."""
    self.departures._received_at_by_start.pop(item.start.key, None)
    return real(self, item)


FAULTS = {
    "heeding": (departures.Departures, "leaving", lambda self, start: False),
    "lists": (directory.Directory, "_new_view", _forgetful_view),
}


@when('worker "{name}" announces in its answers that it leaves')
def _(context, name):
    context.cluster.say_leaving(name)


@then('at most {most:d} requests reach "{name}"')
def _(context, most, name):
    reached = context.cluster.worker(name)["reached"]
    count = sum(bool(row["id"]) for row in reached)
    # At least one, as its answer has to announce it.
    assert 1 <= count <= most, count


def _play(context, count):
    worlds = shedding.play_all(count, events=shedding.LEAVING)
    context.worst = max(world.max_late_arrivals() for world in worlds)


@when("{count:d} traces of upstreams that leave are played")
def _(context, count):
    _play(context, count)


@when(
    "{count:d} traces of upstreams that leave are played with a fault in "
    "{fault}"
)
def _(context, count, fault):
    with mock.patch.object(*FAULTS[fault]):
        _play(context, count)


@then(
    "none gets a request sent more than the drain time after its announcement"
)
def _(context):
    assert context.worst == 0, context.worst


@then(
    "one gets a request sent more than the drain time after its announcement"
)
def _(context):
    assert context.worst > 0, context.worst


def _ask(world, count=1):
    asked = []
    for _ in range(count):
        asked.append(world.ask(shedding.READ, wait_s=0.0))
        world.pass_time(1.0)
    return asked


@given("an entry and 1 upstream that announced that it leaves")
def _(context):
    world = context.world = shedding.World(seed=1, count=1, slow_share=0.0)
    world.upstreams["w1"].leaving = True
    (asked,) = _ask(world)
    assert asked.http.status == 200, asked


@given("an entry and 2 upstreams of which one refuses and leaves")
def _(context):
    world = context.world = shedding.World(seed=1, count=2, slow_share=0.0)
    world.break_share = 0.0
    leaving = world.upstreams["w1"]
    leaving.leaving, leaving.retry_after_s = True, 0.0
    while not leaving.arrivals:
        _ask(world)


@when("it refuses no further requests")
def _(context):
    leaving = context.world.upstreams["w1"]
    leaving.retry_after_s = None
    leaving.arrivals.clear()


@then("no request goes to it, and all are served")
def _(context):
    asked = _ask(context.world, count=10)
    assert all(item.http.status == 200 for item in asked), asked
    assert not context.world.upstreams["w1"].arrivals


@then("no request is served")
def _(context):
    (asked,) = _ask(context.world)
    assert asked.code == "no-upstream", asked


@then("it does not count as listed in the crash check")
def _(context):
    item = context.world.upstreams["w1"]
    start = announcement.Start("w1", item.born_ms)
    assert not context.world.listing.directory.listed(start)
