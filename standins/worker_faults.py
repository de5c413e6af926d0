"""What a stand-in worker does wrong with a request, by a word of its path."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import os
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

from . import flood, garbage

# A connection of worker.py, which finds its faults here.
Channel = Any
# Exit status of a worker that a request has crashed.
CRASHED = 70
# Below the size from which an entry hands answers on piece by piece.
BULK_BYTES = 200_000


def _abort(channel: Channel) -> None:
    channel.transport.abortConnection()


def shed(channel: Channel) -> None:
    """Refuse as a full worker does."""
    channel.worker.shed += 1
    more = [("Not-Executed", "1")]
    if channel.worker.retry_after:
        more.append(("Retry-After", channel.worker.retry_after))
    channel.head(503, more, b"")


def _shed_surplus(channel: Channel) -> None:
    """Refuse, and refuse once more in front of the next answer."""
    channel.surplus = channel.head_lines(
        503, [("Not-Executed", "1"), ("Content-Length", "0")]
    )
    shed(channel)


def _shed_surplus_once(channel: Channel) -> None:
    """Do so with a request that is new, and run it when it comes again."""
    request_id = channel.header("request-id")
    reached = [row["id"] for row in channel.worker.reached]
    if reached.count(request_id) == 1:
        _shed_surplus(channel)
        return
    channel.note_run()
    channel.whole(channel.text())


def _undecided(channel: Channel) -> None:
    """Say nothing until the worker is told to refuse."""
    channel.worker.undecided.append(channel)


def _headed(channel: Channel) -> None:
    """Send the head of a stream and no event of it."""
    more = [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    channel.transport.write(channel.head_lines(200, more))


def _cut_mute(channel: Channel) -> None:
    """Break a stream off, and say nothing where it is to go on."""
    if not channel.header("last-event-id"):
        channel.stream(last=3, end=_abort)


def _flood(channel: Channel) -> None:
    """Answer without end, as fast as the caller reads."""
    events = channel.request.target.startswith(b"/chat")
    kind = "text/event-stream" if events else "application/json"
    more = [("Content-Type", kind), ("Transfer-Encoding", "chunked")]
    channel.transport.write(channel.head_lines(200, more))
    piece = flood.event if events else flood.text
    flood.Flood(channel.transport, channel.run, piece).start()


def _torn(channel: Channel) -> None:
    """End partway through an event."""
    channel.transport.write(b"8\r\nid: 4\nda\r\n")
    channel.transport.loseConnection()


def _close(channel: Channel) -> None:
    channel.transport.loseConnection()


def _close_inside_event(channel: Channel) -> None:
    channel.transport.write(b"id: 4\nda")
    channel.transport.loseConnection()


def _unframed_stream(
    *, last: int, end: Callable[[Channel], None] = _close
) -> Callable[[Channel], None]:
    """Return what sends a stream that ends with its connection."""
    return lambda channel: channel.stream(last=last, end=end, framed=False)


def _short(channel: Channel) -> None:
    """Send less than was announced."""
    more = [("Content-Length", "500")]
    channel.transport.write(channel.head_lines(200, more) + channel.text())
    channel.transport.loseConnection()


def _extra(channel: Channel) -> None:
    """Send a second answer behind the first."""
    body = channel.text()
    more = [("Content-Length", str(len(body)))]
    answer = channel.head_lines(200, more) + body
    other = channel.head_lines(200, more, "ffffffffffffffff") + body
    channel.transport.write(answer + other)
    channel.next()


def _extra_late(channel: Channel) -> None:
    """Send a second answer a while after the first."""
    body = channel.text()
    more = [("Content-Length", str(len(body)))]
    channel.transport.write(channel.head_lines(200, more) + body)
    other = channel.head_lines(200, more, "ffffffffffffffff") + body

    def send_late() -> None:
        # Behind an answer that ends with the connection it would be its body.
        if not channel.transport.disconnecting:
            channel.transport.write(other)

    reactor.callLater(0.02, send_late)
    channel.next()


def _unframed(channel: Channel) -> None:
    """Send an answer that ends with its connection."""
    channel.transport.write(channel.head_lines(200, []) + channel.text())
    channel.transport.loseConnection()


def _unframed_reset(channel: Channel) -> None:
    """Reset the connection in the middle of such an answer."""
    channel.transport.write(channel.head_lines(200, []) + channel.text())
    reactor.callLater(0.05, channel.transport.abortConnection)


def _foreign(channel: Channel) -> None:
    """Answer another request than the one asked."""
    body = channel.text()
    more = [("Content-Length", str(len(body)))]
    head = channel.head_lines(200, more, "0000000000000000")
    channel.transport.write(head + body)
    channel.next()


def _crash(_channel: Channel) -> None:
    """End as a process does that a request brings down."""
    os._exit(CRASHED)


def _garbage(channel: Channel) -> None:
    """Send bytes that are no answer."""
    channel.transport.write(b"\x00\x01 no HTTP at all\r\n\r\n")


FAULTS: dict[str, Callable[[Channel], None]] = {
    "shed": shed,
    "shed-surplus": _shed_surplus,
    "shed-surplus-once": _shed_surplus_once,
    "undecided": _undecided,
    "early": lambda channel: channel.early(),
    "error": lambda channel: channel.head(500, [], channel.text()),
    "reset": _abort,
    "mute": lambda channel: None,
    "short": _short,
    "extra": _extra,
    "extra-late": _extra_late,
    "unframed": _unframed,
    "unframed-reset": _unframed_reset,
    "foreign": _foreign,
    garbage.WORD: garbage.send,
    garbage.ENDLESS_WORD: garbage.send_endless,
    garbage.ENDLESS_REFUSAL_WORD: garbage.send_endless,
    "garbage": _garbage,
    "crash": _crash,
    "headed": _headed,
    "flood": _flood,
    "cut": lambda channel: channel.stream(last=3, end=_abort),
    "cut-mute": _cut_mute,
    "torn": lambda channel: channel.stream(last=3, end=_torn),
    "unsized": _unframed_stream(last=6),
    "unsized-torn": _unframed_stream(last=3, end=_close_inside_event),
    "unsized-empty": _unframed_stream(last=0),
    "unsized-short": _unframed_stream(last=3),
    "gap": lambda channel: channel.stream(ids=lambda n: n if n < 3 else n + 1),
    "slow": lambda channel: channel.stream(gap_s=0.4),
    "large": lambda channel: channel.whole(b"x" * 1_000_000),
    "bulk": lambda channel: channel.whole(b"x" * BULK_BYTES),
}
