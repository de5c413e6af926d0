"""The streams of an agent alone, on a clock that moves when told to."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from reelscale_core import clock
from reelscale_daemon import metrics
from reelscale_daemon.controllers import streams
from reelscale_wire.gen import ttypes
from twisted.internet import task

# What agents hold unless their settings say otherwise, in bytes; see
# buffer_bytes in settings.schema.json of reelscale_core.
USUAL_BYTES = 65536


class HeldUpstream:
    """An upstream whose answers come when a step says so.

    Attributes:
      sink: Where the answer to the last request goes.
    """

    def ask(self, method, path, headers, body, sink, *, events):
        """Keep where the answer goes."""
        self.sink = sink
        idle = {name: lambda: None for name in ("pause", "resume", "stop")}
        return types.SimpleNamespace(**idle)


def start(context, *, capacity):
    """Make the streams of an agent, with its clock and its upstream."""
    context.clock, context.reactor = clock.FakeClock(), task.Clock()
    context.upstream = HeldUpstream()
    context.streams = streams.Streams(
        reactor=context.reactor,
        clock=context.clock,
        upstream=context.upstream,
        metrics=metrics.Metrics(),
        capacity=capacity,
        buffer_bytes=USUAL_BYTES,
        incarnation="i",
    )


def submission(attempt):
    """Return an attempt as an entry submits it."""
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
