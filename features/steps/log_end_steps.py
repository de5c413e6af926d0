"""Steps on what a log still says at the end of its process."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import logging
import os

from behave import given, then, when
from reelscale_core import clock
from reelscale_daemon import logs


def _emit(handler):
    line = logs.Line("test", "A line.", {})
    record = logging.LogRecord(
        "absl", logging.INFO, "", 0, "%s", (line,), None
    )
    handler.emit(record)


@given("a log that has used up its lines")
def _(context):
    context.reader, context.writer = os.pipe()
    context.handler = logs.BoundedHandler(
        descriptor=context.writer,
        clock=clock.FakeClock().monotonic,
        lines_per_s=1,
    )
    _emit(context.handler)


@when("{count:d} more lines are logged and the process ends")
def _(context, count):
    for _ in range(count):
        _emit(context.handler)
    # What logging.shutdown() does with each handler at the end.
    context.handler.flush()
    context.handler.close()


@then("the log tells that {count:d} lines were left out")
def _(context, count):
    os.close(context.writer)
    rows = os.read(context.reader, 1 << 16).decode().splitlines()
    told = [json.loads(row).get("lines") for row in rows]
    assert told == [None, count], told
