"""Incremental parser of server-sent event streams.

It accepts nothing but events in the one form in which upstreams send them:

    id: 7
    data: some text

A numeric field that the platform defines may come first.  Whatever else
stands where an event is due is no event: the caller's reader also ends lines
at CR and CRLF and ignores what it doesn't know, so it would find other events
in the same bytes.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import re
from collections.abc import Iterable
from typing import NamedTuple

from . import number

END = b"\n\n"
FIRST_ID = 1
# An event holds a few tokens.
MAX_EVENT_BYTES = 128 * 1024
# Tab and LF are the only control characters of an event.
_CONTROL = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")
_ID_FIELD = b"id"


class Event(NamedTuple):
    """One complete event.

    Attributes:
      id: Event id.
      data: Raw bytes, including the terminating empty line.
    """

    id: int
    data: bytes


class Rejected(NamedTuple):
    """Bytes that are not the event that is due.

    Attributes:
      detail: What is wrong with them.
      sample: The bytes.
    """

    detail: str
    sample: bytes


class EventParser:
    """Splits the bytes of one stream into events with consecutive ids.

    Attributes:
      rejected: The bytes that ended parsing, None as long as all are events.
    """

    def __init__(
        self, *, last_id: int | None, leading_fields: Iterable[bytes] = ()
    ) -> None:
        """Create a parser.

        Args:
          last_id: Id of the event before the first one; None for none.
          leading_fields: Names of numeric fields, one of which may come
            before the id.
        """
        self.rejected: Rejected | None = None
        self._due = FIRST_ID if last_id is None else last_id + 1
        names = tuple(leading_fields)
        self._starts = tuple(name + b":" for name in (_ID_FIELD, *names))
        self._event = _pattern(names)
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that they complete.

        After bytes that are no event, which `rejected` then has, nothing more
        is returned.
        """
        if self.rejected is not None:
            return []
        *complete, self._pending = (self._pending + data).split(END)
        events = []
        for text in complete:
            event = self._parse(text + END)
            if event is None:
                return events
            events.append(event)
        self._check_pending(len(data))
        return events

    def _parse(self, data: bytes) -> Event | None:
        """Return the event that is due, None if the bytes are not that."""
        match = self._event.fullmatch(data)
        if match is None or not _is_text(data):
            return self._reject("no event", data)
        event_id = int(match.group(1))
        if event_id != self._due:
            return self._reject(f"id {event_id} in place of {self._due}", data)
        self._due += 1
        return Event(event_id, data)

    def _check_pending(self, new_bytes: int) -> None:
        """Reject an incomplete event that cannot become one."""
        pending = self._pending
        added = pending[-new_bytes:]
        if len(pending) > MAX_EVENT_BYTES:
            self._reject("an event without end", pending)
        elif _CONTROL.search(added):
            self._reject("a control character", added)
        elif not any(_agree(pending, start) for start in self._starts):
            self._reject("no event", pending)

    def _reject(self, detail: str, sample: bytes) -> None:
        self.rejected = Rejected(detail, sample)


def _pattern(leading_fields: tuple[bytes, ...]) -> re.Pattern[bytes]:
    """Return the pattern of an event whose group 1 is its id."""
    digits = b"[0-9]{1,%d}" % number.MAX_DIGITS
    names = b"|".join(re.escape(name) for name in leading_fields)
    leading = b"(?:(?:%b): ?%b\n)?" % (names, digits) if names else b""
    rest = rb"id: ?(%b)\ndata: ?[^\x00-\x08\x0a-\x1f\x7f]+\n\n" % digits
    return re.compile(leading + rest)


def _is_text(data: bytes) -> bool:
    """Return whether bytes are UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def _agree(pending: bytes, start: bytes) -> bool:
    """Return whether bytes begin like another text, as far as they go."""
    return pending.startswith(start) or start.startswith(pending)
