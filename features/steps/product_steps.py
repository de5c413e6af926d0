"""Steps on packages, the command line, logs and reference pages."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import ast
import json
import os
import pathlib
import random
import re
import socket
import subprocess
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from reelscale_core import error, plan, record, settings, state
from reelscale_daemon import metrics

from standins import cluster, load
from tools import reference

ROOT = pathlib.Path(__file__).parent.parent.parent
# Packages and those that each may import.
ALLOWED = {
    "reelscale_core": set(),
    "reelscale_wire": set(),
    "reelscale_daemon": {"reelscale_core", "reelscale_wire"},
    "reelscale_cli": {"reelscale_core"},
}
NETWORK = {"twisted", "thrift", "treq", "httpx", "socket", "asyncio"}


def _cli(context, *arguments, key=cluster.OPERATOR_KEY, entry=""):
    made = context.cluster
    url = entry or (made.http[made.entries[0][0]] if made else "http://x")
    env = {**os.environ, "REELSCALE_ENTRY": url, "REELSCALE_KEY": key}
    context.ran = subprocess.run(
        [str(cluster.BIN / "reelscale"), *arguments],
        capture_output=True,
        text=True,
        env=env,
        timeout=60,
    )
    return context.ran


@when("a settings file with 4 faults is checked")
def _(context):
    path = pathlib.Path("/tmp") / f"reelscale-faults-{os.getpid()}.json"
    data = {
        "name": "e1",
        "hall": "A HALL",
        "peer": "nowhere",
        "http": "127.0.0.1:1",
        "platform": "http://127.0.0.1:1",
        "operators": [{"name": "ops", "key_digest": "0" * 64}],
        "slots": "many",
        "colour": "blue",
    }
    path.write_text(json.dumps(data))
    _cli(context, "check-settings", str(path), "--role", "entry")
    path.unlink()


@then("the command exits with 2 and names all 4 faults")
def _(context):
    assert context.ran.returncode == 2, context.ran
    for path in ("/hall", "/peer", "/slots", "colour"):
        assert path in context.ran.stderr, context.ran.stderr


@then("the settings page is generated from the schema")
def _(context):
    page = ROOT / "docs" / "operators" / "settings.md"
    assert page.read_text() == reference.settings_page()


@then("the metrics page lists exactly the metrics of a process")
def _(context):
    page = ROOT / "docs" / "operators" / "metrics.md"
    documented = set(re.findall(r"^\| `(\w+)`", page.read_text(), re.M))
    registered = {row.name for row in metrics.Metrics().registry.get_all()}
    assert documented == registered, documented ^ registered


def _imports(package):
    folder = next(ROOT.glob(f"packages/*/src/{package}"))
    for path in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                for name in node.names:
                    yield path, name.name.partition(".")[0]
            elif isinstance(node, ast.ImportFrom) and not node.level:
                yield path, node.module.partition(".")[0]


@then("no module of the core imports the reactor or the wire")
def _(context):
    violations = [
        row for row in _imports("reelscale_core") if row[1] in NETWORK
    ]
    assert not violations, violations


@then("no package imports one of a higher layer")
def _(context):
    for package, allowed in ALLOWED.items():
        others = set(ALLOWED) - allowed - {package}
        violations = [row for row in _imports(package) if row[1] in others]
        assert not violations, violations


@when("{count:d} workspaces are counted")
def _(context, count):
    process_metrics = metrics.Metrics()
    context.labels = {
        process_metrics.workspace(f"w{number}") for number in range(count)
    }


@then("at most {count:d} labels are used")
def _(context, count):
    assert len(context.labels) <= count


@when("an operator plans a new model version with the command line")
def _(context):
    made = context.cluster
    context.before = made.layouts()
    change = {"kind": "set-model", "group": "m1", "model_version": "v7"}
    path = made.dir / "intent.json"
    path.write_text(json.dumps({"changes": [change]}))
    _cli(context, "plan", str(path))


@then("the plan is printed and nothing has changed")
def _(context):
    assert context.ran.returncode == 0, context.ran
    assert "v7" in context.ran.stdout, context.ran.stdout
    context.plan = re.search(r"confirm (\w+)", context.ran.stdout)[1]
    assert context.cluster.layouts() == context.before


@when("the operator confirms it with the command line")
def _(context):
    _cli(context, "confirm", context.plan, "-o", "json")
    context.offset = json.loads(context.ran.stdout)["offset"]


@then("the command exits with {status:d}")
def _(context, status):
    assert context.ran.returncode == status, context.ran


@then("the status shows it in force everywhere")
def _(context):
    def shown():
        data = json.loads(_cli(context, "status", "-o", "json").stdout)
        return data["in_force_everywhere"] >= context.offset

    cluster.wait_for(shown, "the status to show it")


@when("the command line meets {case}")
def _(context, case):
    if case == "an unreachable entry":
        port = cluster.free_port()
        _cli(context, "status", entry=f"http://127.0.0.1:{port}")
    elif case == "an invalid intent":
        path = context.cluster.dir / "faulty.json"
        path.write_text('{"changes": [{"kind": "leave"}]}')
        _cli(context, "plan", str(path))
    else:
        _cli(context, "confirm", "000000000000")


@then("its error names a code, a step and a next action")
def _(context):
    text = context.ran.stderr
    assert re.match(r"[a-z-]+: ", text), text
    assert "step " in text, text
    assert "next: " in text or "expected " in text, text


@when(
    "{count:d} connections send random bytes to an entry's and an agent's "
    "peer port"
)
def _(context, count):
    made = context.cluster
    source = random.Random(5)
    names = [made.entries[0][0], made.services[0][0]]
    for number in range(count):
        host, port = made.peer[names[number % 2]].rsplit(":", 1)
        with socket.create_connection((host, int(port))) as sock:
            body = source.randbytes(source.choice([1, 20, 200]))
            framed = len(body).to_bytes(4, "big") + body
            sock.sendall(source.choice([body, framed, b"\x82\x21" + framed]))


@then("both still serve")
def _(context):
    made = context.cluster
    for name in (made.entries[0][0], made.services[0][0]):
        assert made.processes[name].running
        assert made.ready(name), name
    result = load.send(made, made.entries[0][0], path="/free")
    assert result.outcome == "ran", result


@when(
    "{count:d} generated documents are read as settings, intents and records"
)
def _(context, count):
    context.other = []
    leaf = strategies.one_of(
        strategies.none(),
        strategies.integers(),
        strategies.text(max_size=8),
        strategies.sampled_from(["put-upstream", "remove", "plan", "lease"]),
    )
    keys = strategies.sampled_from(
        ["kind", "changes", "name", "id", "base", "hall", "of", "x"]
    )
    documents = strategies.recursive(
        leaf,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(keys, inner, max_size=5)
        ),
        max_leaves=12,
    )

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(documents)
    def read(document):
        record.from_json(document)
        for reader in (_as_settings, _as_intent):
            try:
                reader(document)
            except error.CodedError as refused:
                assert refused.code, document

    read()


def _as_settings(document):
    settings.parse(document, role="entry")


def _as_intent(document):
    plan.make(
        state.State(), document, author="x", nonce="1", rebalanced_by_group={}
    )


@then("each is either accepted or refused with a coded error")
def _(context):
    """Do nothing; the step before fails on any other error."""


@given("a cluster of its own that logs JSON")
def _(context):
    options = {"engines": 0, "settings": {"log_json": True}}
    context.cluster = cluster.Cluster(**options)
    context.cluster.__enter__()


@then("every line of an entry's log is a JSON object with part and text")
def _(context):
    made = context.cluster
    lines = made.processes[made.entries[0][0]].log.read_text().splitlines()
    assert lines
    for line in lines:
        assert {"part", "text", "time", "level"} <= set(json.loads(line)), line


@when("callers make some experts hot and a rebalance is confirmed")
def _(context):
    made = context.cluster
    entries = [name for name, _ in made.entries]

    def hot(entry):
        made.complete(entry, f"hot:{2 if entry == entries[0] else 5}", 60)
        return load.Told("", 200, "ran", True, "", 0.0, 0.0)

    calls = [lambda e=e: hot(e) for e in entries for _ in range(4)]
    with load.Load(calls):
        time.sleep(3.0)
        context.skew_before = _skew(made)
        change = {"kind": "rebalance", "group": "m1"}
        planned = cluster.wait_for(
            lambda: _planned(made, change), "a rebalance plan", 10
        )
        context.cost = planned["costs"]["m1"]
        made.confirm(planned["id"]).raise_for_status()
        made.wait_layout(2)
        time.sleep(3.0)
        context.skew_after = _skew(made)


def _planned(made, change):
    answer = made.plan([change])
    return answer.json() if answer.is_success else None


def _skew(made):
    name = made.engines[0][0]
    return made.client.get(f"{made.upstream_http[name]}/skew").json()["mean"]


@then("the plan predicted a lower skew")
def _(context):
    cost = context.cost
    assert cost["skew_after"] < cost["skew_before"], cost
    assert cost["moves"] > 0, cost


@then("the skew measured by the engines is lower")
def _(context):
    print(f"skew {context.skew_before:.2f} -> {context.skew_after:.2f}")
    assert context.skew_after < context.skew_before * 0.85, (
        context.skew_before,
        context.skew_after,
    )
