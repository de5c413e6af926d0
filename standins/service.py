"""Stand-in for a plain service, with a ledger of everything it ran.

A call may ask to be slow by ?delay=SECONDS.  GET /ledger lists the runs.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from twisted.internet import reactor
from twisted.web import server

from . import web


class Service:
    """The service and its ledger."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.name = settings["name"]
        self.slots = settings.get("slots", 64)
        self.runs: list[dict[str, Any]] = []
        self.running = 0

    def handle(self, request: Any) -> Any:
        """Answer one call."""
        if request.path == b"/load":
            return {
                "running": self.running,
                "queued": 0,
                "capacity": self.slots,
            }
        if request.path == b"/ledger":
            return self.runs
        text = request.content.read().decode()
        run = {
            "path": request.path.decode(),
            "method": request.method.decode(),
            "body": text,
            "key": request.getHeader("idempotency-key") or "",
            "attempt": request.getHeader("x-request-id"),
            "workspace": request.getHeader("x-workspace"),
            "by": self.name,
        }
        self.runs.append(run)
        self.running += 1
        request.notifyFinish().addErrback(
            lambda _: setattr(request, "gone", True)
        )
        delay = float(request.args.get(b"delay", [b"0"])[0])
        reactor.callLater(delay, self.end, request, run)
        return server.NOT_DONE_YET

    def end(self, request: Any, run: dict[str, Any]) -> None:
        """Give the answer: an echo of what was asked."""
        self.running -= 1
        web.finish(request, {**run, "number": len(self.runs)})


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    web.serve(Service(settings).handle, settings["port"])
    reactor.run()


if __name__ == "__main__":
    main()
