"""Steps on ranks that restart while their layout is changed."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from behave import given, then, when
from reelscale_core import clock, demand, rank
from reelscale_daemon import rank_wire
from reelscale_daemon.controllers import rank_reports
from twisted.internet import defer

from features import holder_fakes

STARTED_MS = 1000


class Ranks(holder_fakes.Ranks):
    """Two ranks, of which one restarts after some orders.

    Attributes:
      unfenced: Orders to a start without a fence that had been reported to
        the holder.
      unprepared: Orders to arm for a layout that a reported start had not
        prepared; such an order is refused.
    """

    def __init__(self, name, after, *, has_start_time):
        super().__init__()
        self.unresponsive_queries = 0
        self.unfenced, self.unprepared = [], []
        self._name, self._remaining_orders, self._has_start_time = (
            name,
            after,
            has_start_time,
        )
        self._fenced = set()
        self._reported = {}
        for each, item in self.by_name.items():
            born_ms = STARTED_MS if has_start_time else None
            self.by_name[each] = item._replace(born_ms=born_ms)

    async def query_all(self):
        """Return all ranks; records that their starts were reported."""
        self._reported.update(self.by_name)
        return dict(self.by_name)

    async def order(self, member, order, *, fence, epoch):
        """Execute an order without checking its fence."""
        if isinstance(order, rank.Fence):
            self._fenced.add(member)
        elif member not in self._fenced and self._is_reported(member):
            self.unfenced.append((member, order))
        before = self.by_name[member]
        if isinstance(order, rank.Arm) and before.prepared != order.version:
            if self._is_reported(member):
                self.unprepared.append((member, order))
            self._reported[member] = before
            return rank.Outcome.REFUSED, before
        answer = await self._carry_out(member, order, fence, epoch)
        self._remaining_orders -= 1
        if self._remaining_orders == 0:
            self._restart()
            answer = answer[0], self.by_name[member]
        self._step()
        self._reported[member] = answer[1]
        return answer

    def _is_reported(self, member):
        """Return whether the current start was reported to the holder."""
        return self._reported[member].born_ms == self.by_name[member].born_ms

    async def _carry_out(self, member, order, fence, epoch):
        """Execute an order and answer it; no answer is lost."""
        match order:
            case rank.Hold(step=step):
                found = self.by_name[member]._replace(held=step)
            case rank.Disarm():
                found = self.by_name[member]._replace(armed=None)
            case _:
                return await super().order(
                    member, order, fence=fence, epoch=epoch
                )
        self.by_name[member] = found
        return rank.Outcome.TAKEN, found

    def _restart(self):
        """Reset everything but the group, as the restart of a rank does."""
        old = self.by_name[self._name]
        born_ms = old.born_ms + 5 if self._has_start_time else None
        fresh = rank.Rank(
            old.group, old.epoch, old.number, old.size, True, old.step, 0, 9
        )
        self.by_name[self._name] = fresh._replace(born_ms=born_ms)
        self._fenced.discard(self._name)

    def _step(self):
        """Begin the armed step once all are armed and none holds it."""
        rows = self.by_name.values()
        if all(r.armed for r in rows) and all(r.held is None for r in rows):
            for name, item in self.by_name.items():
                self.by_name[name] = item._replace(
                    version=item.armed.version,
                    step=item.armed.step,
                    armed=None,
                    prepared=None,
                )


def _holder(context, name, count, *, has_start_time):
    context.made = Ranks(name, count, has_start_time=has_start_time)
    holder_fakes.make_holder(context, context.made)


@given('a holder whose rank "{name}" restarts after {count:d} orders')
def _(context, name, count):
    _holder(context, name, count, has_start_time=True)


@given(
    'a holder whose rank "{name}" restarts without a start time after '
    "{count:d} orders"
)
def _(context, name, count):
    _holder(context, name, count, has_start_time=False)


@when("it changes the layout")
def _(context):
    context.group.acquire(1)
    defer.ensureDeferred(context.group.run())
    for _ in range(200):
        context.clock.advance(0.05)


@then("each order went to a start that refuses earlier holders")
def _(context):
    assert not context.made.unfenced, context.made.unfenced


@then("an order went to a start that does not refuse earlier holders")
def _(context):
    assert context.made.unfenced


@then("no rank was armed for a layout that it had not prepared")
def _(context):
    assert not context.made.unprepared, context.made.unprepared


@then("the layout is in use at all ranks")
def _(context):
    versions = {item.version for item in context.made.by_name.values()}
    assert len(versions) == 1 and 0 not in versions, context.made.by_name


# Counters and experts of ranks.


@when("a rank counts 100, restarts in its epoch and counts 130")
def _(context):
    found = demand.Demand()
    rows = ((100, 1000), (130, 1005))
    for at, (count, born_ms) in enumerate(rows):
        counted = {"r0": demand.Counters(1, (count,), born_ms)}
        found = demand.observed(found, counted, now=at, half_life_s=1)
    context.demand = found


@then("none of that counts as demand")
def _(context):
    assert not any(context.demand.recent), context.demand


@when("a rank whose experts are known restarts in its epoch")
def _(context):
    context.asked = []
    found = rank.Rank("g", 1, 0, 1, True, 5, 0, born_ms=STARTED_MS)
    context.report = rank_wire.RankReport(found, None, ((1,),))

    async def report(member, *, experts, counts=True):
        context.asked.append(experts)
        return (
            context.report
            if experts
            else context.report._replace(experts=None)
        )

    namespace = types.SimpleNamespace
    made = rank_reports.RankReports(
        clock=clock.FakeClock(),
        reach=namespace(report=report),
        members=namespace(by_name={"r0": "r0"}, group="g", one_group=True),
    )
    context.made = made
    for _ in range(2):
        defer.ensureDeferred(made.query_all())
    again = found._replace(born_ms=STARTED_MS + 5)
    context.report = rank_wire.RankReport(again, None, ((2,),))
    defer.ensureDeferred(made.query_all())


@then("its experts are requested in the next check")
def _(context):
    defer.ensureDeferred(context.made.query_all())
    assert context.asked == [True, False, False, True], context.asked
