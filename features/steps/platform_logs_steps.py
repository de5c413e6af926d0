"""Steps on the handler that writes log lines without waiting."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import logging
import os
import signal

from behave import given, then, when
from reelscale_core import clock
from reelscale_daemon import logs

PLENTY = 1_000_000
PIPE_BYTES = 1 << 20


def _log(context, per_s):
    context.reader, context.writer = os.pipe()
    context.clock = clock.FakeClock(start=100.0)
    context.handler = logs.BoundedHandler(
        descriptor=context.writer,
        clock=context.clock.monotonic,
        lines_per_s=per_s,
    )


def _emit(context, count):
    for number in range(count):
        _emit_fields(context, number=number)


def _emit_fields(context, **fields):
    line = logs.Line("test", "A line.", fields)
    record = logging.LogRecord(
        "absl", logging.INFO, "", 0, "%s", (line,), None
    )
    context.handler.emit(record)


def _read(context):
    text = os.read(context.reader, PIPE_BYTES).decode()
    assert text.endswith("\n"), text[-80:]
    return [json.loads(line) for line in text.splitlines()]


@given("a log that writes to a pipe which nobody reads")
def _(context):
    _log(context, PLENTY)


@given("a log of {count:d} lines a second that somebody reads")
def _(context, count):
    _log(context, count)


@when("{count:d} lines are logged")
def _(context, count):
    # A handler that waited for the reader would never come back.
    signal.alarm(30)
    _emit(context, count)
    signal.alarm(0)
    context.count = count


@then("the last was logged without waiting and most are left out")
def _(context):
    assert 0 < context.handler.left_out < context.count


@when("the reader reads on and 1 line is logged")
def _(context):
    context.left_out = context.handler.left_out
    context.lines = _read(context)
    _emit(context, 1)
    context.lines += _read(context)


@then("it is told how many lines were left out")
def _(context):
    told = [r["lines"] for r in context.lines if "lines" in r]
    assert told == [context.left_out], told
    assert context.handler.left_out == 0


@then("every line read is whole")
def _(context):
    numbers = [r["number"] for r in context.lines if "number" in r]
    written = context.count - context.left_out
    assert numbers == [*range(written), 0], (len(numbers), written)


@when("{count:d} lines are logged at one moment")
def _(context, count):
    _emit(context, count)
    context.count = count


@then("{count:d} are written and the others are counted")
def _(context, count):
    assert len(_read(context)) == count
    assert context.handler.left_out == context.count - count


@when("{count:d} lines are logged {seconds:d} s later")
def _(context, count, seconds):
    context.clock.advance(seconds)
    _emit(context, count)
    context.count = count


@then("they are written and the reader is told of {count:d} left out")
def _(context, count):
    rows = _read(context)
    assert sum("number" in row for row in rows) == context.count, rows
    assert [row["lines"] for row in rows if "lines" in row] == [count], rows


@when("the reader goes away and {count:d} lines are logged")
def _(context, count):
    os.close(context.reader)
    _emit(context, count)
    context.count = count


@then("nothing is raised and all are left out")
def _(context):
    assert context.handler.left_out == context.count


@when("a traceback of {size:d} characters is logged")
def _(context, size):
    filling = 'File "é"\n' * size
    reason = ("Traceback" + filling)[:size] + "ValueError: it is too long"
    _emit_fields(context, reason=reason)


@then("the line can be decoded and has both ends of the traceback")
def _(context):
    (row,) = _read(context)
    assert row["reason"].startswith("Traceback"), row
    assert row["reason"].endswith("ValueError: it is too long"), row
