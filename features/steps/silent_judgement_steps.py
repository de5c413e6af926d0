"""Steps on the detection of dead connections."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"


from behave import given, then, when
from reelscale_core import clock
from reelscale_daemon.exchange import liveness


class _Exchange:
    """Fake of a watched connection."""

    def __init__(self, address, opened_at, started_at):
        self.address = address
        self.opened_at = opened_at
        self.started_at = started_at


def _make_monitor(context):
    context.clock = clock.FakeClock()
    context.since = []
    return liveness.Monitor(
        clock=context.clock, on_unresponsive=context.since.append
    )


def _set_time(context, at):
    context.clock.advance(at - context.clock.monotonic())


def _aborted_at(context, at):
    """Return the addresses of the exchanges aborted at a time."""
    _set_time(context, at)
    aborted = [
        item
        for item in context.exchanges
        if context.monitor.should_abort(item)
    ]
    context.exchanges = [
        item for item in context.exchanges if item not in aborted
    ]
    return [item.address for item in aborted]


@given(
    "{count:d} exchanges with a peer that began at 0 s and one with another "
    "peer"
)
def _(context, count):
    context.monitor = _make_monitor(context)
    context.exchanges = [_Exchange("one", -1.0, 0.0) for _ in range(count)]
    context.exchanges.append(_Exchange("other", -1.0, 0.0))


@then("at {at:f} s one exchange with each peer is aborted")
def _(context, at):
    assert _aborted_at(context, at) == ["one", "other"]
    assert context.since == [0.0, 0.0], context.since


@then("at {at:f} s no other is aborted")
def _(context, at):
    assert _aborted_at(context, at) == []


@when("an answer begins at {at:f} s on a connection opened at {opened:f} s")
def _(context, at, opened):
    _set_time(context, at)
    context.monitor.record_first_byte(_Exchange("one", opened, opened))


@then("at {at:f} s all others with that peer are aborted")
def _(context, at):
    assert set(_aborted_at(context, at)) == {"one"}
    assert context.exchanges == [], context.exchanges


@given("a peer whose first bytes took {most} and {last:f} s")
def _(context, most, last):
    context.monitor = _make_monitor(context)
    for took_s in (*map(float, most.split(",")), last):
        _set_time(context, took_s)
        context.monitor.record_first_byte(_Exchange("one", 0.0, 0.0))


@then(
    "its first-byte time-out is {own:f} s and that of other peers {usual:f} s"
)
def _(context, own, usual):
    assert abs(context.monitor.first_byte_timeout_s("one") - own) < 1e-6
    assert context.monitor.first_byte_timeout_s("other") == usual
