"""A stand-in worker that asks for rest once, in its first refusal.

It is the project's stand-in, but that it turns the first request away if its
settings have "rest", and serves what comes after it.  GET /asked tells when.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import time
from typing import Any

from standins import worker

ASKED = b"/asked"


class Worker(worker.Worker):
    """The worker, and when it asked for rest."""

    def __init__(self, settings: dict[str, Any]) -> None:
        super().__init__(settings)
        self.rest = settings.get("rest", "")
        self.asked: list[float] = []


class Channel(worker.Channel):
    """One connection, whose first request may be refused."""

    def serve(self) -> None:
        """Answer a request that is whole."""
        if self.request.target == ASKED:
            self.whole(json.dumps(self.worker.asked).encode())
            return
        is_first = bool(self.worker.rest) and not self.worker.asked
        if is_first and self.request.target not in worker.OWN_PATHS:
            self.worker.asked.append(time.monotonic())
            self.worker.retry_after = self.worker.rest
            super().serve()
            self.worker.retry_after = ""
            return
        super().serve()


if __name__ == "__main__":
    worker.Worker, worker.Channel = Worker, Channel
    worker.main()
