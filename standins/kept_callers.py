"""Callers that use their connections until the other side is gone."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import random
import threading
import time
from typing import NamedTuple

from . import fleet, garbage

# What a request meets at a faulty worker, by kind of route; "x" is nothing.
WORDS_BY_KIND = {
    "push": ("x", "x", "x", "shed", "error", "reset", "short", "garbage",
             "foreign", "extra", "extra-late", "shed-surplus", "unframed"),
    "read": ("x", "x", "shed", "error", "reset", "foreign", "extra-late"),
    "chat": ("x", "x", "shed", "cut", "torn", "gap", "unsized-torn"),
}  # fmt: skip
# The share of requests that meet garbage instead, or bytes without end.
GARBAGE_SHARE = 0.25
GARBAGE_BY_KIND = {
    "push": (*garbage.SEEN_IN_BODIES, "endless/line", "endless-refusal",
             "endless/error"),
    "read": (*garbage.SEEN_IN_BODIES, "endless/interim", "endless/error"),
    "chat": (*garbage.stream_words(), "endless/line", "endless/event",
             "endless/garbage"),
}  # fmt: skip
PAUSE_S = 0.02
RECONNECT_S = 0.1


class Sent(NamedTuple):
    """A request and what became of it.

    Attributes:
      id: Its id.
      kind: "push" (must not run twice), "read" or "chat".
      entry: The entry that it was sent to.
      at: Monotonic seconds at which it was sent.
      ended_at: Monotonic seconds at which its answer ended.
      status: Status of its answer, 0 if there was none.
      body: Body of its answer, None if that broke off.
    """

    id: str
    kind: str
    entry: str
    at: float
    ended_at: float
    status: int
    body: bytes | None


class Callers:
    """Threads that send one request after the other.

    Attributes:
      sent: All requests that have ended.
    """

    def __init__(self, made: fleet.Fleet, *, count: int, seed: int) -> None:
        self.sent: list[Sent] = []
        self._fleet = made
        self._stopping = threading.Event()
        entries = list(made.http)
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(entries[number % len(entries)], seed * 1000 + number),
            )
            for number in range(count)
        ]

    def __enter__(self) -> "Callers":
        """Start to send."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Send no more and wait for the answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry: str, seed: int) -> None:
        source = random.Random(seed)
        conn = self._fleet.connect(entry)
        while not self._stopping.is_set():
            kind = source.choice(("push", "push", "read", "chat"))
            words = WORDS_BY_KIND
            if source.random() < GARBAGE_SHARE:
                words = GARBAGE_BY_KIND
            word = source.choice(words[kind])
            row = self._send(conn, entry, kind, word)
            self.sent.append(row)
            if row.body is None:
                conn.close()
                conn = self._fleet.connect(entry)
                # The entry may be gone for a while.
                time.sleep(RECONNECT_S)
            time.sleep(PAUSE_S * source.uniform(0.1, 2.0))
        conn.close()

    def _send(
        self,
        conn: http.client.HTTPConnection,
        entry: str,
        kind: str,
        word: str,
    ) -> Sent:
        headers = self._fleet.headers()
        at, status, body = time.monotonic(), 0, None
        try:
            conn.request("POST", f"/{kind}/{word}", b"once", headers)
            answer = conn.getresponse()
            status = answer.status
            body = answer.read()
        except (OSError, http.client.HTTPException):
            # Whether this was allowed is judged by what the workers ran.
            pass
        request_id = headers["Request-Id"]
        ended_at = time.monotonic()
        return Sent(request_id, kind, entry, at, ended_at, status, body)
