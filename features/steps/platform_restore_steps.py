"""Steps on an entry whose store comes back from an older copy."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, step, then

from standins import fleet, process


@given("a fleet whose store names no era")
def _(context):
    context.cluster = fleet.Fleet().__enter__()
    context.cluster.control(era=None)


@step("the operator states {count:d} more versions")
def _(context, count):
    made = context.cluster
    # A copy is told apart from what follows by its time.
    time.sleep(1.6)
    for _ in range(count):
        made.change()
    _wait_in_force(made, "f1", made.config["version"])


@step("the store comes back from a copy {behind_s:f} s old")
def _(context, behind_s):
    context.cluster.control(restore={"behind_s": behind_s})


@then("its log says that the store lacks the records asked for")
def _(context):
    _wait_for_line(context.cluster, "The store does not have the records")


@then("its log says once that the log ends below the offset reached")
def _(context):
    made = context.cluster
    _wait_for_line(made, "The log ends below the offset reached")
    time.sleep(1.0)
    assert len(_lines(made, "f1", "The log ends below")) == 1


def _lines(made, name, start):
    """Return the lines of an entry's log whose text begins so."""
    rows = made.log_lines(name)
    return [row for row in rows if row["text"].startswith(start)]


def _wait_for_line(made, start, name="f1", seconds=5):
    process.wait_for(lambda: _lines(made, name, start), start, seconds)


def _wait_in_force(made, name, version, seconds=2):
    """Wait until an entry logs that a version is in force."""

    def in_force():
        rows = _lines(made, name, "A configuration is in force.")
        return any(row["version"] == version for row in rows)

    process.wait_for(in_force, f"version {version} at {name}", seconds)
