"""Steps on configuration under outages of the platform and cut halls."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import signal
import threading
import time

from behave import given, then, when

from standins import cluster, load


@given(
    "a cluster of its own with engines 0 and snapshots every {count:d} records"
)
def _(context, count):
    settings = {"snapshot_every": count}
    context.cluster = cluster.Cluster(engines=0, settings=settings)
    context.cluster.__enter__()


def _weight(name, weight):
    row = {"name": name, "key": f"key-of-{name}", "targets": ["codes"]}
    return {"kind": "put-workspace", "weight": weight, **row}


@when(
    "{count:d} pairs of conflicting plans are confirmed at once from two halls"
)
def _(context, count):
    made = context.cluster
    entries = [name for name, _ in made.entries]
    context.pairs = []
    for number in range(count):
        plans = [
            made.plan([_weight("raced", number * 2 + side + 1)], entry)
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
    def known():
        with made.operator(entry) as operator:
            return all(
                operator.get(f"/plans/{item}").is_success for item in ids
            )

    cluster.wait_for(known, f"plans at {entry}")


@then("of each pair exactly one is accepted")
def _(context):
    for pair in context.pairs:
        codes = sorted(answer.status_code for answer in pair)
        assert codes == [200, 409], [answer.text for answer in pair]


@then("the loser's error names what overtook it")
def _(context):
    for pair in context.pairs:
        loser = next(a for a in pair if a.status_code == 409)
        assert loser.json()["code"] == "conflict", loser.text
        assert "workspace/raced" in loser.json()["detail"], loser.text


@then("all processes come to the same configuration")
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
    plan = made.plan([_weight("lost", 5)])
    assert plan.is_success, plan.text
    before = made.platform()["appends"]
    made.platform(lose_answers=1)
    context.answer = made.confirm(plan.json()["id"])
    context.appended = made.platform()["appends"] - before


@then("the plan is accepted all the same, once")
def _(context):
    assert context.answer.is_success, context.answer.text
    assert context.appended == 1, context.appended


@when("an operator confirms while the log is down")
def _(context):
    made = context.cluster
    context.plan = made.plan([_weight("down", 5)]).json()["id"]
    made.platform(down=True)
    time.sleep(0.3)
    start = time.monotonic()
    with load.Load([lambda: _serve(made, 0), lambda: _serve(made, 1)]) as run:
        context.answer = made.confirm(context.plan)
    context.seconds = time.monotonic() - start
    context.told = run.told


def _serve(made, number):
    return load.send(made, made.entries[number][0], path="/free")


@then(
    "the answer comes within {seconds:d} s and says that the outcome is "
    "unknown"
)
def _(context, seconds):
    assert context.answer.status_code == 503, context.answer.text
    assert context.answer.headers["reelscale-outcome"] == "unknown"
    assert context.answer.headers["retry-after"]
    assert context.seconds < seconds, context.seconds


@then("callers are served all the while")
def _(context):
    counts = load.outcomes(context.told)
    assert set(counts) == {"ran"}, counts


@then("confirming the same plan once the log is back is accepted")
def _(context):
    context.cluster.platform(down=False)
    answer = context.cluster.confirm(context.plan)
    assert answer.is_success, answer.text


def _restart(made, name):
    made.processes[name].kill()
    made.processes[name].start()
    cluster.wait_for(lambda: made._live(name), name)


@when("an entry restarts with nothing while the log is down")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    context.offset = made.offset(entry)
    _give_peers(made, entry, [made.entries[1][0]])
    made.platform(down=True)
    _restart(made, entry)


def _give_peers(made, name, peers):
    """Put peers to ask into a process's settings file."""
    import json

    path = made.dir / f"{name}.json"
    data = json.loads(path.read_text())
    data["peers"] = [made.peer[peer] for peer in peers]
    path.write_text(json.dumps(data))


@then("it is ready at the offset of its peers")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    cluster.wait_for(lambda: made.ready(entry), f"{entry} to be ready")
    assert made.offset(entry) >= context.offset


@then("it serves callers")
def _(context):
    made = context.cluster
    cluster.wait_for(lambda: _serve(made, 0).outcome == "ran", "an answer")


@when("an entry restarts with nothing and can ask nobody")
def _(context):
    made = context.cluster
    made.platform(down=True)
    _restart(made, made.entries[0][0])
    time.sleep(4.0)


@then("it is not ready and refuses callers as not run")
def _(context):
    made = context.cluster
    assert not made.ready(made.entries[0][0])
    told = _serve(made, 0)
    assert (told.status, told.outcome) == (503, "not-run"), told
    assert told.retry_after


@when(
    "{count:d} changes are made and the log keeps only the last {kept:d} "
    "records"
)
def _(context, count, kept):
    made = context.cluster
    for number in range(count):
        context.offset = made.change([_weight("often", number + 1)])
    cluster.wait_for(lambda: _has_snapshot(made), "a snapshot in the log", 20)
    log = made.platform(keep=kept)
    assert log["oldest"] > 0, log


def _has_snapshot(made):
    url = f"{made.platform_url}/log/records?from=0&wait=0&limit=100000"
    rows = made.client.get(url).json()["records"]
    found = [at for at, row in rows if row["kind"] == "snapshot"]
    return found and found[-1] > len(rows) - 20


