"""Steps on upstreams that want no requests for a while."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import time

from behave import given, then, when

from standins import fleet

COUNTS = {"one": 1, "two": 2, "three": 3}
# What was sent before the refusal was read may arrive this much later, in
# seconds, and be so many requests; both are stated by the platform.
ON_ITS_WAY_S = 0.5
ON_ITS_WAY = 2


@given('a fleet of {count} workers of "{service}"')
def _(context, count, service):
    workers = ((service, "a"),) * COUNTS[count]
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when('worker "{name}" sheds load and asks for {seconds:d} s without requests')
def _(context, name, seconds):
    context.asked_s = seconds
    context.cluster.shed(name, str(seconds))


@when('"{path}" is asked {rate:d} times a second for {seconds:g} s')
def _(context, path, rate, seconds):
    made = context.cluster
    method = "POST" if path.startswith("/chat") else "GET"
    began_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        asked = []
        for number in range(int(rate * seconds)):
            due = began_at + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            asked.append(threads.submit(made.ask, path, method=method))
        context.answers = [item.result() for item in asked]


@then(
    'nothing but what was on its way reaches "{name}" in the time it asked for'
)
def _(context, name):
    reached = context.cluster.worker(name)["reached"]
    arrivals = [row["at"] for row in reached if row["id"]]
    assert arrivals, "the worker was never asked"
    # Each refusal asks anew, the first one as well as any that follows.
    for at in arrivals:
        until = at + context.asked_s
        early = [x for x in arrivals if at + ON_ITS_WAY_S < x < until]
        assert len(early) <= ON_ITS_WAY, [round(x - at, 3) for x in early]


@then("all callers are served")
def _(context):
    failed = [row for row in context.answers if not row.is_success]
    assert not failed, failed
