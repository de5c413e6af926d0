"""Steps on what is believed before a machine is suspended."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from behave import then, when
from reelscale_core import (
    announcement,
    circuit,
    lease,
    rate_limit,
)
from reelscale_daemon import metrics
from reelscale_daemon.controllers import backoffs, suspects, usage
from reelscale_daemon.controllers import view as views
from reelscale_daemon.exchange import pool
from reelscale_daemon.filters import context as contexts
from twisted.internet import task

from features import machine_clocks
from features.models import suspects as suspects_model

# Each of these sets something up that is believed, and returns a function
# that tells whether it still is.


def _lease(clocks):
    held = lease.Held("g", 1, clocks.monotonic() + 3.0)
    return lambda: lease.usable(held, clocks.monotonic())


def _request(clocks):
    asked = types.SimpleNamespace(answer_deadline=clocks.monotonic() + 1.0)
    given = types.SimpleNamespace(clock=clocks)
    return lambda: contexts.Context.remaining_s(given, asked) > 0


def _peer(clocks):
    made = usage.Usage(
        reactor=task.Clock(),
        clock=clocks,
        name="f1",
        incarnation="i",
        address="127.0.0.1:9",
        peers=(),
        counts=dict,
        peer="127.0.0.1:8",
        offset=lambda: 0,
        roster_offset=lambda: 0,
    )
    made._peers["f2"] = usage.Peer(
        name="f2",
        incarnation="i",
        number=1,
        counts={},
        received_at=clocks.monotonic(),
        address="127.0.0.2",
    )
    made._update_entries()

    def heard():
        made._broadcast()
        return len(made.entries.reachable) == 2

    return heard


def _view(clocks):
    item = announcement.Announcement("u", "llm", "127.0.0.1:1", "a", 6)
    return views.View(upstream=item)


def _load(clocks):
    view = _view(clocks)
    load = announcement.Load(6, 3, 6)
    view.record_load(load, clocks.monotonic(), remote_in_flight=0)
    return lambda: (
        view.candidate(
            clocks.monotonic(), remote_in_flight=0, waiting=0
        ).running
        > 0
    )


def _refusal(clocks):
    view = _view(clocks)
    view.refused_at = clocks.monotonic()
    return lambda: (
        view.candidate(
            clocks.monotonic(), remote_in_flight=0, waiting=0
        ).refused
    )


def _backoff(clocks):
    made = backoffs.Backoffs(
        reactor=task.Clock(),
        clock=clocks,
        metrics=metrics.Metrics(),
        on_expired=lambda: None,
    )
    start = announcement.Start("u", None)
    made.record_backoff(start, 3.0)
    return lambda: made.blocks(start)


def _circuit(clocks):
    found = circuit.CLOSED
    for _ in range(circuit.FAILURES_TO_OPEN):
        found = circuit.failed(found, clocks.monotonic())
    return lambda: not circuit.allows(found, clocks.monotonic())


def _idle(clocks):
    made = pool.Pool(reactor=task.Clock(), clock=clocks)
    kept = types.SimpleNamespace(
        usable=True, address="a:1", kept_s=4.0, abort=lambda: None
    )
    made.release(kept)
    return lambda: made._pop_idle("a:1", None) is kept


def _conviction(clocks):
    made = suspects.Suspects(
        reactor=None,
        clock=clocks,
        evidence=None,
        on_update=lambda: None,
    )
    asked = suspects_model.Caller(1, guilty=True).call()
    for number in range(2):
        start = announcement.Start(f"u{number}", None)
        made._record_crash(start, [suspects.Loss(asked, 1)])
    return lambda: made.convicted_s(asked) > 0


BELIEFS = {
    "a lease of 3 s": _lease,
    "1 s left for a request": _request,
    "an entry that was heard": _peer,
    "an upstream's load": _load,
    "an upstream's refusal": _refusal,
    "a backoff of 3 s": _backoff,
    "an open circuit": _circuit,
    "a connection that was idle": _idle,
    "a conviction": _conviction,
}


@when("the machine is suspended for {seconds:g} s with {belief}")
def _(context, seconds, belief):
    clocks = machine_clocks.Clocks()
    context.believed = BELIEFS[belief](clocks)
    assert BELIEFS[belief](machine_clocks.Clocks())(), (
        "it is not believed to begin with"
    )
    clocks.suspend(seconds)


@then("{belief} no longer counts")
def _(context, belief):
    assert not context.believed(), belief


@when(
    "the bucket of a limit of 1 request a second is empty for {seconds:g} s "
    "of suspension"
)
def _(context, seconds):
    clocks = machine_clocks.Clocks()
    empty = rate_limit.Bucket(0.0, clocks.monotonic())
    clocks.suspend(seconds)
    context.bucket = rate_limit.refilled(empty, 1.0, clocks.monotonic())


@then("one request may go, and not more")
def _(context):
    assert rate_limit.wait_s(context.bucket, 1.0) == 0
    assert rate_limit.wait_s(rate_limit.debited(context.bucket), 1.0) > 0
