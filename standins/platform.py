"""Stand-in for the platform: an append-only log and a list of boxes.

POST /control sets its faults: "down", "slow_s", "lose_answers" (appends
take effect but their answer is lost), "keep" (records kept), "boxes" and
"boxes_frozen" (the list no longer changes).
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from twisted.internet import reactor
from twisted.web import server

from . import web


class Platform:
    """The log, the list and their faults."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.oldest = 0
        self.keep = 100_000
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.boxes: list[dict] = []
        self.appends = 0
        self.waiters: list[tuple[Any, int, int]] = []

    def handle(self, request: Any) -> Any:
        """Answer one request."""
        path = request.path
        if path == b"/control":
            return self.control(web.body(request))
        if self.down:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        request.notifyFinish().addErrback(
            lambda _: setattr(request, "gone", True)
        )
        if self.slow_s:
            reactor.callLater(self.slow_s, self.serve, request)
        else:
            self.serve(request)
        return server.NOT_DONE_YET

    def control(self, data: dict[str, Any]) -> dict[str, Any]:
        """Set faults; tell how things are."""
        for name, value in data.items():
            setattr(self, name, value)
        if self.down:
            waiters, self.waiters = self.waiters, []
            for request, _, _ in waiters:
                if not getattr(request, "gone", False):
                    request.transport.abortConnection()
        self.trim()
        return {
            "head": self.head,
            "oldest": self.oldest,
            "appends": self.appends,
        }

    @property
    def head(self) -> int:
        """Return the offset that the next record gets."""
        return self.oldest + len(self.records)

    def trim(self) -> None:
        """Drop records past retention."""
        gone = max(0, len(self.records) - self.keep)
        del self.records[:gone]
        self.oldest += gone

    def serve(self, request: Any) -> None:
        """Answer one request of the log or the list."""
        if request.path == b"/boxes":
            web.finish(request, {"boxes": self.boxes})
        elif request.method == b"POST":
            self.append(request)
        else:
            self.read(request)

    def append(self, request: Any) -> None:
        """Append records."""
        rows = web.body(request)["records"]
        first = self.head
        self.records += rows
        self.appends += len(rows)
        self.trim()
        self.wake()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abortConnection()
            return
        web.finish(request, {"offset": first})

    def read(self, request: Any) -> None:
        """Read records, or wait for the first."""
        at = int(request.args[b"from"][0])
        limit = int(request.args[b"limit"][0])
        wait_s = float(request.args[b"wait"][0])
        if at < self.head or wait_s <= 0:
            self.answer(request, at, limit)
            return
        row = (request, at, limit)
        self.waiters.append(row)
        reactor.callLater(wait_s, self.expire, row)

    def expire(self, row: tuple[Any, int, int]) -> None:
        """Answer a read that has waited long enough."""
        if row in self.waiters:
            self.waiters.remove(row)
            self.answer(*row)

    def wake(self) -> None:
        """Answer all reads that wait."""
        waiters, self.waiters = self.waiters, []
        for row in waiters:
            self.answer(*row)

    def answer(self, request: Any, at: int, limit: int) -> None:
        """Answer a read with what there is."""
        start = max(at, self.oldest)
        rows = self.records[start - self.oldest :][:limit]
        data = {
            "records": [[start + i, row] for i, row in enumerate(rows)],
            "oldest": self.oldest,
            "head": self.head,
        }
        web.finish(request, data)


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    web.serve(Platform().handle, settings["port"])
    reactor.run()


if __name__ == "__main__":
    main()
