"""Steps on an agent that loses its lease during a check."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from unittest import mock

from behave import given, then, when
from reelscale_core import rank
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import group
from twisted.internet import defer

from features import holder_fakes

OUTCOMES = {item.name.lower(): item for item in rank.Outcome}
ABORTED = "Aborted a check of the group."


class _Ranks(holder_fakes.Ranks):
    """Ranks that delay the answer to one call until answer() is called."""

    def __init__(self, *, order="", query=0):
        super().__init__()
        self.unresponsive_queries = 0
        self.sent = []
        self.queries = 0
        self._order, self._query = order, query
        self.answers = []
        self.outcome = rank.Outcome.TAKEN

    async def query_all(self):
        self.queries += 1
        if self.queries == self._query:
            await self._wait()
        return await super().query_all()

    async def order(self, member, order, *, fence, epoch):
        kind = type(order).__name__.lower()
        self.sent.append((kind, member, fence))
        answer = await super().order(member, order, fence=fence, epoch=epoch)
        if kind != self._order or fence != 1:
            return answer
        await self._wait()
        taken = self.outcome == rank.Outcome.TAKEN
        return self.outcome, answer[1] if taken else None

    async def _wait(self):
        self.answers.append(defer.Deferred())
        await self.answers[-1]

    def answer(self):
        for pending in self.answers:
            pending.callback(None)


class _Engines:
    """Engines that delay the answer for their limits."""

    def __init__(self):
        self.requests = []

    async def limits(self, target):
        self.requests.append(defer.Deferred())
        await self.requests[-1]
        return base.EngineLimits(experts=2, places=2, spare=1)


def _run(context, ranks, engines=None, *, finish_only=False):
    """Run a holder until one of its calls is pending."""
    holder_fakes.make_holder(context, ranks, engines)
    watch = mock.patch.object(group.LOG, "warning")
    context.warned = watch.start()
    context.add_cleanup(watch.stop)
    context.ended, context.reacquired = [], False
    context.group.acquire(1, finish_only=finish_only)
    done = defer.ensureDeferred(context.group.run())
    done.addBoth(context.ended.append)
    context.clock.pump([0.1] * 20)
    assert not context.ended, context.ended
    context.before = list(ranks.sent)


@given("a holder that waits for the answer to its order to {order}")
def _(context, order):
    _run(context, _Ranks(order=order))
    assert context.ranks.answers, context.ranks.sent


@given("a holder whose query {nth:d} of its ranks is pending")
def _(context, nth):
    _run(context, _Ranks(query=nth))
    assert context.ranks.answers, context.ranks.sent


@given("a holder that waits for the limits")
def _(context):
    context.engines = _Engines()
    _run(context, _Ranks(), context.engines)
    assert context.engines.requests, context.ranks.sent


@given("an agent that completes a change and waits for an answer")
def _(context):
    ranks = _Ranks(order="fence")
    for name, item in ranks.by_name.items():
        held = 7 if name == "r1" else None
        ranks.by_name[name] = item._replace(prepared=9, held=held)
    _run(context, ranks, finish_only=True)
    assert ranks.answers, ranks.sent


@when("it is told to stop")
def _(context):
    context.group.stop()


@when("its lease is lost and the order was {outcome}")
def _(context, outcome):
    context.ranks.outcome = OUTCOMES[outcome]
    context.group.release()
    context.ranks.answer()
    context.clock.pump([0.1] * 20)


@when("its lease is lost and regained, and the order was {outcome}")
def _(context, outcome):
    context.ranks.outcome = OUTCOMES[outcome]
    context.group.release()
    context.group.acquire(2)
    context.reacquired = True
    context.ranks.answer()
    context.clock.pump([0.1] * 20)


@when("its lease is lost and the ranks answer")
def _(context):
    context.group.release()
    context.ranks.answer()
    context.clock.pump([0.1] * 20)


@when("its lease is lost and the limits are answered")
def _(context):
    context.group.release()
    for pending in context.engines.requests:
        pending.callback(None)
    context.clock.pump([0.1] * 20)


@then("it has sent no order after that")
def _(context):
    after = context.ranks.sent[len(context.before) :]
    assert not after, (after, context.ended)


@then("it has logged once that the check was aborted")
def _(context):
    logged = [c.args[0] for c in context.warned.call_args_list]
    assert logged.count(ABORTED) == 1, (logged, context.ended)


@then("it manages the group again under the next fence")
def _(context):
    assert not context.ended, context.ended
    if not context.reacquired:
        context.group.acquire(2)
    context.clock.pump([0.1] * 20)
    assert not context.ended, context.ended
    after = context.ranks.sent[len(context.before) :]
    fenced = {("fence", name, 2) for name in holder_fakes.RANKS}
    assert set(after[:2]) == fenced, after
    assert {fence for _, _, fence in after} == {2}, after
    _check_changed(context)


@then("the change is completed")
def _(context):
    assert not context.ended, context.ended
    assert {fence for _, _, fence in context.ranks.sent} == {1}
    _check_changed(context)


def _check_changed(context):
    """Check that no rank holds the group and all are armed for one change."""
    found = context.ranks.by_name.values()
    assert all(item.held is None for item in found), found
    armed = {item.armed for item in found}
    assert len(armed) == 1 and None not in armed, found


@then("its controller has ended without an error")
def _(context):
    assert context.ended == [None], context.ended
