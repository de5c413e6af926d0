"""Steps on which exchange is taken to be on a silent connection."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"


from behave import given, then, when
from reelscale_core import clock
from reelscale_daemon.exchange import liveness


class _Exchange:
    """What is looked at of a connection."""

    def __init__(self, address, opened_at, started_at):
        self.address = address
        self.opened_at = opened_at
        self.started_at = started_at


def _judge(context):
    context.clock = clock.FakeClock()
    context.since = []
    return liveness.Monitor(
        clock=context.clock, on_unresponsive=context.since.append
    )


def _set_time(context, at):
    context.clock.advance(at - context.clock.monotonic())


def _ending(context, at):
    """Return the addresses of the exchanges that end at a time."""
    _set_time(context, at)
    ended = [
        item for item in context.left if context.monitor.should_abort(item)
    ]
    context.left = [item for item in context.left if item not in ended]
    return [item.address for item in ended]


@given(
    "{count:d} exchanges with a peer that began at 0 s and one of another peer"
)
def _(context, count):
    context.monitor = _judge(context)
    context.left = [_Exchange("one", -1.0, 0.0) for _ in range(count)]
    context.left.append(_Exchange("other", -1.0, 0.0))


@then("at {at:f} s one exchange of each peer ends")
def _(context, at):
    assert _ending(context, at) == ["one", "other"]
    assert context.since == [0.0, 0.0], context.since


@then("at {at:f} s no other does")
def _(context, at):
    assert _ending(context, at) == []


@when("an answer begins at {at:f} s on a connection opened at {opened:f} s")
def _(context, at, opened):
    _set_time(context, at)
    context.monitor.record_first_byte(_Exchange("one", opened, opened))


@then("at {at:f} s all others of that peer end")
def _(context, at):
    assert set(_ending(context, at)) == {"one"}
    assert context.left == [], context.left


@given("a peer whose answers took {most} and {last:f} s to begin")
def _(context, most, last):
    context.monitor = _judge(context)
    for took_s in (*map(float, most.split(",")), last):
        _set_time(context, took_s)
        context.monitor.record_first_byte(_Exchange("one", 0.0, 0.0))


@then(
    "its answers may take {own:f} s to begin and those of others {usual:f} s"
)
def _(context, own, usual):
    assert abs(context.monitor.first_byte_timeout_s("one") - own) < 1e-6
    assert context.monitor.first_byte_timeout_s("other") == usual
