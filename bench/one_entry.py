"""Measures an entry that gets nearly all new connections of a fleet.

Each request opens a connection of its own.  First the connections go to all
entries in turn, then all to one of them.

    python -m bench.one_entry --entries 7 --rate 90
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import asyncio
import itertools
import os
import pathlib
import time
from typing import NamedTuple

import typer

from standins import fleet

WORKERS = (("push", "b"),) * 6 + (("llm", "b"),) * 6
TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# One request in so many is a stream.
STREAM_EACH = 3


class Answer(NamedTuple):
    """What became of a request.

    Attributes:
      status: Status of its answer, 0 if it was not read or broke off.
      seconds: Time from connecting to the end.
    """

    status: int
    seconds: float


class Figures(NamedTuple):
    """Figures of one phase.

    Attributes:
      served: Share of the requests that were answered with 200.
      unread: Share whose connection was refused or closed without an answer.
      middle_ms: Median time of the served ones.
      slowest_ms: Their 99th percentile.
      processor: Processor time of the entry as a share of one core.
    """

    served: float
    unread: float
    middle_ms: float
    slowest_ms: float
    processor: float


def main(entries: int = 7, rate: float = 90.0, seconds: float = 10.0) -> None:
    """Run both phases and print their figures."""
    with fleet.Fleet(entries=entries, workers=WORKERS, slots=24) as made:
        names = list(made.http)
        for label, to in (("all in turn", names), ("one entry", names[:1])):
            found = _phase(made, to, rate, seconds)
            print(f"{label}: {found}")


def _phase(
    made: fleet.Fleet, to: list[str], rate: float, seconds: float
) -> Figures:
    pid = made.processes[to[0]].popen.pid
    used_s = _processor_s(pid)
    began = time.monotonic()
    answers = asyncio.run(_send_all(made, to, rate, seconds))
    taken_s = time.monotonic() - began
    processor = (_processor_s(pid) - used_s) / taken_s
    served = sorted(a.seconds for a in answers if a.status == 200)
    return Figures(
        served=round(len(served) / len(answers), 4),
        unread=round(sum(not a.status for a in answers) / len(answers), 4),
        middle_ms=round(1000 * served[len(served) // 2], 1),
        slowest_ms=round(1000 * served[int(len(served) * 0.99)], 1),
        processor=round(processor, 3),
    )


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


async def _send_all(
    made: fleet.Fleet, to: list[str], rate: float, seconds: float
) -> list[Answer]:
    began = time.monotonic()
    turns = itertools.cycle(to)
    tasks = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
        path = "/chat/x" if number % STREAM_EACH == 0 else "/read/x"
        address = made.http[next(turns)]
        tasks.append(asyncio.create_task(_ask(made, address, path)))
    return list(await asyncio.gather(*tasks))


async def _ask(made: fleet.Fleet, address: str, path: str) -> Answer:
    began = time.monotonic()
    try:
        status = await asyncio.wait_for(
            _exchange(made, address, path), TIMEOUT_S
        )
    except (OSError, ValueError, TimeoutError):
        status = 0
    return Answer(status, time.monotonic() - began)


async def _exchange(made: fleet.Fleet, address: str, path: str) -> int:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        method = "POST" if path.startswith("/chat") else "GET"
        headers = made.headers(Connection="close", Content_Length="0")
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        answer = await reader.read(-1)
        return int(answer.split(b" ", 2)[1]) if answer else 0
    finally:
        writer.close()


if __name__ == "__main__":
    typer.run(main)
