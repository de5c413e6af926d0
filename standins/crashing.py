"""Has a stand-in worker crash, and come back under a new id after a while.

A worker may be told that a part of prompts crashes it, and how it then dies.
The process stays: it closes its listener and all connections, so that what
it has counted is still there to be read.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools
import time
import urllib.request
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor, threads

from . import store

# A connection of worker.py and its worker.
Channel = Any
Worker = Any
PREFIX = "prompt-prefix"
# Half of an event; the rest never comes.
HALF_EVENT = b"id: 1\nda"
WHOLE_EVENT = b"id: 1\ndata: e1\n\n"
CHUNKED = ("Transfer-Encoding", "chunked")
EVENTS = ("Content-Type", "text/event-stream")
ANNOUNCE_TIMEOUT_S = 5.0


def shared_parts(prefix: str) -> list[str]:
    """Return the ids of the parts of a prompt, but for the last."""
    return [row.partition(":")[0] for row in prefix.split(",")][:-1]


def _reset_after_head(channel: Channel) -> bool:
    channel.transport.write(channel.head_lines(200, [EVENTS, CHUNKED]))
    return False


def _reset(channel: Channel) -> bool:
    return False


def _close_inside_event(channel: Channel) -> bool:
    channel.transport.write(channel.head_lines(200, [EVENTS]) + HALF_EVENT)
    return True


def _close_between_events(channel: Channel) -> bool:
    channel.transport.write(channel.head_lines(200, [EVENTS]) + WHOLE_EVENT)
    return True


def _close_inside_body(channel: Channel) -> bool:
    more = [("Content-Type", "application/json")]
    channel.transport.write(channel.head_lines(200, more) + b'{"half')
    return True


def _close_after_head(channel: Channel) -> bool:
    channel.transport.write(channel.head_lines(200, [EVENTS]))
    return True


def _close(channel: Channel) -> bool:
    return True


# What a worker still writes, by how it dies; each tells whether it closes its
# connections in order.
DEATHS: dict[str, Callable[[Channel], bool]] = {
    "the head of an answer and a reset": _reset_after_head,
    "a reset without a byte": _reset,
    "half an event and an orderly close": _close_inside_event,
    "one event and an orderly close": _close_between_events,
    "half a body and an orderly close": _close_inside_body,
    "the head of an answer and an orderly close": _close_after_head,
    "an orderly close without a byte": _close,
}


class Crashes:
    """The crashes of one worker.

    Attributes:
      part: Part of prompts that crashes the worker, "" for none.
      death: How it dies; a key of DEATHS.
      after_s: Seconds after which a request with the part crashes it.
      down_s: Seconds until it is back.
      rows: The crashes so far: when, and by which request.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self.part = ""
        self.death = "a reset without a byte"
        self.after_s = 0.1
        self.down_s = 2.0
        self.rows: list[dict[str, Any]] = []
        self._settings = settings
        self._starts = itertools.count(2)

    def control(self, data: dict[str, Any]) -> None:
        """Change how it crashes."""
        for name in ("part", "death", "after_s", "down_s"):
            setattr(self, name, data.get(name, getattr(self, name)))

    def is_deadly(self, channel: Channel) -> bool:
        """Tell whether a request crashes the worker."""
        return self.part in shared_parts(channel.header(PREFIX))

    def schedule(self, channel: Channel) -> None:
        """Crash when the request would get its first event."""
        reactor.callLater(self.after_s, self._begin, channel)

    def _begin(self, channel: Channel) -> None:
        worker = channel.worker
        if channel.transport.connected and worker.port is not None:
            request_id = channel.header("request-id")
            orderly = DEATHS[self.death](channel)
            self.crash(worker, orderly=orderly, request_id=request_id)

    def crash(
        self, worker: Worker, *, orderly: bool = False, request_id: str = ""
    ) -> None:
        """Close everything, and come back later."""
        self.rows.append({"at": time.monotonic(), "request": request_id})
        worker.port.stopListening()
        worker.port = None
        for channel in list(worker.channels):
            if orderly:
                channel.transport.loseConnection()
            else:
                channel.transport.abortConnection()
        reactor.callLater(self.down_s, self._return, worker)

    def _return(self, worker: Worker) -> None:
        """Listen again under a new id, and announce it."""
        old = worker.id
        worker.id = f"{self._settings['id']}.{next(self._starts)}"
        worker.listen()
        threads.deferToThread(self._announce, old, worker.id)

    def _announce(self, old: str, new: str) -> None:
        own = self._settings
        data = {
            "service": own["service"],
            "addr": f"127.0.0.1:{own['port']}",
            "zone": own["hall"],
            "version": "v1",
            "slots": own["slots"],
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        url = (
            f"http://{own['store']}/api/log-append?topic=keyed.servers&part=0"
        )
        for key, value in ((old, None), (new, data)):
            request = urllib.request.Request(
                url, data=store.keyed_record(key, value), method="POST"
            )
            urllib.request.urlopen(request, timeout=ANNOUNCE_TIMEOUT_S).close()
