"""Steps on groups whose ranks are many and whose links are thin."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import types

from behave import given, then, when
from reelscale_core import clock, demand, rank
from reelscale_daemon import rank_wire
from reelscale_daemon.controllers import told_ranks
from twisted.internet import defer

from features import holder_fakes

EACH = 10


class Reach:
    """Ranks that tell counters which grow; notes who was asked for them."""

    def __init__(self, ranks, counters, silent):
        self.looks = []
        self.asked = collections.Counter()
        self.silent = silent
        self._ranks, self._counters = ranks, counters
        self._counted = collections.Counter()

    async def tell(self, member, *, counts, experts):
        """Tell of a rank; each has EACH more of everything each time."""
        if counts:
            self.asked[member] += 1
            self.looks[-1].append(member)
        if member in self.silent:
            return None
        number = int(member)
        found = rank.Rank("g", 1, number, self._ranks, True, 5, 0)
        counted = None
        if counts:
            self._counted[member] += EACH
            row = (self._counted[member],) * self._counters
            counted = demand.Counted(1, row)
        return rank_wire.Told(found, counted, ((number,),))


def _group(context, ranks, counters, silent=0):
    names = [f"{number:02}" for number in range(ranks)]
    context.reach = Reach(ranks, counters, set(names[:silent]))
    context.counters = counters
    context.names = names
    context.clock = clock.FakeClock()
    context.ranks = told_ranks.ToldRanks(
        clock=context.clock,
        reach=context.reach,
        members=types.SimpleNamespace(by_name={n: n for n in names}),
    )


@given("a group of {ranks:d} ranks with {counters:d} counters each")
def _(context, ranks, counters):
    _group(context, ranks, counters)


@given(
    "a group of {ranks:d} ranks with {counters:d} counters each, of which "
    "{silent:d} are silent"
)
def _(context, ranks, counters, silent):
    _group(context, ranks, counters, silent)


@when("its ranks are asked {count:d} times")
def _(context, count):
    for _ in range(count):
        context.reach.looks.append([])
        defer.ensureDeferred(context.ranks.ask_all())
        context.clock.advance(0.12)


@then("no look after the first asks for more than {most:d} counters")
def _(context, most):
    sizes = [len(look) * context.counters for look in context.reach.looks[1:]]
    assert max(sizes) <= most, sizes


@then("each rank is asked for its counters at least twice")
def _(context):
    assert min(context.reach.asked[n] for n in context.names) >= 2


@then("each rank that answers is asked for its counters at least twice")
def _(context):
    names = set(context.names) - context.reach.silent
    assert min(context.reach.asked[n] for n in names) >= 2


@then("the demand is that of all ranks")
def _(context):
    found = context.ranks._demand
    assert set(found.last_by_name) == set(context.names)
    assert len(found.recent) == context.counters and min(found.recent) > 0


@then("each look after the first asks all ranks for their counters")
def _(context):
    for look in context.reach.looks[1:]:
        assert sorted(look) == context.names, look


# Orders.


@given("a holder of a group of {count:d} ranks")
def _(context, count):
    holder_fakes.make_holder(context)
    context.names = [f"r{number}" for number in range(count)]
    context.group._members.by_name = {n: n for n in context.names}
    context.moments, context.got = [0], set()


@when("it sends an order to prepare {count:d} experts to each")
def _(context, count):
    places = count // len(context.names)
    table = tuple((tuple(range(places)),) for _ in context.names)
    order = rank.Prepare(7, table)
    waiting = []

    async def carry_out(member, order, *, fence, epoch):
        context.moments[-1] += count
        context.got.add(member)
        answer = defer.Deferred()
        waiting.append(answer)
        await answer
        return rank.Outcome.TAKEN, None

    context.group._reach = types.SimpleNamespace(order=carry_out)
    context.group._look_fence = context.group._fence
    orders = dict.fromkeys(context.names, order)
    defer.ensureDeferred(context.group._send(orders, 1))
    while waiting:
        context.moments.append(0)
        now, waiting[:] = list(waiting), []
        for answer in now:
            answer.callback(None)


@then(
    "at most {most:d} experts are named at a moment, and each rank has its "
    "order"
)
def _(context, most):
    assert max(context.moments) <= most, context.moments
    assert context.got == set(context.names), context.got
