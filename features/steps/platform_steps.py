"""Steps that several features on the platform use, on fleets and answers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when

from features import platform_clients as clients
from standins import fleet


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


@when('a client sends "{method}" "{path}" with the body "{body}"')
def _(context, method, path, body):
    clients.ask(context, path, method, body.encode())


@when('a client sends "{method}" "{path}" with the body ""')
def _(context, method, path):
    clients.ask(context, path, method, b"")


@when('a client sends a body of {size:d} bytes to "{path}"')
def _(context, size, path):
    clients.ask(context, path, body=b"y" * size)


@then("the answer is the worker's own, with status {status:d}")
def _(context, status):
    answer = context.answer
    assert answer.status_code == status, answer
    assert answer.text == f"whole answer of {context.id}", answer.text
    assert answer.headers["request-id"] == context.id
    assert answer.headers["response-stamp"].startswith("stamp-w")


@then("the answer has status {status:d} and no worker ran it")
def _(context, status):
    assert context.answer.status_code == status, context.answer
    assert "response-stamp" not in context.answer.headers
    assert context.cluster.runs_of(context.id) == []


@then("the answer has status {status:d}")
def _(context, status):
    assert context.answer.status_code == status, context.answer


@then('requests to "{path}" run at "{name}" alone')
def _(context, path, name):
    _run_at(context, path, name)


def _run_at(context, path, name):
    made = context.cluster
    for _ in range(8):
        clients.ask(context, path, body=b"b")
        assert context.answer.status_code == 200, context.answer
        runs = made.runs_of(context.id)
        assert [run["by"] for run in runs] == [name], runs


@then('requests to "{path}" run at "{name}" alone within {seconds:d} s')
def _(context, path, name, seconds):
    time.sleep(seconds)
    _run_at(context, path, name)
