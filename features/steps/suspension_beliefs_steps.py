"""Steps on state that expires during a suspension of the machine."""

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
from reelscale_daemon.controllers import (
    backoffs,
    crash_checks,
    suspects,
    usage,
)
from reelscale_daemon.controllers import view as views
from reelscale_daemon.exchange import pool
from reelscale_daemon.filters import context as contexts
from twisted.internet import task

from features import machine_clocks, platform_directory
from features.models import suspects as suspects_model

# Each of these sets up state and returns a predicate: whether it is in effect.


def _lease(clocks):
    held = lease.Held("g", 1, clocks.monotonic() + 3.0)
    return lambda: lease.usable(held, clocks.monotonic())


def _request(clocks):
    asked = types.SimpleNamespace(answer_deadline=clocks.monotonic() + 1.0)
    given = types.SimpleNamespace(clock=clocks)
    return lambda: contexts.Context.remaining_s(given, asked) > 0


def _peer(clocks):
    controller = platform_directory.make_usage(task.Clock(), clocks)
    controller._peers["f2"] = usage.Peer(
        name="f2",
        incarnation="i",
        number=1,
        counts={},
        received_at=clocks.monotonic(),
        address="127.0.0.2",
        peer="127.0.0.2:1",
    )
    controller._update_entries()

    def is_reachable():
        controller._broadcast()
        return len(controller.entries.reachable) == 2

    return is_reachable


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
    controller = backoffs.Backoffs(
        reactor=task.Clock(),
        clock=clocks,
        metrics=metrics.Metrics(),
        on_expired=lambda: None,
    )
    start = announcement.Start("u", None)
    controller.record_backoff(start, 3.0)
    return lambda: controller.blocks(start)


def _circuit(clocks):
    breaker = circuit.CLOSED
    for _ in range(circuit.FAILURES_TO_OPEN):
        breaker = circuit.failed(breaker, clocks.monotonic())
    return lambda: not circuit.allows(breaker, clocks.monotonic())


def _idle(clocks):
    controller = pool.Pool(reactor=task.Clock(), clock=clocks)
    idle = types.SimpleNamespace(
        usable=True,
        address="a:1",
        opened_at=clocks.monotonic(),
        keep_alive_s=4.0,
        has_carried=lambda _request_id: False,
        is_silent=lambda: True,
        abort=lambda: None,
    )
    controller.release(idle)
    return lambda: controller._pop_idle("a:1", None, "") is idle


def _conviction(clocks):
    controller = suspects.Suspects(
        reactor=None,
        clock=clocks,
        evidence=None,
        on_update=lambda: None,
    )
    asked = suspects_model.Caller(1, crashing=True).call()
    for number in range(2):
        start = announcement.Start(f"u{number}", None)
        controller._record_crash(start, [crash_checks.Loss(asked, 1)])
    return lambda: controller.convicted_s(asked) > 0


STATES = {
    "a lease of 3 s": _lease,
    "a deadline in 1 s": _request,
    "a reachable entry": _peer,
    "an upstream's load": _load,
    "an upstream's refusal": _refusal,
    "a backoff of 3 s": _backoff,
    "an open circuit": _circuit,
    "an idle connection": _idle,
    "a conviction": _conviction,
}


@when("the machine is suspended for {seconds:g} s with {state}")
def _(context, seconds, state):
    clocks = machine_clocks.Clocks()
    context.in_effect = STATES[state](clocks)
    assert STATES[state](machine_clocks.Clocks())(), (
        "not in effect before the suspension"
    )
    clocks.suspend(seconds)


@then("{state} has expired")
def _(context, state):
    assert not context.in_effect(), state


@when(
    "the bucket of a limit of 1 request per second is empty before a "
    "suspension of {seconds:g} s"
)
def _(context, seconds):
    clocks = machine_clocks.Clocks()
    empty = rate_limit.Bucket(0.0, clocks.monotonic())
    clocks.suspend(seconds)
    context.bucket = rate_limit.refilled(empty, 1.0, clocks.monotonic())


@then("exactly one request may be sent")
def _(context):
    assert rate_limit.wait_s(context.bucket, 1.0) == 0
    assert rate_limit.wait_s(rate_limit.debited(context.bucket), 1.0) > 0
