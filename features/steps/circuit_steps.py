"""Steps on the circuit breaker of an upstream."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when
from reelscale_core import circuit

STEP_S = 0.01


@given("an upstream with {count:d} requests in progress")
def _(context, count):
    context.count = count
    context.now = 100.0
    context.circuit = circuit.CLOSED


def _fail(context, count):
    for _ in range(count):
        context.circuit = circuit.failed(context.circuit, context.now)


def _wait_until_allowed(context):
    """Advance time until a request is allowed; return the seconds."""
    start = context.now
    while not circuit.allows(context.circuit, context.now):
        context.now += STEP_S
    return context.now - start


@when("all of them fail at once")
def _(context):
    _fail(context, context.count)


@when("{count:d} probes fail, each sent as soon as the circuit allows it")
def _(context, count):
    for _ in range(count):
        _wait_until_allowed(context)
        context.circuit = circuit.sent(context.circuit)
        _fail(context, 1)


@when(
    "{count:d} of them fail, a probe is sent, the others fail and the probe "
    "succeeds"
)
def _(context, count):
    _fail(context, count)
    _wait_until_allowed(context)
    context.circuit = circuit.sent(context.circuit)
    _fail(context, context.count - count)
    context.circuit = circuit.succeeded(context.circuit)


@then("the circuit allows a request after {seconds:g} s")
def _(context, seconds):
    waited_s = _wait_until_allowed(context)
    assert abs(waited_s - seconds) < 2 * STEP_S, waited_s
