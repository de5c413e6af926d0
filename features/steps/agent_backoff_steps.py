"""Steps on upstreams that request a backoff of their agents."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools

from behave import given, then, when
from reelscale_daemon.adapters import upstream

from features import agent_fakes


def _start(context):
    agent_fakes.start(context, capacity=9)
    context.attempts = (f"a{number}" for number in itertools.count())


def _submit(context):
    """Submit an attempt; return it with the decision of the gate."""
    request = agent_fakes.submission(next(context.attempts))
    return request, context.streams.decide(request)


def _answer(context, status, header):
    """Send the upstream's answer to an admitted request."""
    name, _, value = header.partition(": ")
    context.sink.head(upstream.Head(status, ((name, value),)))
    context.sink.end("", False)


@given('an agent whose upstream has answered {status:d} with "{header}"')
def _(context, status, header):
    _start(context)
    request, decision = _submit(context)
    assert decision.admitted, decision
    context.streams.start(request)
    context.sink = context.upstream.sink
    _answer(context, status, header)


@given(
    "an agent whose upstream has refused a request with a backoff of "
    "{seconds:d} s"
)
def _(context, seconds):
    _start(context)
    sinks = []
    for _ in range(2):
        request, decision = _submit(context)
        assert decision.admitted, decision
        context.streams.start(request)
        sinks.append(context.upstream.sink)
    context.sink, context.other_sink = sinks
    _answer(context, 503, f"Retry-After: {seconds}")


@when("the upstream requests a backoff of {seconds:g} s")
def _(context, seconds):
    context.sink = context.other_sink
    _answer(context, 503, f"Retry-After: {seconds}")


@then('an attempt after {seconds:g} s is refused as "{code}"')
def _(context, seconds, code):
    context.clock.advance(seconds - context.clock.now)
    _, decision = _submit(context)
    assert (decision.admitted, decision.code) == (False, code), decision


@then("an attempt after {seconds:g} s is admitted")
def _(context, seconds):
    context.clock.advance(seconds - context.clock.now)
    _, decision = _submit(context)
    assert decision.admitted, decision


@then("its gate is closed after {closed:g} s and open after {opened:g} s")
def _(context, closed, opened):
    gate = context.streams.gate
    assert not gate.accepts_work(closed)
    assert gate.accepts_work(opened)
