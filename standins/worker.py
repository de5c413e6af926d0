"""Stand-in for a worker of the platform, by its pages, faults included.

A word of a request's path tells what the worker does wrong with it, such as
"/chat/reset/1"; see worker_faults.py.  Any other word is answered as it should
be, and a worker that is not "faulty" answers all so.  GET /ledger lists the
runs and what reached the worker at all, with monotonic times, which all
processes of a machine share.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import random
import time
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet import protocol, reactor

from . import crashing, garbage, web, worker_faults

EVENTS = 6
EVENT_GAP_S = 0.01
BODY = b"whole answer of %b"


class Worker(protocol.Factory):
    """The worker: its id, its ledger and its connections."""

    noisy = False

    def __init__(self, settings: dict[str, Any]) -> None:
        self.id = settings["id"]
        self.slots = settings.get("slots", 6)
        self.faulty = settings.get("faulty", True)
        self.limit = ""
        # Shares of requests that it refuses, of refusals that lack the id,
        # and of answers that it sends twice, the second time late.
        self.shed_share = 0.0
        self.unnamed_share = 0.0
        self.surplus_share = 0.0
        self.random = random.Random(settings["id"])
        # With this it refuses all that arrives, "" to refuse nothing.
        self.retry_after = ""
        # Whether its answers say that it is about to end.
        self.leaving = False
        self.runs: list[dict[str, Any]] = []
        self.cancelled: list[str] = []
        self.reached: list[dict[str, Any]] = []
        self.undecided: list[Channel] = []
        self.accepted = 0
        self.shed = 0
        self.crashes = crashing.Crashes(settings)
        # Seconds from a request to the first event of its stream.
        self.prefill_s = 0.0
        self.channels: set[Channel] = set()
        # Listens while the worker is up.
        self.port: Any = None
        self._port_number = settings["port"]

    def buildProtocol(self, address: Any) -> "Channel":  # noqa: N802
        """Return the protocol of a new connection."""
        self.accepted += 1
        return Channel(self)

    def listen(self) -> None:
        """Take connections."""
        self.port = reactor.listenTCP(
            self._port_number, self, interface="127.0.0.1", backlog=512
        )


class Channel(protocol.Protocol):
    """One connection, with one request at a time."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.http = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body = b""
        self.run: dict[str, Any] | None = None
        self.streaming = ""
        # A surplus answer, sent in front of the next one on this connection.
        self.surplus = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection in."""
        self.worker.channels.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests."""
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            match event:
                case h11.Request():
                    self.request, self.body = event, b""
                    self.note_reached()
                    if self.word() == "early":
                        self.early()
                        return
                case h11.Data():
                    self.body += event.data
                case h11.EndOfMessage():
                    self.serve()
                    return
                case _:
                    return

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Note the run, and the stream, that its caller has left."""
        self.worker.channels.discard(self)
        if self.run is not None:
            self.run["left_at"] = time.monotonic()
        if self.streaming:
            self.worker.cancelled.append(self.streaming)

    def header(self, name: str) -> str:
        """Return a header of the request, "" if there is none."""
        by_name = dict(self.request.headers)
        return by_name.get(name.encode(), b"").decode()

    def word(self) -> str:
        """Return the word that tells what to do wrong, "" for nothing."""
        if not self.worker.faulty:
            return ""
        words = self.request.target.decode().strip("/").split("/")
        return next(
            (word for word in words if word in worker_faults.FAULTS), ""
        )

    def serve(self) -> None:
        """Answer a request that is whole."""
        path = self.request.target.decode()
        if path == "/ledger":
            ledger = {
                "runs": self.worker.runs,
                "cancelled": self.worker.cancelled,
                "reached": self.worker.reached,
                "undecided": len(self.worker.undecided),
                "accepted": self.worker.accepted,
                "shed": self.worker.shed,
                "crashes": self.worker.crashes.rows,
            }
            self.whole(json.dumps(ledger).encode())
            return
        if path == "/control":
            self.control(json.loads(self.body or b"{}"))
            return
        if self.surplus:
            self.transport.write(self.surplus)
            self.surplus = b""
        if self.worker.retry_after:
            worker_faults.shed(self)
            return
        wanted = self.header("expect-instance")
        if wanted and wanted != self.worker.id:
            self.head(421, [("Instance-Id", self.worker.id)], b"")
            return
        if self.worker.random.random() < self.worker.shed_share:
            worker_faults.shed(self)
            return
        act = worker_faults.FAULTS.get(self.word())
        if self.word() not in NOT_RUN:
            self.note_run()
        if self.worker.crashes.is_deadly(self):
            self.worker.crashes.schedule(self)
        elif act is not None:
            act(self)
        elif path.startswith("/chat"):
            self.stream()
        else:
            self.whole(self.text())

    def control(self, data: dict[str, Any]) -> None:
        """Change what the worker does, as a test asks."""
        self.worker.faulty = data.get("faulty", self.worker.faulty)
        self.worker.limit = data.get("limit", self.worker.limit)
        self.worker.leaving = data.get("leaving", self.worker.leaving)
        self.worker.retry_after = data.get(
            "retry_after", self.worker.retry_after
        )
        for share in SHARES:
            value = data.get(share, getattr(self.worker, share))
            setattr(self.worker, share, value)
        self.worker.prefill_s = data.get("prefill_s", self.worker.prefill_s)
        self.worker.crashes.control(data)
        if data.get("shed"):
            self.shed_undecided()
        if data.get("crash"):
            self.worker.crashes.crash(self.worker)
        self.whole(b"{}")

    def note_reached(self) -> None:
        """Write down that the head of a request is here."""
        if self.request.target not in OWN_PATHS:
            row = {
                "id": self.header("request-id"),
                "at": time.monotonic(),
                "parts": crashing.shared_parts(self.header(crashing.PREFIX)),
            }
            self.worker.reached.append(row)

    def shed_undecided(self) -> None:
        """Refuse the requests on which nothing was decided yet."""
        undecided, self.worker.undecided = self.worker.undecided, []
        for channel in undecided:
            worker_faults.shed(channel)

    def note_run(self) -> None:
        """Write the request into the ledger.

        "left_at" is set where its caller goes before the whole answer is
        written.
        """
        self.run = {
            "id": self.header("request-id"),
            "method": self.request.method.decode(),
            "path": self.request.target.decode(),
            "body": self.body.decode("latin-1"),
            "headers": {
                name.decode(): value.decode()
                for name, value in self.request.headers
            },
            "by": self.worker.id,
            "begun_at": time.monotonic(),
            "left_at": None,
        }
        self.worker.runs.append(self.run)

    def text(self) -> bytes:
        """Return the answer's body."""
        return BODY % self.header("request-id").encode()

    def head_lines(
        self, status: int, more: list[tuple[str, str]], request_id: str = ""
    ) -> bytes:
        """Return the head of an answer as bytes."""
        own = [("Request-Id", request_id or self.header("request-id"))]
        refuses = any(name == "Not-Executed" for name, _ in more)
        if refuses and self.worker.random.random() < self.worker.unnamed_share:
            own = []
        rows = [
            *own,
            ("Response-Stamp", f"stamp-{self.worker.id}"),
            ("Server-Load", f"0,0,{self.worker.slots}"),
            *more,
        ]
        if self.worker.limit:
            rows.append(("Server-Limit", self.worker.limit))
        if self.worker.leaving:
            rows.append(("Server-Leaving", "1"))
        lines = [f"HTTP/1.1 {status} Reason"]
        lines += [f"{name}: {value}" for name, value in rows]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def head(
        self, status: int, more: list[tuple[str, str]], body: bytes
    ) -> None:
        """Write an answer in one piece and get ready for the next."""
        more = [*more, ("Content-Length", str(len(body)))]
        answer = self.head_lines(status, more) + body
        self.transport.write(answer)
        # What tests ask of the worker is no request.
        asked = self.request.target not in OWN_PATHS
        if asked and self.worker.random.random() < self.worker.surplus_share:
            self.surplus = answer
        self.next()

    def whole(self, body: bytes) -> None:
        """Write a good answer."""
        self.head(200, [("Content-Type", "application/json")], body)

    def send_spoilt(self, data: bytes, spoilt: garbage.Spoilt) -> None:
        """Write an answer with garbage, at once or byte by byte."""
        if not spoilt.bytewise:
            self.transport.write(data)
            self._end_spoilt(spoilt)
            return
        self.transport.setTcpNoDelay(True)

        def write(at: int) -> None:
            if not self.transport.connected:
                return
            if at == len(data):
                self._end_spoilt(spoilt)
                return
            self.transport.write(data[at : at + 1])
            reactor.callLater(0, write, at + 1)

        write(0)

    def _end_spoilt(self, spoilt: garbage.Spoilt) -> None:
        """End the connection where that ends the answer, else keep it."""
        if spoilt.framing == "unframed":
            self.transport.loseConnection()
        else:
            self.next()

    def next(self) -> None:
        """Get ready for another request on this connection."""
        rest = self.http.trailing_data[0]
        self.http = h11.Connection(h11.SERVER)
        self.request = None
        self.run = None
        if rest:
            self.dataReceived(rest)

    def early(self) -> None:
        """Answer before the body is in, then read it to its end."""
        self.transport.write(self.head_lines(413, [("Content-Length", "0")]))
        left = int(self.header("content-length")) - len(
            self.http.trailing_data[0]
        )
        self.skip = left
        # What of the body has come already is not read as a request.
        self.http = h11.Connection(h11.SERVER)
        self.dataReceived = self.read_rest

    def read_rest(self, data: bytes) -> None:
        """Read over the rest of a body that was answered early."""
        self.skip -= len(data)
        if self.skip <= 0:
            del self.dataReceived
            rest = data[len(data) + self.skip :]
            self.next()
            if rest:
                self.dataReceived(rest)

    def stream(
        self,
        *,
        last: int = EVENTS,
        ids: Callable[[int], int] = lambda n: n,
        end: Callable[["Channel"], None] | None = None,
        gap_s: float = EVENT_GAP_S,
        framed: bool = True,
    ) -> None:
        """Write a stream of events, from the one after the caller's last.

        A stream that is not framed ends with its connection.
        """
        start = int(self.header("last-event-id") or 0)
        more = [("Content-Type", "text/event-stream")]
        if framed:
            more.append(("Transfer-Encoding", "chunked"))
        self.transport.write(self.head_lines(200, more))
        self.streaming = self.header("request-id")

        def piece(number: int) -> None:
            if not self.transport.connected:
                return
            if number > last:
                self.streaming = ""
                if end is not None:
                    end(self)
                    return
                self.transport.write(b"0\r\n\r\n")
                self.next()
                return
            event = f"id: {ids(number)}\ndata: e{number}\n\n".encode()
            if framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            self.transport.write(event)
            reactor.callLater(gap_s, piece, number + 1)

        if self.worker.prefill_s:
            reactor.callLater(self.worker.prefill_s, piece, start + 1)
        else:
            piece(start + 1)


# Shares that tests may set.
SHARES = ("shed_share", "unnamed_share", "surplus_share")
# Paths by which tests ask a worker, and words that are no runs.
OWN_PATHS = (b"/ledger", b"/control")
NOT_RUN = (
    "shed",
    "undecided",
    "shed-surplus",
    "shed-surplus-once",
    garbage.ENDLESS_REFUSAL_WORD,
)


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    Worker(settings).listen()
    reactor.run()


if __name__ == "__main__":
    main()
