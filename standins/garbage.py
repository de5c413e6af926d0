"""Answers of a worker with bytes in them that belong to no answer.

A path says what is wrong, as in "/chat/spoilt/between/unframed/lines/whole":
the place of the garbage, how the answer is framed, what the garbage is, and
whether it all arrives at once or byte by byte.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from . import flood

WORD = "spoilt"
EVENTS = 6
# The event in which, or behind which, garbage stands.
SPOILT_EVENT = 3
# An event that is split has so many bytes behind the split.
SPLIT_BYTES = 3

GARBAGE = {
    "binary": b"\x00\x01\xfe\xff\x80",
    "lines": b"\x00\x01 no answer at all\r\n\r\n",
    "text": b"no answer at all",
    "line": b"no answer at all\n",
    "empty-line": b"\n\n",
    "blank": b"\r\n\r\n",
    "returns": b"no answer at all\r\r",
    "data": b"data: of no run\n\n",
    "data-crlf": b"data: of no run\r\n\r\n",
    "event": b"id: 4\ndata: of no run\n\n",
    "comment": b": no answer at all\n",
    "empty-id": b"id:\r\n\r\n",
    "not-utf8": b"\xff\xfe\n\n",
    "digits": b"9" * 5000,
    "id-digits": b"id: " + b"9" * 5000 + b"\n\n",
    "head": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "large": b"\x00no answer" * 150_000,
}
FRAMINGS = ("chunked", "sized", "unframed")
# Places inside the body, in its framing.
BODY_PLACES = ("first", "inside", "torn", "between", "behind-last")
PLACES = (
    "before-head",
    "in-head",
    "after-head",
    *BODY_PLACES,
    "chunk-size",
    "chunk-extension",
    "trailer",
    "behind",
)


# Garbage that makes an event as an upstream may send it: nothing but the
# meaning of its text would tell.
INDISTINGUISHABLE = {
    "inside": {"text", "digits", "empty-line", "data", "event", "id-digits"},
    "torn": {"empty-line", "data", "event", "id-digits"},
    "between": {"event"},
}
# Garbage by which a body of one piece is seen not to be whole.
SEEN_IN_BODIES = tuple(
    f"{WORD}/{place}/chunked/{name}/{pace}"
    for place, name in (
        ("before-head", "lines"),
        ("in-head", "line"),
        ("after-head", "text"),
        ("trailer", "text"),
        ("behind", "head"),
    )
    for pace in ("whole", "bytes")
)
ENDLESS_WORD = "endless"
ENDLESS_BYTES = 64 * 1024
# It states that the request has not run.
ENDLESS_REFUSAL_WORD = "endless-refusal"


class Spoilt(NamedTuple):
    """What is wrong with an answer.

    Attributes:
      place: One of PLACES.
      framing: One of FRAMINGS.
      garbage: The bytes.
      bytewise: Whether it arrives byte by byte.
    """

    place: str
    framing: str
    garbage: bytes
    bytewise: bool = False


def from_path(path: str) -> Spoilt:
    """Read what a path says."""
    words = path.strip("/").split("/")
    place, framing, name, pace = words[words.index(WORD) + 1 :][:4]
    return Spoilt(place, framing, GARBAGE[name], pace == "bytes")


def event(number: int) -> bytes:
    """Return one true event."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def stream(after: int = 0) -> list[bytes]:
    """Return the true events behind one that the caller has."""
    return [event(number) for number in range(after + 1, EVENTS + 1)]


def answer(spoilt: Spoilt, head: list[bytes], body: list[bytes]) -> bytes:
    """Return an answer with garbage in it.

    Args:
      spoilt: What is wrong.
      head: Status line and headers without that of the framing, each with
        its line end.
      body: The pieces of the true body.
    """
    pieces = list(body)
    at = min(SPOILT_EVENT, len(pieces) - 1)
    match spoilt.place:
        case "first":
            pieces.insert(0, spoilt.garbage)
        case "inside" | "torn":
            half = max(0, len(pieces[at]) - SPLIT_BYTES)
            rest = pieces[at][half:] if spoilt.place == "inside" else b""
            pieces[at : at + 1] = [pieces[at][:half], spoilt.garbage, rest]
        case "between":
            pieces.insert(at, spoilt.garbage)
        case "behind-last":
            pieces.append(spoilt.garbage)
    pieces = [piece for piece in pieces if piece]
    return _before(spoilt, head, pieces) + _framed(spoilt, pieces)


