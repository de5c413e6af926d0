"""The streams of an agent on a fake clock, without processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from reelscale_core import clock
from reelscale_daemon import metrics
from reelscale_daemon.controllers import streams
from reelscale_wire.gen import ttypes
from twisted.internet import task

# The default of buffer_bytes in settings.schema.json of reelscale_core.
DEFAULT_BUFFER_BYTES = 65536


class FakeUpstream:
    """An upstream whose answers are produced by the steps.

    Attributes:
      sink: Receives the answer to the last request.
    """

    def ask(self, method, path, headers, body, sink, *, events):
        """Record the sink of the answer."""
        self.sink = sink
        idle = {name: lambda: None for name in ("pause", "resume", "stop")}
        return types.SimpleNamespace(**idle)


def start(context, *, capacity):
    """Create the streams of an agent, with its clock and its upstream."""
    context.clock, context.reactor = clock.FakeClock(), task.Clock()
    context.upstream = FakeUpstream()
    context.streams = streams.Streams(
        reactor=context.reactor,
        clock=context.clock,
        upstream=context.upstream,
        metrics=metrics.Metrics(),
        capacity=capacity,
        buffer_bytes=DEFAULT_BUFFER_BYTES,
        incarnation="i",
    )


def submission(attempt):
    """Return the message by which an entry submits an attempt."""
    return ttypes.Submit(
        attempt=attempt,
        entry="e",
        workspace="w",
        method="GET",
        path="/",
        headers=[],
        body=b"",
        once_key="",
        stream=False,
    )
