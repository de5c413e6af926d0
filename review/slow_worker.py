"""A stand-in worker whose requests take a while.

It is the project's stand-in, but that the answer of a plain service comes
after `WORK_S`.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from twisted.internet import reactor

from standins import worker

WORK_S = 0.6


class Channel(worker.Channel):
    """One connection, whose requests take a while."""

    def whole(self, body: bytes) -> None:
        """Write a good answer, later to what is a client's request."""
        if self.request.target in worker.OWN_PATHS:
            super().whole(body)
            return
        reactor.callLater(WORK_S, self._write, body)

    def _write(self, body: bytes) -> None:
        if self.transport.connected:
            super().whole(body)


if __name__ == "__main__":
    worker.Channel = Channel
    worker.main()
