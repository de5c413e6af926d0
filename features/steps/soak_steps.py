"""Steps on the soak of all faults."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when

from standins import soak_platform

SEED = 1


@when("a seeded soak of all faults runs for {seconds:d} s")
def _(context, seconds):
    context.broken = soak_platform.run(SEED, seconds)


@then("it breaks no rule")
def _(context):
    assert not context.broken, context.broken
