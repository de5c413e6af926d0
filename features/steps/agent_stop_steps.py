"""Steps on an agent that stops while one of its calls is pending."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import datetime
import math
import sys
import types
from unittest import mock

from behave import given, then, when
from reelscale_core import clock
from reelscale_daemon import process, rank_agent
from reelscale_daemon.controllers import lease_keeper
from twisted.internet import defer, task

from features import holder_fakes

# Minimum time that a stop leaves to close connections, in seconds.
MIN_CLOSE_S = 0.5


# The lease.


class _Lease:
    """A lease whose renewals stay pending until the test answers them."""

    def __init__(self):
        self.calls = []
        self.renewals = []

    def renew(self):
        self.calls.append("renew")
        self.renewals.append(defer.Deferred())
        return self.renewals[-1]

    async def leave(self):
        self.calls.append("leave")

    async def draw_fence(self):
        return 1


class _LocalRank:
    """The first rank of a group without a change in progress."""

    async def report(self, *, counts, experts):
        state = types.SimpleNamespace(
            size=4, number=0, prepared=None, held=None, open=True
        )
        state.epoch = state.step = 1
        return types.SimpleNamespace(rank=state)


class _Group:
    """A group that does nothing."""

    holds = False

    limits = None

    async def learn_limits(self):
        """Return at once, or wait until the test answers the limits."""
        if self.limits is not None:
            await self.limits

    def release(self):
        """Do nothing."""

    def acquire(self, fence, **_):
        """Do nothing."""


def _make_keeper(context):
    context.group = _Group()
    context.clock, context.lease = task.Clock(), _Lease()
    context.keeper = lease_keeper.LeaseKeeper(
        reactor=context.clock,
        clock=clock.FakeClock(),
        lease_for=lambda _: context.lease,
        local_rank=_LocalRank(),
        group=context.group,
        members=types.SimpleNamespace(
            following=False, group="g", record_local_rank=lambda _: None
        ),
    )


@given("a lease keeper with a pending renewal")
def _(context):
    _make_keeper(context)
    context.keeper.start()
    context.clock.advance(lease_keeper.NON_CANDIDATE_POLL_S)
    assert context.lease.calls == ["renew"], context.lease.calls


@when("the lease keeper is stopped")
def _(context):
    context.stopped = defer.ensureDeferred(context.keeper.stop())


@then("the lease is released only after the renewal has been answered")
def _(context):
    assert context.lease.calls == ["renew"], context.lease.calls
    context.lease.renewals[0].callback(True)
    context.clock.advance(lease_keeper.RENEW_S)
    assert context.lease.calls == ["renew", "leave"], context.lease.calls


@given("a lease keeper that reads the limits before its renewal")
def _(context):
    _make_keeper(context)
    context.group.limits = defer.Deferred()
    context.keeper.start()
    context.clock.advance(lease_keeper.NON_CANDIDATE_POLL_S)
    assert not context.lease.calls, context.lease.calls


@when("the limits are answered")
def _(context):
    context.group.limits.callback(None)
    context.clock.advance(lease_keeper.NON_CANDIDATE_POLL_S)


@then("the lease has been released and not renewed")
def _(context):
    assert context.lease.calls == ["leave"], context.lease.calls


# A change in progress at the stop of its holder.


@given("a holder whose order to hold the group is executed but not answered")
def _(context):
    holder_fakes.make_holder(context)


@given("a holder whose order to hold the group is executed {seconds:g} s late")
def _(context, seconds):
    holder_fakes.make_holder(context)
    made = context.ranks

    def later(member, state):
        context.clock.callLater(
            seconds, made.by_name.__setitem__, member, state
        )

    made.execute = later


@given(
    "a holder whose ranks stop responding after its order to hold the group"
)
def _(context):
    holder_fakes.make_holder(context)
    context.ranks.unresponsive_queries = math.inf


@when("the holder is stopped meanwhile")
def _(context):
    context.ranks.on_hold = context.group.stop
    context.group.acquire(1)
    context.ended = []
    done = defer.ensureDeferred(context.group.run())
    done.addBoth(context.ended.append)
    done.addBoth(lambda _: context.ended.append(context.clock.seconds()))
    context.clock.pump([0.1] * 100)


@then("no rank is held once its controller has ended")
def _(context):
    assert context.ended[:1] == [None], context.ended
    held = [r for r in context.ranks.by_name.values() if r.held is not None]
    assert not held, held


@then("its controller has ended within {limit:d} s")
def _(context, limit):
    assert context.ended[:1] == [None], context.ended
    assert context.ended[1] < limit, context.ended


# The complete agent.

ADAPTER = "features_agent_stop_adapter"


def _make_agent(reactor, grace):
    """Create an agent with an adapter that reaches nothing."""
    lease = _Lease()
    parts = types.SimpleNamespace(
        port_for=lambda _: None,
        roster=None,
        engines=holder_fakes.Engines(),
        lease_for=lambda _: lease,
    )
    module = types.ModuleType(ADAPTER)
    module.make_agent = lambda **_: parts
    settings = types.SimpleNamespace(
        adapter=ADAPTER,
        peer="127.0.0.1:1",
        engine="http://127.0.0.1:2",
        target="g",
        grace=grace,
    )
    with mock.patch.dict(sys.modules, {ADAPTER: module}):
        return rank_agent.RankAgent(reactor=reactor, settings=settings), lease


def _make_stopping_agent(context, seconds, looking):
    context.clock = task.Clock()
    grace = datetime.timedelta(seconds=seconds)
    context.agent, lease = _make_agent(context.clock, grace)
    context.released_at = None

    async def leave():
        context.released_at = context.clock.seconds()

    lease.leave = leave
    listener = context.agent._listener
    listener.clock = types.SimpleNamespace(monotonic=context.clock.seconds)
    listener._stopping_since = 0.0
    context.agent._looking = looking
    context.within = []

    async def close(*, within):
        context.within.append(within)
        return process.Unfinished(0, 0)

    listener.close_connections = close


@given(
    "an agent with a grace time of {seconds:d} s whose group controller "
    "never ends"
)
def _(context, seconds):
    _make_stopping_agent(context, seconds, defer.Deferred())


@given(
    "an agent with a grace time of {seconds:d} s whose group controller "
    "has failed"
)
def _(context, seconds):
    _make_stopping_agent(context, seconds, defer.fail(ValueError("broken")))


@when("the agent is stopped and {seconds:d} s have passed")
@when("the agent is stopped and {seconds:d} s has passed")
def _(context, seconds):
    with mock.patch.object(rank_agent.LOG, "warning") as warning:
        defer.ensureDeferred(context.agent.stop())
        context.clock.pump([0.1] * (seconds * 10))
    context.warnings = warning.call_args_list


@then("its lease was released while it had time to close its connections")
def _(context):
    assert context.released_at is not None, "the lease was not released"
    (within,) = context.within
    assert within.total_seconds() >= MIN_CLOSE_S, (within, context.released_at)


@then("its log names the step that timed out")
def _(context):
    (warning,) = context.warnings
    assert "step" in warning.kwargs, warning
