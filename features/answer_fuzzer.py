"""Generates answers with bytes changed, joined and cut, and judges plays.

Garbage that makes a well-formed event with the due id, stands as text inside
one, or ends an answer where one event ends, cannot be told from an answer.
Everything else that reaches a caller is recognized, by a grammar of its own.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import re
from typing import NamedTuple

from hypothesis import strategies

from features import answer_paths as paths
from standins import garbage

OTHER_ID = "00000000000000b2"
MARK = b"\x00"
# Built of what parsers look for, in any order.
FRAGMENTS = (
    MARK,
    b"\n",
    b"\r",
    b"\r\n",
    b"\n\n",
    b"\r\n\r\n",
    b"\xff",
    b"\xef\xbb\xbf",
    b":",
    b"id:",
    b"id: 3",
    b"id: 999999999999999999999999",
    b"data:",
    b"data: of no run",
    b"event: x",
    b"versions: 2",
    b"0\r\n\r\n",
    b"5\r\n",
    b"ffffffffffffffffff",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: " + b"9" * 5000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Encoding: gzip\r\n",
    b"Request-Id: " + OTHER_ID.encode() + b"\r\n",
    b"Retry-After: 1e400\r\n",
    b"Server-Load: 1,-1,\xb2\r\n",
    b"Server-Limit: \xd9\xa1\r\n",
    b"Keep-Alive: timeout=99999999999999999999\r\n",
    b"x" * 3000,
)
GARBAGE = strategies.lists(
    strategies.sampled_from(FRAGMENTS) | strategies.binary(max_size=6),
    min_size=1,
    max_size=4,
).map(b"".join)
ENDS = ("close", "reset", "")


class Case(NamedTuple):
    """One answer, and how it arrives.

    Attributes:
      framing: How the true answer is framed.
      foreign: Whether an answer to another request stands in front of it.
      edits: Position, bytes that are dropped there and garbage in their
        place; positions count from the begin of the answer.
      cut: Bytes of the answer that arrive; None for all.
      splits: Positions at which reads are split.
      end: How the connection ends.
    """

    framing: str
    foreign: bool
    edits: tuple[tuple[int, int, bytes], ...]
    cut: int | None
    splits: frozenset[int]
    end: str


POSITIONS = strategies.integers(0, 330)
CASES = strategies.builds(
    Case,
    framing=strategies.sampled_from(garbage.FRAMINGS),
    foreign=strategies.sampled_from((False, False, False, True)),
    edits=strategies.lists(
        strategies.tuples(
            POSITIONS, strategies.sampled_from((0, 0, 0, 1, 7, 40)), GARBAGE
        ),
        max_size=2,
    ).map(tuple),
    cut=strategies.none() | POSITIONS,
    splits=strategies.frozensets(POSITIONS, max_size=5),
    end=strategies.sampled_from(ENDS),
)


def whole(kind: str, request_id: str = paths.REQUEST_ID) -> bytes:
    """Return the body of a right answer."""
    return b"".join(paths.true_answer(kind=kind, request_id=request_id)[1])


def answer(kind: str, framing: str, after: int, request_id: str) -> bytes:
    """Return a right answer."""
    head, body = paths.true_answer(
        kind=kind, after=after, request_id=request_id
    )
    return garbage.answer(garbage.Spoilt("", framing, b""), head, body)


def upstream(case: Case, kind: str) -> paths.Upstream:
    """Return the upstream of a case."""

    def send(after: int) -> paths.Script:
        data = answer(kind, case.framing, after, paths.REQUEST_ID)
        if case.foreign:
            data = answer(kind, "sized", 0, OTHER_ID) + data
        for at, dropped, inserted in sorted(case.edits, reverse=True):
            data = data[:at] + inserted + data[at + dropped :]
        data = data[: case.cut]
        edges = [0, *sorted(s for s in case.splits if s < len(data)), None]
        pieces = [
            data[first:last]
            for first, last in zip(edges, edges[1:], strict=False)
        ]
        return paths.Script(pieces, case.end)

    return send


def sound(kind: str) -> paths.Upstream:
    """Return an upstream that answers rightly."""
    return lambda after: paths.Script(
        [answer(kind, "chunked", after, paths.REQUEST_ID)]
    )


def play(case: Case, kind: str, *, resumable: bool = True) -> paths.Seen:
    """Play a case, with a sound upstream behind the one of the case."""
    upstreams = [upstream(case, kind), sound(kind)]
    return paths.Play(upstreams, kind=kind, resumable=resumable).run()


EVENT = re.compile(
    rb"(?:versions: ?[0-9]+\n)?id: ?([0-9]+)\n"
    rb"data: ?[^\x00-\x08\x0a-\x1f\x7f]+\n\n"
)


def is_true(case: Case, seen: paths.Seen, kind: str) -> bool:
    """Return whether a caller received a piece of one run, or nothing."""
    if seen.status != 200:
        return not seen.body
    if not _is_proved(seen):
        return False
    if kind == "chat":
        return _is_true_stream(case, seen)
    if _is_altered(case) and not seen.failures:
        # What a length says is the body is taken to be that.
        return True
    expected = whole(kind)
    return seen.body == expected if seen.complete else not seen.body


def _is_proved(seen: paths.Seen) -> bool:
    """Return whether the head of a success has what it needs."""
    stamps = [v for name, v in seen.headers if name == b"response-stamp"]
    codings = [v for name, v in seen.headers if name == b"content-encoding"]
    return len(stamps) == 1 and stamps[0] != b"" and not codings


def _is_true_stream(case: Case, seen: paths.Seen) -> bool:
    """Return whether a body is a series of events in their order."""
    try:
        seen.body.decode()
    except UnicodeDecodeError:
        return False
    found = list(EVENT.finditer(seen.body))
    ids = [int(match.group(1)) for match in found]
    if b"".join(match.group() for match in found) != seen.body:
        return False
    if ids != list(range(1, len(ids) + 1)):
        return False
    if _is_altered(case):
        return True
    expected = whole("chat")
    if seen.complete and case.framing != "unframed":
        return seen.body == expected
    return expected.startswith(seen.body)


def _is_altered(case: Case) -> bool:
    return bool(case.edits) or case.cut is not None
