"""Steps on the configuration during outages of the platform."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import threading
import time

from behave import given, then, when

from features import config_calls as calls
from standins import cluster, load


@given(
    "a cluster of its own with engines 0 and snapshots every {count:d} records"
)
def _(context, count):
    settings = {"snapshot_every": count}
    context.cluster = cluster.Cluster(engines=0, settings=settings)
    context.cluster.__enter__()


@when(
    "{count:d} pairs of conflicting plans are confirmed concurrently from two "
    "halls"
)
def _(context, count):
    made = context.cluster
    entries = [name for name, _ in made.entries]
    context.pairs = []
    for number in range(count):
        plans = [
            made.plan(
                [calls.put_weight("raced", number * 2 + side + 1)], entry
            )
            for side, entry in enumerate(entries)
        ]
        ids = [plan.json()["id"] for plan in plans]
        for entry in entries:
            _wait_planned(made, entry, ids)
        answers = [None, None]

        def confirm(side, ids=ids, answers=answers):
            answers[side] = made.confirm(ids[side], entries[side])

        threads = [
            threading.Thread(target=confirm, args=(side,)) for side in (0, 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        context.pairs.append(answers)


def _wait_planned(made, entry, ids):
    def planned():
        with made.operator(entry) as operator:
            return all(
                operator.get(f"/plans/{item}").is_success for item in ids
            )

    cluster.wait_for(planned, f"plans at {entry}")


@then("of each pair exactly one is accepted")
def _(context):
    for pair in context.pairs:
        codes = sorted(answer.status_code for answer in pair)
        assert codes == [200, 409], [answer.text for answer in pair]


@then("the error of the refused plan names the conflicting object")
def _(context):
    for pair in context.pairs:
        refused = next(a for a in pair if a.status_code == 409)
        assert refused.json()["code"] == "conflict", refused.text
        assert "workspace/raced" in refused.json()["detail"], refused.text


@then("all processes reach the same configuration")
def _(context):
    made = context.cluster
    last = max(
        answer.json()["offset"]
        for pair in context.pairs
        for answer in pair
        if answer.status_code == 200
    )
    made.wait_in_force(last)
    seen = []
    for entry, _ in made.entries:
        with made.operator(entry) as operator:
            seen.append(operator.get("/objects/workspaces").json())
    assert seen[0] == seen[1]


@when("the log loses the answer of a plan and of its confirmation")
def _(context):
    made = context.cluster
    made.platform(lose_answers=1)
    plan = made.plan([calls.put_weight("lost", 5)])
    assert plan.is_success, plan.text
    before = made.platform()["appends"]
    made.platform(lose_answers=1)
    context.answer = made.confirm(plan.json()["id"])
    context.appended = made.platform()["appends"] - before


@then("the plan is still accepted, exactly once")
def _(context):
    assert context.answer.is_success, context.answer.text
    assert context.appended == 1, context.appended


@when("an operator confirms while the log is down")
def _(context):
    made = context.cluster
    context.plan = made.plan([calls.put_weight("down", 5)]).json()["id"]
    made.platform(down=True)
    time.sleep(0.3)
    start = time.monotonic()
    with load.Load(
        [lambda: calls.call(made, 0), lambda: calls.call(made, 1)]
    ) as run:
        context.answer = made.confirm(context.plan)
    context.seconds = time.monotonic() - start
    context.results = run.told


@then(
    "the answer comes within {seconds:d} s and says that the outcome is "
    "unknown"
)
def _(context, seconds):
    assert context.answer.status_code == 503, context.answer.text
    assert context.answer.headers["reelscale-outcome"] == "unknown"
    assert context.answer.headers["retry-after"]
    assert context.seconds < seconds, context.seconds


@then("callers are served throughout")
def _(context):
    counts = load.outcomes(context.results)
    assert set(counts) == {"ran"}, counts


@then("confirming the same plan once the log is back is accepted")
def _(context):
    context.cluster.platform(down=False)
    answer = context.cluster.confirm(context.plan)
    assert answer.is_success, answer.text


@when("an entry restarts without state while the log is down")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    context.offset = made.offset(entry)
    calls.set_peers(made, entry, [made.entries[1][0]])
    made.platform(down=True)
    calls.restart(made, entry)


@then("it is ready at the offset of its peers")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    cluster.wait_for(lambda: made.ready(entry), f"{entry} to be ready")
    assert made.offset(entry) >= context.offset


@then("it serves callers")
def _(context):
    made = context.cluster
    cluster.wait_for(lambda: calls.call(made, 0).outcome == "ran", "an answer")


@when("an entry restarts without state and reaches neither log nor peers")
def _(context):
    made = context.cluster
    made.platform(down=True)
    calls.restart(made, made.entries[0][0])
    time.sleep(4.0)


@then("it is not ready and refuses requests as not run")
def _(context):
    made = context.cluster
    assert not made.ready(made.entries[0][0])
    result = calls.call(made, 0)
    assert (result.status, result.outcome) == (503, "not-run"), result
    assert result.retry_after


@when(
    "{count:d} changes are made and the log keeps only the last {kept:d} "
    "records"
)
def _(context, count, kept):
    made = context.cluster
    for number in range(count):
        context.offset = made.change([calls.put_weight("often", number + 1)])
    cluster.wait_for(lambda: _has_snapshot(made), "a snapshot in the log", 20)
    log = made.platform(keep=kept)
    assert log["oldest"] > 0, log


def _has_snapshot(made):
    url = f"{made.platform_url}/log/records?from=0&wait=0&limit=100000"
    rows = made.client.get(url).json()["records"]
    snapshots = [at for at, row in rows if row["kind"] == "snapshot"]
    return snapshots and snapshots[-1] > len(rows) - 20


@then("an entry that restarts without state reaches the same offset")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    calls.restart(made, entry)
    cluster.wait_for(lambda: made.ready(entry), f"{entry} to be ready")
    assert made.offset(entry) >= context.offset
    with made.operator(entry) as operator:
        rows = operator.get("/objects/workspaces").json()
    assert rows["often"]["weight"] == 40, rows
