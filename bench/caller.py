"""Callers for the benches: many streams at once from one process."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import asyncio
import json
import time
from typing import NamedTuple


class Timing(NamedTuple):
    """How long one stream took.

    Attributes:
      first_s: Until its first event.
      whole_s: Until its end event.
      events: Events seen.
      whole: Whether its end event was seen.
    """

    first_s: float
    whole_s: float
    events: int
    whole: bool


async def stream(
    host: str, port: int, head: dict[str, str], prompt: str, tokens: int
) -> Timing:
    """Stream one completion."""
    data = {"model": "m1", "prompt": prompt, "max_tokens": tokens}
    body = json.dumps({**data, "stream": True}).encode()
    lines = ["POST /v1/completions HTTP/1.1", f"host: {host}:{port}"]
    lines += [f"{name}: {value}" for name, value in head.items()]
    lines += ["connection: close", f"content-length: {len(body)}", "", ""]
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(host, port)
    writer.write("\r\n".join(lines).encode() + body)
    first = 0.0
    events = 0
    tail = b""
    while True:
        data_read = await reader.read(65536)
        if not data_read:
            break
        events += data_read.count(b"data: {")
        if events and not first:
            first = time.perf_counter() - start
        tail = (tail + data_read)[-64:]
    writer.close()
    whole = b"[DONE]" in tail
    return Timing(first, time.perf_counter() - start, events, whole)


async def many(
    address: str,
    head: dict[str, str],
    *,
    streams: int,
    tokens: int,
    total: int,
    pace: int = 0,
) -> list[Timing]:
    """Run total streams, so many at once."""
    host, port = address.rsplit(":", 1)
    numbers = iter(range(total))
    found: list[Timing] = []

    async def work() -> None:
        for number in numbers:
            prompt = f"pace {pace}" if pace else f"bench {number}"
            got = await stream(host, int(port), head, prompt, tokens)
            found.append(got)

    await asyncio.gather(*[work() for _ in range(streams)])
    return found


def run(address: str, head: dict[str, str], **options: int) -> list[Timing]:
    """Run streams from this process; return their timings."""
    return asyncio.run(many(address, head, **options))


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(values)
    at = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[at]
