"""Steps on the path of a request through an entry to a worker."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import string
import time

import httpx
import hypothesis
from behave import then, when
from hypothesis import strategies
from reelscale_core import route

from features import platform_clients as clients
from standins import fleet


@then('the worker saw "{method}" "{path}" with the body "{body}"')
def _(context, method, path, body):
    run = clients.only_run(context)
    assert (run["method"], run["path"]) == (method, path), run
    assert run["body"] == body, run


@then('the worker saw the header "{name}" "{value}"')
def _(context, name, value):
    headers = clients.only_run(context)["headers"]
    assert headers.get(name.lower()) == value, headers


@then('the worker saw no header "{name}"')
def _(context, name):
    headers = clients.only_run(context)["headers"]
    assert name.lower() not in headers, headers


@then("the worker was asked by its own id")
def _(context):
    run = clients.only_run(context)
    assert run["headers"]["expect-instance"] == run["by"], run


@then("the worker was handed no more time than the client has")
def _(context):
    handed = int(clients.only_run(context)["headers"]["deadline-ms"])
    # The route's time is shorter than what the client states.
    assert 0 < handed <= 4000, handed


@when("{count:d} generated requests are sent")
def _(context, count):
    made = context.cluster
    context.sent = []
    plain = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@%"
    segment = strategies.text(plain, max_size=12).filter(
        lambda text: "%" not in text
    )
    value = strategies.text(
        string.ascii_letters + string.digits + " ,;=/", max_size=30
    ).map(str.strip)

    @hypothesis.settings(clients.GENERATED, max_examples=count)
    @hypothesis.given(
        strategies.lists(segment, max_size=3),
        segment,
        strategies.binary(max_size=3000),
        value.filter(bool),
    )
    def send(parts, query, body, header):
        path = "/push/z/" + "/".join(parts) + f"?{query}"
        headers = {**made.headers(), "X-Made": header}
        # A client of its own: others tidy the path up before they send it.
        conn = made.connect()
        clients.send(conn, headers, path, body)
        status = conn.getresponse().status
        conn.close()
        sent = headers["Request-Id"]
        context.sent.append((sent, status, path, body, header))

    send()


@then("each worker saw each just as it was sent")
def _(context):
    by_id = {run["id"]: run for run in context.cluster.ledger()}
    assert len(context.sent) >= 30, len(context.sent)
    for sent, status, path, body, header in context.sent:
        assert status == 200, (status, path)
        run = by_id[sent]
        assert run["path"] == path, (run["path"], path)
        assert run["body"].encode("latin-1") == body
        assert run["headers"]["x-made"] == header


@when('a client sends with the second key and the header "Tenant" "{name}"')
def _(context, name):
    key = f"Bearer {fleet.OTHER_KEY}"
    clients.ask(context, "/push/x", body=b"b", Tenant=name, Authorization=key)


@when('a client sends to "{path}" with the key "{key}" and the host "{host}"')
def _(context, path, key, host):
    key = f"Bearer {key}"
    clients.ask(context, path, body=b"b", Authorization=key, Host=host)


@when('a client sends to "{path}" with the key "" and the host "{host}"')
def _(context, path, host):
    clients.ask(context, path, body=b"b", Authorization="", Host=host)


@then("the answer has status {status:d} after the time of the longer prefix")
def _(context, status):
    assert context.answer.status_code == status, context.answer
    # The longer prefix has 0.3 s, the shorter 4 s.
    assert 0.25 < context.seconds < 3.0, context.seconds


@when("{count:d} request ids are split {first:d} to {second:d}")
def _(context, count, first, second):
    shares = (route.Share("one", first), route.Share("two", second))
    split = route.Route("r", "h", "/", route.SAFE, shares, timeout_s=1.0)
    ids = [f"{number:016x}" for number in range(count)]
    context.targets = [route.target(split, item) for item in ids]
    context.again = [route.target(split, item) for item in ids]


@then("9 in 10 go to the first share, give or take 2 in 100")
def _(context):
    part = context.targets.count("one") / len(context.targets)
    assert 0.88 < part < 0.92, part


@then("each id goes the same way again")
def _(context):
    assert context.targets == context.again


def _accepted(context):
    made = context.cluster
    return sum(made.worker(name)["accepted"] for name in made.workers)


@when("{count:d} requests are sent one after the other")
def _(context, count):
    made = context.cluster
    before = _accepted(context)
    for _ in range(count):
        assert made.ask("/push/x").is_success
    context.accepted = _accepted(context) - before


@then("the workers have taken at most {count:d} new connections for them")
def _(context, count):
    # The ledger's own client keeps its connections too.
    assert context.accepted <= count, context.accepted


@when("{count:d} clients ask at the same time")
def _(context, count):
    made = context.cluster
    url = f"http://{made.http['f1']}/read/x"

    def ask(_):
        headers = made.headers()
        answer = httpx.get(url, headers=headers, timeout=30)
        return headers["Request-Id"], answer

    with concurrent.futures.ThreadPoolExecutor(32) as threads:
        context.answers = list(threads.map(ask, range(count)))


@then("every answer that is a success is the client's own")
def _(context):
    good = [row for row in context.answers if row[1].status_code == 200]
    assert len(good) > len(context.answers) // 2, len(good)
    for sent, answer in good:
        assert answer.text == f"whole answer of {sent}", answer.text
    for _, answer in context.answers:
        assert answer.status_code in (200, 503, 429), answer


@then("it is refused at once with 503 and a time to come back")
def _(context):
    assert context.answer.status_code == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0
    # At once is well before the second in which the route wants an answer.
    assert context.seconds < 0.9, context.seconds


@when("nothing is asked of the entry for {seconds:d} s")
def _(context, seconds):
    before = sum(context.cluster.control()["calls"].values())
    time.sleep(seconds)
    context.calls = sum(context.cluster.control()["calls"].values()) - before


@then("it made at most {count:d} calls to the store")
def _(context, count):
    assert 0 <= context.calls <= count, context.calls
