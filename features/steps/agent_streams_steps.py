"""Steps on answers that agents hold until their entries fetch them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when

from standins import cluster

KILOBYTE = 1000
# What agents hold unless their settings say otherwise, in bytes; see
# buffer_bytes in settings.schema.json of reelscale_core.
USUAL_BYTES = 65536


def _services(context, held_bytes):
    """Start a hall with one service whose agent holds so many bytes."""
    made = cluster.Cluster(
        halls=("a",), engines=0, settings={"buffer_bytes": held_bytes}
    )
    context.cluster = made.__enter__()


@given("a cluster of its own whose agents hold up to 64 KB of an answer")
def _(context):
    _services(context, USUAL_BYTES)


@when("a caller asks a service for {size:d} KB")
def _(context, size):
    context.size = size * KILOBYTE
    text = "y" * context.size
    start = time.monotonic()
    context.answer = context.cluster.call(
        "e1a", "/echo", method="POST", body=text
    )
    context.seconds = time.monotonic() - start
    print(f"{size} KB took {context.seconds:.2f} s")


@then("the answer is whole within {limit:d} s")
def _(context, limit):
    assert len(context.answer.content) > context.size, context.answer
    assert context.seconds < limit, context.seconds
