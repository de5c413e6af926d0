"""An answer without end, written as fast as its reader takes it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces, reactor
from zope.interface import implementer

# Much larger than what one write of the kernel's takes, so that a reader who
# reads nothing is felt after a few of them.
PIECE_BYTES = 64 * 1024


def event(number: int) -> bytes:
    """Return a large event of a stream, in a chunk."""
    return chunk(b"id: %d\ndata: %b\n\n" % (number, b"x" * PIECE_BYTES))


def text(_number: int) -> bytes:
    """Return a piece of a body, in a chunk."""
    return chunk(b"x" * PIECE_BYTES)


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@implementer(interfaces.IPushProducer)
class Flood:
    """Writes pieces in chunks and notes since when its reader holds it back.

    Its row of the ledger gets "held_since", None while it may write.
    """

    def __init__(
        self,
        transport: Any,
        row: dict[str, Any],
        piece: Callable[[int], bytes],
    ) -> None:
        """Make one that has written nothing.

        Args:
          transport: Where the pieces go.
          row: The run in the ledger.
          piece: Returns a piece by its number, from 1 on.
        """
        self._transport = transport
        self._row = row
        self._piece = piece
        self._written = 0
        self._over = False
        self._next: Any = None
        self._row["held_since"] = None

    def start(self) -> None:
        """Begin to write."""
        self._transport.registerProducer(self, True)
        self._write()

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold back: the reader is slow."""
        self._row["held_since"] = time.monotonic()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write on."""
        self._row["held_since"] = None
        if not self._next.active():
            self._write()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop: the reader is gone."""
        self._over = True

    def _write(self) -> None:
        if self._over or self._row["held_since"] is not None:
            return
        self._written += 1
        self._transport.write(self._piece(self._written))
        self._next = reactor.callLater(0, self._write)
