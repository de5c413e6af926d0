"""Steps on the circuit breaker of an upstream."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when
from reelscale_core import circuit, error

from features.models import platform_probes as probes

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


@when("a probe is sent, an earlier request fails, and another probe is sent")
def _(context):
    _wait_until_allowed(context)
    context.first_probe = context.circuit.open_until
    context.circuit = circuit.sent(context.circuit)
    _fail(context, 1)
    _wait_until_allowed(context)
    context.circuit = circuit.sent(context.circuit)


@when("the first probe ends without a verdict")
def _(context):
    context.circuit = circuit.abandoned(
        context.circuit, context.first_probe, context.now
    )


@then("the circuit allows no request")
def _(context):
    assert not circuit.allows(context.circuit, context.now + 60)


@given("an entry and an upstream whose circuit is open")
def _(context):
    context.world = probes.World()


@when("the probe is a request and {way}")
def _(context, way):
    context.later = context.world.play(way, "a request")


@when("the probe is an idempotent request and {way}")
def _(context, way):
    context.later = context.world.play(way, "an idempotent request")


@then("a request that comes 1.5 s later is served")
def _(context):
    assert not context.world.faults, context.world.faults
    assert context.later.outcome == "ran", context.later


@given(
    "an entry whose list is unreadable and an upstream that has just failed"
)
def _(context):
    world = context.world = probes.World()
    # Each read of the list would wake the queue.
    down = error.CodedError("log-down", step="read")
    world.listing.store.failing = [down] * 1000
    world.pass_time(1.0)
    world.fail_upstream()


@then("it is sent 1 s after the failure")
def _(context):
    context.world.pass_time(circuit.INITIAL_OPEN_S + 0.1)
    assert context.asked.attempts, context.asked
