"""Steps on an agent that stops while a call of its own is on its way."""

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

# What a stop keeps for its connections at least, in seconds, here: peers and
# probes are answered within half of it.
CLOSES_S = 0.5


# The lease.


class _Lease:
    """A lease whose renewals are answered when a test says so."""

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


class _Own:
    """A rank that is the first of a group at rest."""

    async def report(self, *, counts, experts):
        found = types.SimpleNamespace(
            size=4, number=0, prepared=None, held=None, open=True
        )
        found.epoch = found.step = 1
        return types.SimpleNamespace(rank=found)


class _Group:
    """A group that does nothing."""

    holds = False

    limits = None

    async def learn_limits(self):
        """Know the limits, or wait for them."""
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
        local_rank=_Own(),
        group=context.group,
        members=types.SimpleNamespace(
            following=False, group="g", record_local_rank=lambda _: None
        ),
    )


@given("a keeper of a lease whose renewal is on its way")
def _(context):
    _make_keeper(context)
    context.keeper.start()
    context.clock.advance(lease_keeper.NON_CANDIDATE_POLL_S)
    assert context.lease.calls == ["renew"], context.lease.calls


@when("the keeper is told to stop")
def _(context):
    context.stopped = defer.ensureDeferred(context.keeper.stop())


@then("the lease is left only after the renewal has been answered")
def _(context):
    assert context.lease.calls == ["renew"], context.lease.calls
    context.lease.renewals[0].callback(True)
    context.clock.advance(lease_keeper.RENEW_S)
    assert context.lease.calls == ["renew", "leave"], context.lease.calls


@given("a keeper of a lease that asks for the limits before its renewal")
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


@then("the lease has been left and not renewed")
def _(context):
    assert context.lease.calls == ["leave"], context.lease.calls


# A change in progress at the stop of its holder.


@given(
    "a holder whose order to hold the group is carried out but not answered"
)
def _(context):
    holder_fakes.make_holder(context)


@given(
    "a holder whose order to hold the group is carried out {seconds:g} s late"
)
def _(context, seconds):
    holder_fakes.make_holder(context)
    made = context.ranks

    def later(member, found):
        context.clock.callLater(
            seconds, made.by_name.__setitem__, member, found
        )

    made.carry_out = later


@given("a holder whose order to hold the group is followed by silence")
def _(context):
    holder_fakes.make_holder(context)
    context.ranks.silent_looks = math.inf


@when("the holder is told to stop meanwhile")
def _(context):
    context.ranks.on_hold = context.group.stop
    context.group.acquire(1)
    context.ended = []
    done = defer.ensureDeferred(context.group.run())
    done.addBoth(context.ended.append)
    done.addBoth(lambda _: context.ended.append(context.clock.seconds()))
    context.clock.pump([0.1] * 100)


@then("no rank is held once its work has ended")
def _(context):
    assert context.ended[:1] == [None], context.ended
    held = [r for r in context.ranks.by_name.values() if r.held is not None]
    assert not held, held


@then("its work has ended within {limit:d} s")
def _(context, limit):
    assert context.ended[:1] == [None], context.ended
    assert context.ended[1] < limit, context.ended


# The whole agent.

ADAPTER = "features_agent_stop_adapter"


def _make_agent(reactor, grace):
    """Make an agent on an adapter that reaches nothing."""
    lease = _Lease()
    parts = types.SimpleNamespace(
        port_for=lambda _: None,
        roster=None,
        engines=holder_fakes.Engines(),
        lease_for=lambda _: lease,
    )
    module = types.ModuleType(ADAPTER)
    module.make_agent = lambda **_: parts
    given = types.SimpleNamespace(
        adapter=ADAPTER,
        peer="127.0.0.1:1",
        engine="http://127.0.0.1:2",
        target="g",
        grace=grace,
    )
    with mock.patch.dict(sys.modules, {ADAPTER: module}):
        return rank_agent.RankAgent(reactor=reactor, settings=given), lease


def _make_stopping(context, seconds, looking):
    context.clock = task.Clock()
    grace = datetime.timedelta(seconds=seconds)
    context.agent, lease = _make_agent(context.clock, grace)
    context.left_at = None

    async def leave():
        context.left_at = context.clock.seconds()

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
    "an agent with a grace time of {seconds:d} s whose work at the group "
    "never ends"
)
def _(context, seconds):
    _make_stopping(context, seconds, defer.Deferred())


@given(
    "an agent with a grace time of {seconds:d} s whose work at the group "
    "has failed"
)
def _(context, seconds):
    _make_stopping(context, seconds, defer.fail(ValueError("broken")))


@when("the agent is told to stop and {seconds:d} s have passed")
@when("the agent is told to stop and {seconds:d} s has passed")
def _(context, seconds):
    with mock.patch.object(rank_agent.LOG, "warning") as told:
        defer.ensureDeferred(context.agent.stop())
        context.clock.pump([0.1] * (seconds * 10))
    context.warnings = told.call_args_list


@then("its lease was left while it had time to close its connections")
def _(context):
    assert context.left_at is not None, "the lease was not left"
    (within,) = context.within
    assert within.total_seconds() >= CLOSES_S, (within, context.left_at)


@then("its log names the step that was given up")
def _(context):
    (told,) = context.warnings
    assert "step" in told.kwargs, told
