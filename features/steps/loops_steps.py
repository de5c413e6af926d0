"""Steps on loops whose work fails with unexpected errors."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import re
import types

from behave import given, then, when
from reelscale_core import clock, error
from reelscale_daemon import metrics
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import config as configs
from reelscale_daemon.controllers import (
    follower,
    lease_keeper,
    members,
    reach,
    usage,
)
from twisted.internet import defer, task

from features import holder_fakes, log_lines, platform_directory

FAULT = "Unexpected error in a loop; it continues."


class Work:
    """Work that fails a given number of times.

    Attributes:
      done: Number of successful calls.
      failed: Number of failed calls.
      fails: Number of calls that are still to fail.
      raises: The error of a failed call.
    """

    def __init__(self, result):
        self.done = self.failed = 0
        self.fails = 0
        self.raises = AttributeError("an error of the test")
        self._result = result

    async def __call__(self, *_, **__):
        """Do the work."""
        return self.once()

    def once(self, *_, **__):
        """Do the work, without waiting."""
        if self.fails:
            self.fails -= 1
            self.failed += 1
            raise self.raises
        self.done += 1
        return self._result()


def _list(context):
    listing = platform_directory.Listing()
    context.reactor, context.clock = listing.reactor, listing.clock
    page = base.RosterPage([], 1)
    context.work = Work(lambda: page)
    listing.directory._roster = types.SimpleNamespace(read=context.work)
    return listing.directory.progress


def _config(context, listeners=()):
    """Return a configuration that reads its log from the fake work."""
    made = configs.Config(
        reactor=context.reactor,
        clock=context.clock,
        platform=types.SimpleNamespace(read=context.work),
        links=None,
        peers=(),
        snapshot_every=1 << 30,
    )
    for listener in listeners:
        made.listen(listener)
    return made


async def _later(context, rows):
    await task.deferLater(context.reactor, 0.1)
    return rows


def _configuration(context):
    rows = base.Rows([], 0, 0)
    context.work = Work(lambda: rows)
    made = _config(context)

    async def slowly(*_, **__):
        return await _later(context, await context.work())

    made._platform.read = slowly
    defer.ensureDeferred(made.run())
    return made.progress


def _members(context):
    page = base.RosterPage([], 1)
    context.work = Work(lambda: page)

    async def slowly(*_, **__):
        return await _later(context, await context.work())

    made = members.Members(
        reactor=context.reactor,
        clock=context.clock,
        roster=types.SimpleNamespace(read=slowly),
        target="g",
        local=reach.Member("10.0.0.1:1", "10.0.0.1:2"),
    )
    made.following = True
    defer.ensureDeferred(made.run())
    return made.progress


def _group(context):
    ranks = holder_fakes.Ranks()
    holder_fakes.make_holder(context, ranks)
    context.reactor = context.clock
    context.clock = context.group.progress._clock
    context.work = Work(dict)
    ranks.query_all = context.work
    context.group.acquire(1)
    defer.ensureDeferred(context.group.run())
    return context.group.progress


def _keeper(context, *, renew, tell):
    found = holder_fakes.Ranks().by_name["r0"]
    told = types.SimpleNamespace(rank=found)
    given = types.SimpleNamespace
    context.work = Work(lambda: told if tell else True)

    async def well(*_, **__):
        return told

    async def held():
        return True

    async def nothing():
        return None

    made = lease_keeper.LeaseKeeper(
        reactor=context.reactor,
        clock=context.clock,
        lease_for=lambda _: given(renew=context.work if renew else held),
        local_rank=given(report=context.work if tell else well),
        group=given(
            learn_limits=nothing,
            release=lambda: None,
            holds=True,
            acquire=None,
        ),
        members=given(
            following=False, group="g", record_local_rank=lambda _: None
        ),
    )
    made._candidate_index = 0
    made.start()
    return made.progress[1 if tell else 0]


def _usage(context):
    context.work = Work(dict)
    made = platform_directory.make_usage(
        context.reactor, context.clock, counts=context.work.once
    )
    made._loop.start(usage.SEND_INTERVAL_S)
    return made.progress


def _timer(context):
    context.work = Work(lambda: None)
    made = follower.Timer(
        reactor=context.reactor,
        clock=context.clock,
        name="timer",
        function=context.work,
    )
    made.start(0.5)
    return made.progress


LOOPS = {
    "list": _list,
    "configuration": _configuration,
    "members": _members,
    "group": _group,
    "lease": lambda context: _keeper(context, renew=True, tell=False),
    "own rank": lambda context: _keeper(context, renew=False, tell=True),
    "usage": _usage,
    "timer": _timer,
}


def _pass(context, seconds):
    for _ in range(round(seconds / 0.05)):
        context.clock.advance(0.05)
        context.reactor.advance(0.05)


@given('the loop "{name}"')
def _(context, name):
    log_lines.keep(context)
    context.reactor, context.clock = task.Clock(), clock.FakeClock()
    context.progress = LOOPS[name](context)
    _pass(context, 3)
    assert context.work.done, "the loop did no work"


@when("its work fails {count:d} times with an unexpected error")
def _(context, count):
    context.count = context.work.fails = count
    _pass(context, 40)


@then("it still does its work, and has logged the error within {most:d} lines")
def _(context, most):
    assert context.work.failed == context.count, context.work.failed
    done = context.work.done
    _pass(context, 10)
    assert context.work.done > done, "the loop has ended"
    logged = [r for r in context.lines.rows if r.sentence == FAULT]
    assert 1 <= len(logged) <= most, len(logged)
    assert "an error of the test" in logged[0].fields["reason"], logged[0]


@then("the metrics count {count:d} faults of it")
def _(context, count):
    made = metrics.Metrics()
    made.set_progress([context.progress])
    text = made.text()[0].decode()
    (faults,) = re.findall(r"loop_faults\{.*\} (\S+)", text)
    (age_s,) = re.findall(r"age_seconds\{.*\} (\S+)", text)
    assert float(faults) == count and float(age_s) < 5, text


@when("its work fails for {seconds:d} s with an unexpected error")
def _(context, seconds):
    context.work.fails = 1 << 30
    _pass(context, seconds)


@when("its work fails for {seconds:d} s because the store is down")
def _(context, seconds):
    context.work.raises = error.CodedError("log-down", step="read")
    context.work.fails = 1 << 30
    _pass(context, seconds)


@then("it counts as stuck until its work succeeds")
def _(context):
    assert context.progress.stuck
    context.work.fails = 0
    _pass(context, 11)
    assert not context.progress.stuck


@then("it does not count as stuck")
def _(context):
    assert not context.progress.stuck


# Listeners of a configuration.


@given("a configuration with a listener that fails and one that works")
def _(context):
    context.reactor, context.clock = task.Clock(), clock.FakeClock()
    context.received = []

    def fail(_):
        raise AttributeError("an error of the test")

    row = (0, None)
    context.work = Work(lambda: base.Rows([row], 0, 1))
    context.made = _config(context, [fail, context.received.append])


@when("a new version is read")
def _(context):
    defer.ensureDeferred(context.made._read(0.0))


@then("the working listener has received it")
def _(context):
    (state,) = context.received
    assert state.offset == 0, state