def _before(spoilt: Spoilt, head: list[bytes], pieces: list[bytes]) -> bytes:
    """Return the head, and what stands before and behind it."""
    rows = list(head)
    if spoilt.framing == "chunked":
        rows.append(b"Transfer-Encoding: chunked\r\n")
    elif spoilt.framing == "sized":
        size = sum(len(piece) for piece in pieces)
        rows.append(b"Content-Length: %d\r\n" % size)
    rows.append(b"\r\n")
    match spoilt.place:
        case "before-head":
            rows.insert(0, spoilt.garbage)
        case "in-head":
            rows.insert(2, spoilt.garbage)
        case "after-head":
            rows.append(spoilt.garbage)
    return b"".join(rows)


def _framed(spoilt: Spoilt, pieces: list[bytes]) -> bytes:
    """Return the body in its framing, and what stands in and behind it."""
    behind = spoilt.garbage if spoilt.place == "behind" else b""
    if spoilt.framing != "chunked":
        return b"".join(pieces) + behind
    rows = []
    for number, piece in enumerate(pieces):
        size = b"%x" % len(piece)
        if number == SPOILT_EVENT and spoilt.place == "chunk-size":
            size = spoilt.garbage
        if number == SPOILT_EVENT and spoilt.place == "chunk-extension":
            size += b";" + spoilt.garbage
        rows.append(b"%b\r\n%b\r\n" % (size, piece))
    trailer = spoilt.garbage + b"\r\n" if spoilt.place == "trailer" else b""
    return b"".join(rows) + b"0\r\n" + trailer + b"\r\n" + behind


def send(channel: Any) -> None:
    """Answer as the path of the request says; see worker_faults.py."""
    path = channel.request.target.decode()
    spoilt = from_path(path)
    streams = path.startswith("/chat")
    after = int(channel.header("last-event-id") or 0)
    body = stream(after) if streams else [channel.text()]
    kind = "text/event-stream" if streams else "application/json"
    lines = channel.head_lines(200, [("Content-Type", kind)])
    head = lines.removesuffix(b"\r\n").splitlines(keepends=True)
    data = answer(spoilt, head, body)
    channel.send_spoilt(data, spoilt)


def stream_words() -> list[str]:
    """Return what a path may say of a stream, for random choice."""
    return [
        f"{WORD}/{place}/{framing}/{name}/{pace}"
        for place in PLACES
        for framing in FRAMINGS
        for name, data in GARBAGE.items()
        for pace in ("whole", "bytes")
        if name not in INDISTINGUISHABLE.get(place, ())
        and (pace == "whole" or len(data) < ENDLESS_BYTES)
        # Those that lose their framing wait for its end.
        and (place != "in-head" or framing == "unframed")
    ]


def send_endless(channel: Any) -> None:
    """Send bytes without end, as the path of the request says."""
    words = channel.request.target.decode().strip("/").split("/")
    what = "refusal"
    if ENDLESS_WORD in words:
        what = words[words.index(ENDLESS_WORD) + 1]
    piece = b"x" * ENDLESS_BYTES
    chunk = flood.chunk(piece)
    chunked = ("Transfer-Encoding", "chunked")
    events = ("Content-Type", "text/event-stream")
    begin = b""
    match what:
        case "line":
            begin, more = b"HTTP/1.1 200 OK\r\nX: ", piece
        case "interim":
            more = b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 1000
        case "refusal":
            begin = channel.head_lines(503, [("Not-Executed", "1"), chunked])
            more = chunk
        case "error":
            begin, more = channel.head_lines(500, [chunked]), chunk
        case "event":
            begin = channel.head_lines(200, [events, chunked])
            begin += flood.chunk(b"id: 1\ndata: x")
            more = chunk
        case "garbage":
            begin, more = channel.head_lines(200, [events, chunked]), chunk
    channel.transport.write(begin)
    flood.Flood(channel.transport, channel.run or {}, lambda _: more).start()