@then("an entry that restarts with nothing comes to the same offset")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    _restart(made, entry)
    cluster.wait_for(lambda: made.ready(entry), f"{entry} to be ready")
    assert made.offset(entry) >= context.offset
    with made.operator(entry) as operator:
        rows = operator.get("/objects/workspaces").json()
    assert rows["often"]["weight"] == 40, rows


def _in_hall(made, hall):
    names = [*made.entries, *made.engines, *made.services]
    return [name for name, where in names if where == hall]


@when('hall "{hall}" is cut off from the other hall and the platform')
def _(context, hall):
    made = context.cluster
    context.before = made.offsets()
    inside = _in_hall(made, hall)
    outside = [name for name in made.http if name not in inside]
    for name in inside:
        made.cut(name, outside, platform=True)
    for name in outside:
        made.cut(name, inside)


@when('the operator changes something in hall "{hall}"')
def _(context, hall):
    made = context.cluster
    entry = next(n for n in _in_hall(made, hall) if n in dict(made.entries))
    context.offset = made.change([_weight("meanwhile", 3)], entry)


@then("callers in both halls are served")
def _(context):
    for number in range(len(context.cluster.entries)):
        told = [_serve(context.cluster, number) for _ in range(10)]
        counts = load.outcomes(told)
        assert counts.get("ran", 0) >= 9, counts
        assert set(counts) <= {"ran", "not-run"}, counts


@then('hall "{hall}" is behind but has not reverted')
def _(context, hall):
    made = context.cluster
    offsets = made.offsets()
    for name in _in_hall(made, hall):
        assert context.before[name] <= offsets[name] < context.offset, name


@then("it catches up within {seconds:d} s of the end of the cut")
def _(context, seconds):
    made = context.cluster
    for name in made.http:
        made.cut(name, [])
    made.wait_in_force(context.offset, seconds)


@when('all processes of hall "{hall}" restart while the log is down')
def _(context, hall):
    made = context.cluster
    context.hall = hall
    context.offset = made.offset(made.entries[0][0])
    inside = _in_hall(made, hall)
    other = [name for name, where in made.entries if where != hall]
    for name in inside:
        _give_peers(made, name, other)
    made.platform(down=True)
    for name in inside:
        made.processes[name].kill()
    for name in inside:
        made.processes[name].start()
    for name in inside:
        cluster.wait_for(lambda name=name: made.ready(name), name)


@then('hall "{hall}" serves callers again on the same offset')
def _(context, hall):
    made = context.cluster
    number = [where for _, where in made.entries].index(hall)
    cluster.wait_for(
        lambda: _serve(made, number).outcome == "ran", "an answer"
    )
    for name in _in_hall(made, hall):
        assert made.offset(name) >= context.offset, name


@when("every entry and agent is stopped and started again in turn under load")
def _(context):
    made = context.cluster
    context.fell = []
    context.lost = []
    names = [name for name, _ in [*made.entries, *made.services]]
    for name in names:
        before = made.offsets()
        others = [n for n, (e, _) in enumerate(made.entries) if e != name]
        with load.Load([lambda o=o: _serve(made, o) for o in others]) as run:
            made.processes[name].stop()
            made.processes[name].start()
            cluster.wait_for(lambda name=name: made.ready(name), name)
        after = made.offsets()
        context.fell += [n for n in before if after[n] < before[n]]
        context.lost += [r for r in run.told if r.outcome != "ran"]


@when("an agent is back and the other one stops {count:d} times over")
def _(context, count):
    """Stop an agent right when the other knows its configuration again."""
    made = context.cluster
    one, other = (name for name, _ in made.services)
    context.lost = []
    for number in range(count):
        back, stopped = (one, other) if number % 2 else (other, one)
        made.processes[back].kill()
        cluster.wait_for(lambda: _serve(made, 0).outcome == "ran", "the rest")
        made.processes[back].start()
        cluster.wait_for(lambda back=back: made.ready(back), back)
        made.processes[stopped].signal(signal.SIGTERM)
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            context.lost.append(_serve(made, 0))
        made.processes[stopped].popen.wait(20)
        made.processes[stopped].start()
        for name in (back, stopped):
            cluster.wait_for(lambda name=name: made.ready(name), name)


@then("no caller was refused")
def _(context):
    refused = [row for row in context.lost if row.outcome != "ran"]
    assert refused == [], (len(refused), len(context.lost), refused[:2])


@when(
    "nobody has called for {idle:d} s and an agent starts {seconds:d} s "
    "before its upstream"
)
def _(context, idle, seconds):
    made = context.cluster
    time.sleep(idle)
    context.name = made.services[0][0]
    upstream = made.processes[f"service-{context.name}"]
    upstream.kill()
    made.processes[context.name].kill()
    made.processes[context.name].start()
    time.sleep(seconds)
    upstream.start()


@then(
    "the agent is ready within {seconds:d} s of its upstream though nobody "
    "calls"
)
def _(context, seconds):
    made = context.cluster
    cluster.wait_for(lambda: made.ready(context.name), context.name, seconds)


@then("no offset went down")
def _(context):
    assert context.fell == [], context.fell


@then("no caller lost an answer")
def _(context):
    assert context.lost == [], context.lost[:3]
