"""Steps on unreadable records of the store."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when

from standins import process

# Keys of the records of a worker and of the operator.
WORKER, OPERATOR = b"w4", b"config"
DEEP = 10_000


def _keyed(key, value):
    return bytes([len(key)]) + key + value


def _records(key):
    """Return unreadable records by their defect."""
    deep = b"[" * DEEP + b"]" * DEEP
    return {
        "a key that is not UTF-8": _keyed(b"\xff\xfe", b"{}"),
        "an empty record": b"",
        "a key longer than its record": b"\xc8" + key,
        "a value that is not UTF-8": _keyed(key, b'{"zone":"\xff"}'),
        "a value that is not JSON": _keyed(key, b"{"),
        "a value nested ten thousand deep": _keyed(key, deep),
        "a list in place of an entry": _keyed(key, b"[1]"),
        "routes that are texts": _keyed(
            key, b'{"version":99,"routes":["r"],"services":[]}'
        ),
    }


@when("{what} is written into the list of upstreams")
def _(context, what):
    context.cluster.write("keyed.servers", _records(WORKER)[what])


@when("{what} is written into the desired state")
def _(context, what):
    context.cluster.write("keyed.op", _records(OPERATOR)[what])


@when("another worker announces itself")
def _(context):
    made = context.cluster
    made.workers["later"] = made.workers["w3"]
    made.address["later"] = made.address["w3"]
    made.announce("later")


@then("that worker is listed within {limit:d} s")
def _(context, limit):
    def listed():
        rows = context.cluster.log_lines("f1")
        names = [r["name"] for r in rows if "is listed" in r["text"]]
        return "later" in names

    process.wait_for(listed, "the worker to be listed", limit)


@then("requests are served, also after a restart of the entry")
def _(context):
    made = context.cluster
    assert made.ask("/read/x", method="GET").status_code == 200
    made.processes["f1"].kill()
    made.processes["f1"].start()
    made.wait_ready("f1")
    assert made.ask("/read/x", method="GET").status_code == 200
