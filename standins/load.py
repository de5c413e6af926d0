"""Callers in threads, each checking its own answer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

import httpx

from . import cluster, engine


class Told(NamedTuple):
    """What a caller was told.

    Attributes:
      id: What the caller put into its request.
      status: HTTP status; 0 when there was none.
      outcome: "ran", "not-run", "unknown", or "broken" for an answer that
        visibly broke off, "lost" for none at all.
      right: Whether a whole answer was the caller's own.
      retry_after: The header, empty for none.
      at: Monotonic seconds at which the request was sent.
      seconds: How long it took.
    """

    id: str
    status: int
    outcome: str
    right: bool
    retry_after: str
    at: float
    seconds: float


def uuid7() -> str:
    """Return a key with the time in it."""
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62)
    return str(uuid.UUID(int=value | (uuid.uuid4().int & ((1 << 62) - 1))))


def stream(
    made: cluster.Cluster,
    entry: str,
    tokens: int,
    *,
    on_first: Callable[[str], None] = lambda _prompt: None,
    **headers: str,
) -> Told:
    """Stream a completion and check its text; on_first when it begins."""
    prompt = f"prompt {uuid.uuid4().hex}"
    data = {"model": "m1", "prompt": prompt, "max_tokens": tokens}
    url = f"{made.http[entry]}/v1/completions"
    at = time.monotonic()
    status, outcome, after, right = 0, "lost", "", True
    text: list[str] = []
    try:
        with httpx.stream(
            "POST",
            url,
            json={**data, "stream": True},
            headers=made.headers(**headers),
            timeout=60,
        ) as answer:
            status = answer.status_code
            outcome = answer.headers["reelscale-outcome"]
            after = answer.headers.get("retry-after", "")
            ended = status != 200
            for line in answer.iter_lines():
                ended = ended or line == "data: [DONE]"
                if line.startswith("data: {"):
                    event = json.loads(line[6:])
                    if not text:
                        on_first(prompt)
                    text.append(event["choices"][0]["text"])
        if not ended:
            outcome = "broken"
    except httpx.HTTPError:
        outcome = "broken" if status else "lost"
    whole = engine.expected(prompt, tokens)
    if outcome == "ran":
        right = "".join(text) == whole
    else:
        right = whole.startswith("".join(text))
    seconds = time.monotonic() - at
    return Told(prompt, status, outcome, right, after, at, seconds)


def send(
    made: cluster.Cluster,
    entry: str,
    path: str = "/send",
    key: str = "",
    body: str = "",
) -> Told:
    """Call the plain service once, for something not to be repeated."""
    body = body or uuid.uuid4().hex
    headers = made.headers()
    if key:
        headers["idempotency-key"] = key
    at = time.monotonic()
    status, outcome, after, right = 0, "lost", "", True
    try:
        answer = httpx.post(
            f"{made.http[entry]}/services/codes{path}",
            content=body.encode(),
            headers=headers,
            timeout=60,
        )
        status = answer.status_code
        outcome = answer.headers["reelscale-outcome"]
        after = answer.headers.get("retry-after", "")
        if outcome == "ran":
            right = answer.json()["body"] == body
    except httpx.HTTPError:
        pass
    return Told(body, status, outcome, right, after, at, time.monotonic() - at)


class Load:
    """Threads that go on calling until told to stop."""

    def __init__(self, calls: list[Callable[[], Told]]) -> None:
        """Make one thread for each call, which it repeats."""
        self.told: list[Told] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(call,), daemon=True)
            for call in calls
        ]

    def __enter__(self) -> "Load":
        """Begin."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        """End after the calls in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(90)

    def _run(self, call: Callable[[], Told]) -> None:
        while not self._stop.is_set():
            self.told.append(call())
            time.sleep(0.005)


def outcomes(told: list[Told]) -> dict[str, int]:
    """Count what callers were told."""
    counts: dict[str, int] = {}
    for row in told:
        counts[row.outcome] = counts.get(row.outcome, 0) + 1
    return counts
