"""Steps on machines that were suspended."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import subprocess
import sys
import threading
import time
import types

from behave import given, then, when
from reelscale_core import error, suspension
from reelscale_daemon import metrics
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import config
from reelscale_daemon.controllers import suspension as suspensions
from twisted.internet import defer, task

from features import log_lines, machine_clocks, platform_clients
from standins import process


def _apply(clocks, event):
    """Apply an event to a machine."""
    words = event.split()
    seconds = float(words[words.index("s") - 1])
    if words[0] == "suspended":
        clocks.suspend(seconds)
    elif words[0] == "busy":
        clocks.advance(seconds)
    else:
        clocks.offset_s += seconds if "forward" in words else -seconds


@when("this event occurs at a machine: {event}")
def _(context, event):
    clocks = machine_clocks.Clocks(counts_suspensions="without" not in event)
    before = suspension.read(clocks)
    _apply(clocks, event)
    clocks.advance(0.25)
    context.seconds = suspension.suspended_s(before, suspension.read(clocks))


@then("a suspension of {seconds:g} s is detected")
def _(context, seconds):
    assert abs(context.seconds - seconds) < 1e-6, context.seconds


class Log:
    """A log whose answer the test triggers."""

    def __init__(self):
        self.answer = defer.Deferred()

    async def read(self, from_offset, *, wait_s):
        """Wait for the test, then return one invalid record."""
        await self.answer
        return base.Rows([(from_offset, None)], 0, from_offset + 1)


class Peers:
    """Peers that do not respond."""

    def to(self, peer):
        """Return a peer."""
        return types.SimpleNamespace(call=lambda *_, **__: defer.Deferred())


@given("an entry's configuration at offset {offset:d}")
def _(context, offset):
    context.reactor, context.log = task.Clock(), Log()
    context.made = config.Config(
        reactor=context.reactor,
        clock=machine_clocks.Clocks(),
        platform=context.log,
        links=Peers(),
        peers=("127.0.0.1:1",),
        snapshot_every=1_000_000,
    )
    context.made.state = context.made.state._replace(offset=offset)
    context.made.ready = True


@when("the machine was suspended and the log has a new record")
def _(context):
    context.made.require_confirmation()


@then("no request is accepted until the log has answered")
def _(context):
    assert not context.made.ready
    context.log.answer.callback(None)
    assert context.made.ready


@then("the configuration is at offset {offset:d}")
def _(context, offset):
    assert context.made.state.offset == offset, context.made.state.offset


@when("the machine was suspended and neither the log nor a peer answers")
def _(context):
    context.made.require_confirmation()
    down = error.CodedError("log-down", step="read")
    context.log.answer.errback(down)


@then("no request is accepted for 1 s, and then again on offset {offset:d}")
def _(context, offset):
    context.reactor.advance(0.9)
    assert not context.made.ready
    context.reactor.advance(0.2)
    assert context.made.ready
    assert context.made.state.offset == offset


STEPS_BACK = """
import time
from twisted.python import runtime
began, shift = time.monotonic(), [0.0]
runtime.seconds = lambda real=time.time: real() - shift[0]
from twisted.internet import base
base.runtimeSeconds = runtime.seconds
from reelscale_daemon import main
from twisted.internet import reactor
class Part:
    class settings:
        log_json = True
    async def start(self):
        reactor.callLater(0.3, reactor.stop)
        shift[0] = 5.0
try:
    main._run(Part())
except SystemExit:
    print(time.monotonic() - began)
"""


@when("the time of day steps back while a process waits 0.3 s")
def _(context):
    done = subprocess.run(
        [sys.executable, "-c", STEPS_BACK],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    context.waited_s = float(done.stdout.splitlines()[-1])


@then("it has waited less than {seconds:g} s")
def _(context, seconds):
    assert 0.3 <= context.waited_s < seconds, context.waited_s


@given("an entry that watches for suspensions")
def _(context):
    log_lines.keep(context)
    context.clocks, context.metrics = (
        machine_clocks.Clocks(),
        metrics.Metrics(),
    )
    context.watch = suspensions.Watch(
        reactor=task.Clock(),
        clock=context.clocks,
        metrics=context.metrics,
        on_suspended=lambda _: {"idle_connections": 3},
    )


@when("its machine is suspended for {seconds:g} s")
def _(context, seconds):
    context.watch.check()
    context.clocks.suspend(seconds)
    context.watch.check()
    context.watch.check()


@then("a log line reports it, with the state that was dropped")
def _(context):
    (line,) = [r for r in context.lines.rows if "suspended" in r.sentence]
    assert line.fields["seconds"] == 5.0, line
    assert line.fields["idle_connections"] == 3, line


@then("the counter of suspensions is {count:d}")
def _(context, count):
    text, _ = context.metrics.text()
    assert f"reelscale_suspensions_total {count}".encode() in text, text


@when("a request with 1 s left is sent and the entry is frozen for 2 s")
def _(context):
    made = context.cluster
    conn = made.connect("f1")
    headers = made.headers(Deadline_Ms="1000")
    context.answers = []
    platform_clients.send(conn, headers, "/chat/mute/1")

    def read():
        answer = platform_clients.broken_off(conn.getresponse)
        context.answers.append(answer)

    thread = threading.Thread(target=read)
    thread.start()
    # Freeze the entry once the worker runs the request.
    context.request_id = headers["Request-Id"]
    process.wait_for(lambda: made.runs_of(context.request_id), "the run")
    made.processes["f1"].freeze()
    time.sleep(2.0)
    made.processes["f1"].thaw()
    thread.join(10)


@then("it is ended without a success, and the worker is notified")
def _(context):
    (answer,) = context.answers
    assert answer is None or answer.status >= 500, answer
    made = context.cluster
    process.wait_for(
        lambda: all(
            run["left_at"] for run in made.runs_of(context.request_id)
        ),
        "the worker to be notified",
    )


@then("the entry serves again within {seconds:g} s")
def _(context, seconds):
    made = context.cluster
    process.wait_for(
        lambda: made.ask("/chat/x").is_success, "f1 to serve", seconds
    )
