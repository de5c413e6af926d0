"""Cuts a stream of server-sent events into whole events."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from . import number

END = b"\n\n"
ID = b"id:"
# An event longer than this many bytes is taken as garbage.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """One whole event.

    Attributes:
      id: Its id, None if it has none.
      data: All its bytes, with the empty line that ends it.
    """

    id: int | None
    data: bytes


class EventParser:
    """Cuts the bytes of one stream into events as they come."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes; return the events that they make whole.

        Raises:
          ValueError: An event is longer than MAX_EVENT_BYTES.
        """
        *whole, self._rest = (self._rest + data).split(END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return [Event(_id(item), item + END) for item in whole]


def _id(text: bytes) -> int | None:
    """Return the id of an event's text."""
    for line in text.split(b"\n"):
        if line.startswith(ID):
            value = line[len(ID) :].strip()
            return number.integer(value.decode("latin-1"))
    return None
