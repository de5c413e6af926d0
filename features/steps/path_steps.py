"""Steps of end-to-end requests."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json

import httpx
from behave import then, when

from standins import cluster, engine


def _entry(context):
    return context.cluster.entries[0][0]


@when('a caller requests {count:d} tokens of "{prompt}" without streaming')
def _(context, count, prompt):
    context.answer = context.cluster.complete(_entry(context), prompt, count)


@when('a caller streams {count:d} tokens of "{prompt}"')
def _(context, count, prompt):
    made = context.cluster
    data = {"model": "m1", "prompt": prompt, "max_tokens": count}
    url = f"{made.http[_entry(context)]}/v1/completions"
    with httpx.stream(
        "POST", url, json={**data, "stream": True}, headers=made.headers()
    ) as answer:
        context.lines = [line for line in answer.iter_lines() if line]


@when('a caller chats "{text}" for {count:d} tokens')
def _(context, text, count):
    made = context.cluster
    messages = [{"role": "user", "content": text}]
    data = {"model": "m1", "messages": messages, "max_tokens": count}
    url = f"{made.http[_entry(context)]}/v1/chat/completions"
    context.answer = httpx.post(url, json=data, headers=made.headers())


@when('a caller calls the service with "{method}" "{path}" and body "{body}"')
def _(context, method, path, body):
    entry = _entry(context)
    context.answer = context.cluster.call(entry, path, method, body)


@when('a caller with the key "{key}" requests a completion')
def _(context, key):
    headers = {"authorization": f"Bearer {key}"}
    url = f"{context.cluster.http[_entry(context)]}/v1/completions"
    context.answer = httpx.post(url, json={"model": "m1"}, headers=headers)


@when('a caller requests the model "{name}"')
def _(context, name):
    made = context.cluster
    url = f"{made.http[_entry(context)]}/v1/completions"
    data = {"model": name, "prompt": "x"}
    context.answer = httpx.post(url, json=data, headers=made.headers())


@when("a caller sends a body of {size:d} MB")
def _(context, size):
    entry = _entry(context)
    body = "x" * (size << 20)
    context.answer = context.cluster.call(entry, "/big", "PUT", body)


@when("the status is requested with a caller's key")
def _(context):
    made = context.cluster
    url = f"{made.http[_entry(context)]}/operator/status"
    context.answer = httpx.get(url, headers=made.headers())


@when("every kind of change is planned but none confirmed")
def _(context):
    made = context.cluster
    context.before = _objects(made)
    agent = {"hall": "a", "agent": "127.0.0.1:1"}
    group = {"ranks": 2, "experts": 4, "slots_per_rank": 2}
    changes = [
        {"kind": "put-workspace", "name": "new", "key": "some-new-key"},
        {"kind": "put-service", "name": "new"},
        {"kind": "put-group", "name": "new", **group},
        {"kind": "put-upstream", "name": "new", "target": "codes", **agent},
        {"kind": "leave", "upstream": made.services[0][0]},
        {"kind": "set-role", "upstream": "m1a", "role": "standby"},
        {"kind": "set-model", "group": "m1", "model_version": "v9"},
        {"kind": "remove", "of": "workspace", "name": "bolt"},
    ]
    for change in changes:
        made.plan([change]).raise_for_status()


def _objects(made):
    with made.operator() as operator:
        kinds = ("workspaces", "services", "groups", "upstreams")
        return {
            kind: operator.get(f"/objects/{kind}").json() for kind in kinds
        }


@when("the operator plans and confirms a new model version")
def _(context):
    made = context.cluster
    context.version = max(made.layouts().values()) + 1
    change = {"kind": "set-model", "group": "m1", "model_version": "v2"}
    context.plan = made.plan([change]).json()["id"]
    context.answer = made.confirm(context.plan)
    context.offset = context.answer.json()["offset"]


@when("an intent with 3 errors is planned")
def _(context):
    changes = [
        {"kind": "leave", "upstream": "NOT A NAME"},
        {"kind": "remove", "of": "planet", "name": "x"},
        {"kind": "set-model", "group": "m1"},
    ]
    context.answer = context.cluster.plan(changes)


@then('the answer is {status:d} and has outcome "{outcome}"')
def _(context, status, outcome):
    assert context.answer.status_code == status, context.answer.text
    assert context.answer.headers["reelscale-outcome"] == outcome


@then('its code is "{code}"')
def _(context, code):
    kind = context.answer.headers["content-type"]
    assert kind == "application/problem+json", kind
    assert context.answer.json()["code"] == code, context.answer.text


@then('the text is that of {count:d} tokens of "{prompt}"')
def _(context, count, prompt):
    text = context.answer.json()["choices"][0]["text"]
    assert text == engine.expected(prompt, count), text


@then('the chat text is that of {count:d} tokens of "{prompt}"')
def _(context, count, prompt):
    message = context.answer.json()["choices"][0]["message"]
    assert message["content"] == engine.expected(prompt, count), message


@then('the stream is complete with the text of {count:d} tokens of "{prompt}"')
def _(context, count, prompt):
    assert context.lines[-1] == "data: [DONE]", context.lines[-1]
    events = [json.loads(line[6:]) for line in context.lines[:-1]]
    text = "".join(event["choices"][0]["text"] for event in events)
    assert text == engine.expected(prompt, count), text


@then('the service received "{method}" "{path}" with body "{body}"')
def _(context, method, path, body):
    run = context.answer.json()
    assert (run["method"], run["path"], run["body"]) == (method, path, body)
    assert run["workspace"] == "acme"


@then("the configuration is unchanged")
def _(context):
    assert _objects(context.cluster) == context.before
    assert set(context.cluster.layouts().values()) == {
        context.before["groups"]["m1"]["layout"]["version"]
    }


@then("it is in force at every process")
def _(context):
    context.cluster.wait_in_force(context.offset)


@then("every rank runs the next layout")
def _(context):
    context.cluster.wait_layout(context.version)


@then("confirming again returns the same offset")
def _(context):
    for entry, _ in context.cluster.entries:
        again = context.cluster.confirm(context.plan, entry)
        assert again.json()["offset"] == context.offset, again.text


@then("no step ran on two layouts")
def _(context):
    assert context.cluster.mixed_steps() == []


@then("it lists {count:d} errors with their paths")
def _(context, count):
    faults = context.answer.json()["faults"]
    places = {fault["path"].split("/")[2] for fault in faults}
    assert len(places) == count, faults
    assert all(fault["expected"] for fault in faults)


@then("the entry explains the request with its upstream")
def _(context):
    request = context.answer.headers["reelscale-request-id"]
    with context.cluster.operator() as operator:
        row = operator.get(f"/explain/{request}").json()
    assert row["outcome"] == "ran", row
    assert row["attempts"][0].startswith("m1"), row


@then("every process serves livez, readyz and metrics")
def _(context):
    made = context.cluster
    for name, url in made.http.items():
        # Under load, the first report of an agent may be late.
        cluster.wait_for(lambda name=name: made.ready(name), name)
        for path in ("livez", "metrics"):
            assert made.client.get(f"{url}/{path}").status_code == 200, url


@then('the metrics of an entry have histograms for workspace "{name}"')
def _(context, name):
    made = context.cluster
    text = made.client.get(f"{made.http[_entry(context)]}/metrics").text
    metric = "reelscale_request_seconds_bucket"
    lines = [row for row in text.splitlines() if row.startswith(metric)]
    assert any(f'workspace="{name}"' in line for line in lines), text


@when('the operator gives the first engine the role "{role}"')
def _(context, role):
    made = context.cluster
    context.engine = made.engines[0][0]
    change = {"kind": "set-role", "upstream": context.engine, "role": role}
    made.wait_in_force(made.change([change]))


@then('the engine has been ordered to the role "{role}"')
def _(context, role):
    made = context.cluster
    url = f"{made.upstream_http[context.engine]}/ledger"

    def ordered():
        roles = [
            order["role"]
            for order in made.client.get(url).json()["orders"]
            if order["kind"] == "role"
        ]
        return roles and roles[-1] == role

    cluster.wait_for(ordered, f"an order to the role {role}")


@then("{count:d} completions are all sent to other upstreams")
def _(context, count):
    made = context.cluster
    for number in range(count):
        answer = made.complete(_entry(context), f"role {number}")
        request = answer.headers["reelscale-request-id"]
        with made.operator() as operator:
            row = operator.get(f"/explain/{request}").json()
        assert row["outcome"] == "ran", row
        assert not row["attempts"][0].startswith(context.engine), row
