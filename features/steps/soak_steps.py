"""Steps on the soak of all faults."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when

from standins import soak_platform

SEED = 1
# Entries that rely on their neighbours alone break the bound on it.
SILENT_SEED = 3


@when("a seeded soak of all faults runs for {seconds:d} s")
def _(context, seconds):
    context.broken = soak_platform.run(SEED, seconds)


@when("a seeded soak of silent connections runs for {seconds:d} s")
def _(context, seconds):
    shape = soak_platform.SILENT
    context.broken = soak_platform.run(SILENT_SEED, seconds, shape)


@then("it breaks no rule")
def _(context):
    assert not context.broken, context.broken
