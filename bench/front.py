"""Time that an entry with an adapter adds to a stream, and what it takes.

The same streams straight to a worker and through an entry, in turn, from
this process.  Beside it the processor time of the entry for each request.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import asyncio
import itertools
import time
from typing import Any

from standins import fleet, worker

from . import caller, path

CONCURRENT = (1, 16, 64)
TOTALS = {1: 60, 16: 320, 64: 640}
ROUNDS = 2
PATH = "/chat/x"
# The last chunk of an answer.
END = b"0\r\n\r\n"


async def stream(
    address: str, made: fleet.Fleet, number: int
) -> caller.Timing:
    """Stream one answer; events are told apart by their data lines."""
    host, port = address.rsplit(":", 1)
    lines = [f"POST {PATH} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in made.headers().items()]
    lines += ["content-length: 0", "connection: close", "", ""]
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join(lines).encode())
    first = 0.0
    events = 0
    tail = b""
    while not tail.endswith(END):
        data = await reader.read(65536)
        if not data:
            break
        events += data.count(b"data: ")
        if events and not first:
            first = time.perf_counter() - start
        tail = (tail + data)[-256:]
    whole_s = time.perf_counter() - start
    writer.close()
    whole = events == worker.EVENTS and tail.endswith(END)
    return caller.Timing(first, whole_s, events, whole)


async def many(
    address: str, made: fleet.Fleet, streams: int, total: int
) -> list[caller.Timing]:
    """Run total streams, so many at once."""
    numbers = itertools.count()
    found: list[caller.Timing] = []

    async def work() -> None:
        while (number := next(numbers)) < total:
            found.append(await stream(address, made, number))

    await asyncio.gather(*[work() for _ in range(streams)])
    return found


def measure(streams: int) -> dict[str, float]:
    """Compare streams straight to the worker with those through an entry."""
    rows: dict[str, list[caller.Timing]] = {"direct": [], "through": []}
    used_s = 0.0
    with fleet.Fleet(workers=(("llm", "a"),), slots=4 * streams) as made:
        pid = made.processes["f1"].popen.pid
        for _ in range(ROUNDS):
            for name, address in (
                ("direct", made.address["w1"]),
                ("through", made.http["f1"]),
            ):
                before_s = path.cpu_s(pid)
                count = TOTALS[streams] // ROUNDS
                found = asyncio.run(many(address, made, streams, count))
                rows[name] += found
                if name == "through":
                    used_s += path.cpu_s(pid) - before_s
    whole = [item.whole for item in rows["through"]]
    data = {"whole": sum(whole) / len(whole)}
    data["cpu_ms"] = used_s / len(whole) * 1000
    for percent in (50, 99):
        for name, items in rows.items():
            first = [item.first_s for item in items if item.whole]
            found_ms = caller.percentile(first, percent) * 1000
            data[f"first_p{percent}_{name}_ms"] = found_ms
    return data


def main() -> dict[str, Any]:
    """Run everything and print a table."""
    data = {str(streams): measure(streams) for streams in CONCURRENT}
    for streams, row in data.items():
        cells = []
        for percent in (50, 99):
            direct = row[f"first_p{percent}_direct_ms"]
            through = row[f"first_p{percent}_through_ms"]
            cells.append(
                f"p{percent} {direct:.1f} -> {through:.1f} ms "
                f"(x{through / direct:.2f}, +{through - direct:.1f} ms)"
            )
        print(
            f"{streams:>3} streams: first event {', '.join(cells)}; entry "
            f"{row['cpu_ms']:.2f} ms a stream; whole {row['whole']:.3f}"
        )
    return data


if __name__ == "__main__":
    main()
