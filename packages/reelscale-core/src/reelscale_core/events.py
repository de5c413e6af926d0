"""Incremental parser of server-sent event streams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import number

END = b"\n\n"
ID = b"id:"
# Streams with a larger event are rejected.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """One complete event.

    Attributes:
      id: Event id; None if absent.
      data: Raw bytes, including the terminating empty line.
    """

    id: int | None
    data: bytes


class EventParser:
    """Splits the bytes of one stream into events."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
          ValueError: An event exceeds MAX_EVENT_BYTES.
        """
        *complete, self._pending = (self._pending + data).split(END)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return [Event(_id(item), item + END) for item in complete]


def _id(text: bytes) -> int | None:
    """Return the id field of an event, None if absent or not a number."""
    for line in text.split(b"\n"):
        if line.startswith(ID):
            value = line[len(ID) :].strip()
            return number.integer(value.decode("latin-1"))
    return None
