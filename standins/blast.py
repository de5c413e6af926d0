"""Stand-in for an engine that answers as fast as it can, for benches.

Streams max_tokens events at once, or at the pace that a prompt of
"pace N" asks for, and reports itself on layout 1.  A prompt of "wide N"
asks for events of N letters.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
from typing import Any

from twisted.internet import reactor
from twisted.web import server

from . import web

BATCH = 16
EVENT = b'data: {"choices":[{"index":0,"text":"%b"}]}\n\n'
WORD = b"word "
RANK = {
    "fence": 0,
    "seq": 0,
    "version": 1,
    "step": 0,
    "floor": -1,
    "staged": [1],
    "next_version": 0,
    "next_step": 0,
    "decided": False,
    "committed": False,
    "incarnation": "blast",
}


STREAMS: list["Stream"] = []


class Stream:
    """One answer, written as fast as it is read."""

    def __init__(
        self, request: Any, count: int, pace: float, text: bytes
    ) -> None:
        self.request = request
        self.event = EVENT % text
        self.left = count
        self.batch = 1 if pace else BATCH
        self.pause_s = 1 / pace if pace else 0.0
        self.paused = False
        request.registerProducer(self, True)
        self.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing."""
        self.paused = True

    def stopProducing(self) -> None:  # noqa: N802
        """Stop for good."""
        self.paused = True
        self.left = -1

    def resumeProducing(self) -> None:  # noqa: N802
        """Write on."""
        self.paused = False
        reactor.callLater(0, self.write)

    def write(self) -> None:
        """Write one batch of events."""
        if self.paused or self.left < 0:
            return
        count = min(self.batch, self.left)
        self.left -= count
        self.request.write(self.event * count)
        if self.left:
            reactor.callLater(self.pause_s, self.write)
            return
        self.left = -1
        self.request.write(b"data: [DONE]\n\n")
        self.request.unregisterProducer()
        self.request.finish()


def handle(request: Any) -> Any:
    """Answer one request."""
    if request.path == b"/rank":
        return RANK
    if request.path == b"/load":
        return {"running": 0, "queued": 0, "capacity": 1024}
    if request.path == b"/left":
        return [stream.left for stream in STREAMS if stream.left > 0]
    if request.path == b"/orders":
        return {"accepted": True, "rank": RANK}
    data = json.loads(request.content.read())
    request.setHeader(b"content-type", b"text/event-stream")
    # The prompt may ask for so many events a second, or letters an event.
    words = str(data.get("prompt", "")).split()
    pace = float(words[1]) if words[:1] == ["pace"] else 0.0
    text = b"w" * int(words[1]) if words[:1] == ["wide"] else WORD
    STREAMS.append(Stream(request, int(data["max_tokens"]), pace, text))
    return server.NOT_DONE_YET


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    web.serve(handle, settings["port"])
    reactor.run()


if __name__ == "__main__":
    main()
