"""Steps on an entry that serves the platform: path and answers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import http.client
import json
import string
import time

import httpx
import hypothesis
from behave import given, then, when
from hypothesis import strategies
from reelscale_core import route

from standins import fleet, process

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@given("a shared fleet")
def _(context):
    if "cluster" not in context.holder:
        context.holder["cluster"] = fleet.Fleet().__enter__()
    context.cluster = context.holder["cluster"]


@given("a fleet of its own")
def _(context):
    context.cluster = fleet.Fleet().__enter__()


@given("a fleet of its own without workers")
def _(context):
    context.cluster = fleet.Fleet(workers=()).__enter__()


@given("a fleet of its own with {count:d} entries")
def _(context, count):
    context.cluster = fleet.Fleet(entries=count).__enter__()


@given("a fleet of its own with full workers")
def _(context):
    """Fill every place that an entry gives the one worker there is."""
    made = fleet.Fleet(workers=(("push", "a"),)).__enter__()
    context.cluster = made
    context.open = []
    for _ in range(FILLED):
        conn = made.connect()
        _send(conn, made.headers(), "/push/mute")
        context.open.append(conn)
    process.wait_for(
        lambda: len(made.ledger("push")) >= FILLED, "a full worker"
    )


# Requests that an entry lets a worker of 6 slots have.
FILLED = 6


def _send(conn, headers, path, body=b"once", method="POST"):
    conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
    for name, value in headers.items():
        conn.putheader(name, value)
    conn.putheader("Content-Length", str(len(body)))
    conn.endheaders(body)


EXTRA = {
    "Model": "m",
    "Token_Count": "1460,80",
    "Prompt_Prefix": "5c1e07a2:800,91bd3f06:410",
}


@when('a client sends "{method}" "{path}" with the body "{body}"')
def _(context, method, path, body):
    _ask(context, path, method, body.encode())


@when('a client sends "{method}" "{path}" with the body ""')
def _(context, method, path):
    _ask(context, path, method, b"")


def _ask(context, path, method="POST", body=b"", **headers):
    made = context.cluster
    start = time.monotonic()
    headers = {**EXTRA, **headers}
    context.answer = made.ask(path, method=method, body=body, **headers)
    context.seconds = time.monotonic() - start
    context.id = context.answer.request.headers["request-id"]


def _run(context):
    runs = context.cluster.runs_of(context.id)
    assert len(runs) == 1, runs
    return runs[0]


@then("the answer is the worker's own, with status {status:d}")
def _(context, status):
    answer = context.answer
    assert answer.status_code == status, answer
    assert answer.text == f"whole answer of {context.id}", answer.text
    assert answer.headers["request-id"] == context.id
    assert answer.headers["response-stamp"].startswith("stamp-w")


@then('the worker saw "{method}" "{path}" with the body "{body}"')
def _(context, method, path, body):
    run = _run(context)
    assert (run["method"], run["path"]) == (method, path), run
    assert run["body"] == body, run


@then('the worker saw the header "{name}" "{value}"')
def _(context, name, value):
    headers = _run(context)["headers"]
    assert headers.get(name.lower()) == value, headers


@then('the worker saw no header "{name}"')
def _(context, name):
    headers = _run(context)["headers"]
    assert name.lower() not in headers, headers


@then("the worker was asked by its own id")
def _(context):
    run = _run(context)
    assert run["headers"]["expect-instance"] == run["by"], run


@then("the worker was handed no more time than the client has")
def _(context):
    handed = int(_run(context)["headers"]["deadline-ms"])
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

    @hypothesis.settings(SETTINGS, max_examples=count)
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
        _send(conn, headers, path, body)
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
    _ask(context, "/push/x", body=b"b", Tenant=name, Authorization=key)


@when('a client sends to "{path}" with the key "{key}" and the host "{host}"')
def _(context, path, key, host):
    key = f"Bearer {key}"
    _ask(context, path, body=b"b", Authorization=key, Host=host)


@when('a client sends to "{path}" with the key "" and the host "{host}"')
def _(context, path, host):
    _ask(context, path, body=b"b", Authorization="", Host=host)


@then("the answer has status {status:d} and no worker ran it")
def _(context, status):
    assert context.answer.status_code == status, context.answer
    assert "response-stamp" not in context.answer.headers
    assert context.cluster.runs_of(context.id) == []


@then("the answer has status {status:d}")
def _(context, status):
    assert context.answer.status_code == status, context.answer


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


@then("at most {count:d} workers ran it")
def _(context, count):
    runs = context.cluster.runs_of(context.id)
    assert 1 <= len(runs) <= count, runs


@then("{count:d} workers ran it")
def _(context, count):
    runs = context.cluster.runs_of(context.id)
    assert len({run["by"] for run in runs}) == count, runs


@then("it ran {count:d} times")
def _(context, count):
    # Whatever was to run later would have been sent by now.
    assert len(context.cluster.runs_of(context.id)) == count


@when(
    "{count:d} requests follow each other on one connection, each with a "
    "surplus"
)
def _(context, count):
    made = context.cluster
    conn = made.connect()
    context.pairs = []
    for number in range(count):
        headers = made.headers()
        path = "/push/extra" if number % 2 else "/push/extra-late"
        _send(conn, headers, path)
        answer = conn.getresponse()
        context.pairs.append((headers["Request-Id"], answer.read()))
        # A late surplus comes 20 ms after its answer.
        time.sleep(0.01 * (number % 4))


@then("each answer is the request's own")
def _(context):
    for sent, body in context.pairs:
        assert body in (f"whole answer of {sent}".encode(), b""), body
    whole = [body for _, body in context.pairs if body]
    assert len(whole) >= len(context.pairs) // 2, len(whole)


@when('a client sends a body of {size:d} bytes to "{path}"')
def _(context, size, path):
    _ask(context, path, body=b"y" * size)


@then("the next request on that connection to the worker is read as sent")
def _(context):
    _ask(context, "/push/x", body=b"after")
    assert context.answer.status_code == 200, context.answer
    assert _run(context)["body"] == "after"


@when('the address of worker "{name}" is announced under another id')
def _(context, name):
    made = context.cluster
    made.withdraw(name)
    service, _ = made.workers[name]
    made.workers["elsewhere"] = made.workers[name]
    made.address["elsewhere"] = made.address[name]
    made.announce("elsewhere")
    del made.workers["elsewhere"]
    _wait_listed(made, "elsewhere")


def _wait_listed(made, name):
    def listed():
        return any(
            row.get("name") == name and "listed" in row["text"]
            for row in made.log_lines("f1")
        )

    process.wait_for(listed, f"{name} to be listed")


@then('requests to "{path}" run at "{name}" alone')
def _(context, path, name):
    _run_at(context, path, name)


def _run_at(context, path, name):
    made = context.cluster
    for _ in range(8):
        _ask(context, path, body=b"b")
        assert context.answer.status_code == 200, context.answer
        runs = made.runs_of(context.id)
        assert [run["by"] for run in runs] == [name], runs


@then('requests to "{path}" run at "{name}" alone within {seconds:d} s')
def _(context, path, name, seconds):
    time.sleep(seconds)
    _run_at(context, path, name)


@then("the answer has {size:d} bytes")
def _(context, size):
    assert context.answer.content == b"x" * size, len(context.answer.content)


@when('a client streams "{path}"')
def _(context, path):
    _ask(context, path, body=b"prompt")


@when('a client streams "{path}" from event {last:d} on')
def _(context, path, last):
    _ask(context, path, body=b"prompt", Last_Event_Id=str(last))


def events(text):
    """Return the data of the events of a stream."""
    rows = [row for row in text.split("\n") if row.startswith("data:")]
    return [row.removeprefix("data:").strip() for row in rows]


@then("the stream has every event once, in order, and ends whole")
def _(context):
    assert context.answer.status_code == 200, context.answer
    assert events(context.answer.text) == fleet.STREAM, context.answer.text


@then("the head is that of the first worker")
def _(context):
    runs = context.cluster.runs_of(context.id)
    first = next(r for r in runs if "last-event-id" not in r["headers"])
    stamp = context.answer.headers["response-stamp"]
    assert stamp == f"stamp-{first['by']}", (stamp, runs)


@then("the stream has the events from {first:d} on")
def _(context, first):
    assert events(context.answer.text) == fleet.STREAM[first - 1 :]


@when('a client streams "{path}" and leaves after the first event')
def _(context, path):
    made = context.cluster
    headers = made.headers()
    context.id = headers["Request-Id"]
    conn = made.connect()
    _send(conn, headers, path)
    answer = conn.getresponse()
    assert answer.readline().startswith(b"id: 1")
    answer.close()
    conn.close()
    context.left_at = time.monotonic()


@then(
    "the worker sees the stream's connection close within {seconds:f} s of it"
)
def _(context, seconds):
    made = context.cluster

    def closed():
        return any(
            context.id in made.worker(name)["cancelled"]
            for name in made.workers
        )

    # The stream itself would last another 2 s.
    process.wait_for(closed, "the stream to be closed", 1.5)


@given("a fleet of one group of {count:d} workers that all refuse")
def _(context, count):
    workers = (("llm", "a"),) * count
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when("{count:d} streams are asked for one after the other")
def _(context, count):
    made = context.cluster
    context.answers = [made.ask("/chat/shed") for _ in range(count)]


@then("all are refused as not run, most without asking a worker")
def _(context):
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {503}, statuses
    made = context.cluster
    asked = sum(made.worker(name)["shed"] for name in made.workers)
    # The first two find it out with two attempts each; then one in 0.25 s.
    assert asked < len(context.answers) // 2, asked


@then("they are told to come back after a third of their time")
def _(context):
    after = float(context.answers[-1].headers["retry-after"])
    # The route allows 4 s.
    assert 1.0 < after <= 4.0 / 3, after


@when("the group takes work again")
def _(context):
    made = context.cluster
    for name in made.workers:
        made.set_faulty(name, False)


@then("a stream is served within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    process.wait_for(
        lambda: made.ask("/chat/shed").is_success, "a stream", seconds
    )


@when("a client sends and leaves while it waits")
def _(context):
    made = context.cluster
    headers = made.headers()
    context.id = headers["Request-Id"]
    conn = made.connect()
    _send(conn, headers, "/push/x")
    conn.sock.close()
    conn.close()
    for item in context.open:
        item.sock.close()
        item.close()


@then("no worker gets the request")
def _(context):
    made = context.cluster
    # Another one that follows is served, so that one had its chance.
    process.wait_for(
        lambda: made.ask("/push/x").is_success, "the worker to be free"
    )
    assert made.runs_of(context.id) == []


def decoded(raw):
    """Return the bytes that a table writes with escapes."""
    return raw.encode().decode("unicode_escape").encode("latin-1")


def broken_off(call):
    """Return what a call gives, None if its answer broke off."""
    try:
        return call()
    except (httpx.HTTPError, http.client.HTTPException, OSError):
        return None


def settings_file(made, entry):
    """Return the settings of an entry and the path of their file."""
    path = made.dir / f"{entry}.json"
    return json.loads(path.read_text()), path
