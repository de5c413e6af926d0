"""Steps on upstreams whose entries expire during an outage of the store."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import then, when
from reelscale_daemon.controllers import directory

from standins import process

UNLISTED = "An upstream is no longer listed."
RECOVERED = "The list of upstreams can be read again."
# Maximum delay of a log line after its event, in seconds.
MAX_DELAY_S = 1.0


@when('the entries of "{one}" and "{other}" lapse while it is away')
def _(context, one, other):
    context.cluster.control(lapse=sorted({one, other}))


@when("the store is back")
def _(context):
    made = context.cluster
    made.control(down="")
    process.wait_for(
        lambda: any(row["text"] == RECOVERED for row in made.log_lines("f1")),
        "the list to be read again",
    )


@then('every request to "{path}" is served for {seconds:g} s')
def _(context, path, seconds):
    made = context.cluster
    end = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < end:
        statuses.append(made.ask(path).status_code)
    assert set(statuses) == {200}, statuses


@when('"{one}" and "{other}" announce themselves again')
def _(context, one, other):
    for name in (one, other):
        context.cluster.announce(name)


@then("they have done so for no longer than its entry could still come back")
def _(context):
    rows = context.cluster.log_lines("f1")
    (back,) = [row["time"] for row in rows if row["text"] == RECOVERED]
    (gone,) = [row["time"] for row in rows if row["text"] == UNLISTED]
    kept_s = gone - back
    most_s = directory.RELIST_GRACE_S + MAX_DELAY_S
    assert directory.RELIST_GRACE_S - MAX_DELAY_S < kept_s < most_s, kept_s
