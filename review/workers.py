"""A small stand-in for a worker of a plain service, by the pages."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Callable

import lab

# What a worker says of each answer; a hook may add to it or hold it back.
OK = "200 OK"
FULL = "503 Service Unavailable"
MISDIRECTED = "421 Misdirected Request"


@dataclasses.dataclass
class Run:
    """One run of a request.

    Attributes:
      id: The request's id.
      began_s: When the worker began, in seconds of the case.
    """

    id: str
    began_s: float


class Channel:
    """One connection to a worker.

    Attributes:
      surplus: Bytes that come before the answer to the next request.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.surplus = b""
        self._writer = writer

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self._writer.write(data)


class Worker:
    """A worker with some slots and a short queue.

    Attributes:
      address: Where it listens.
      runs: What it has run.
      refused: Ids of the requests that it refused without running them.
      after_answer: Called with the channel, the request and the answer that
        was written, so that a case can have the worker do something wrong.
    """

    def __init__(
        self,
        *,
        place: lab.Lab,
        name: str,
        service: str,
        slots: int,
        queue: int,
        work_s: float,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.address = ""
        self.runs: list[Run] = []
        self.refused: set[str] = set()
        self.after_answer: Callable[[Channel, lab.Message, bytes], None] = (
            lambda *_: None
        )
        # Share of the requests that it refuses though it has room.
        self.shed_share = 0.0
        self._born_ms = time.time_ns() // 1_000_000
        self._lab = place
        self._chance = random.Random(name)
        self._queue = queue
        self._work_s = work_s
        self._in_progress = 0
        self._working = asyncio.Semaphore(slots)
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.Task] = set()

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Take connections."""
        port = lab.free_port(host)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return what it writes of itself into the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "born": self._born_ms,
            "seq": next(self._numbers),
        }

    async def beat(self, platform: lab.Platform) -> None:
        """Write its entry again and again."""
        while True:
            await asyncio.sleep(lab.HEARTBEAT_S)
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await platform.announce(self.name, self.entry())

    def close(self) -> None:
        """Take no more connections and close all that are open."""
        if self._server is not None:
            self._server.close()
        for channel in self._channels:
            channel.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(writer)
        self._channels.add(asyncio.current_task())
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                request = await lab.read_message(reader, is_answer=False)
                channel.write(channel.surplus)
                channel.surplus = b""
                answer = await self._answer(request)
                channel.write(answer)
                self.after_answer(channel, request, answer)
        self._channels.discard(asyncio.current_task())
        writer.close()

    async def _answer(self, request: lab.Message) -> bytes:
        """Run a request, or refuse it."""
        wanted = request.headers.get("expect-instance", self.name)
        if wanted != self.name:
            return self._encode(request, MISDIRECTED, b"")
        full = self._in_progress >= self.slots + self._queue
        if full or self._chance.random() < self.shed_share:
            self.refused.add(request.id)
            self._lab.note("refusal", id=request.id, worker=self.name)
            return self._encode(request, FULL, b"", "Not-Executed: 1")
        self._in_progress += 1
        try:
            async with self._working:
                run = Run(request.id, self._lab.now())
                self.runs.append(run)
                self._lab.note("run", id=run.id, worker=self.name)
                await asyncio.sleep(self._work_s)
        finally:
            self._in_progress -= 1
        return self._encode(request, OK, b"done " + request.id.encode())

    def _encode(
        self, request: lab.Message, status: str, body: bytes, *more: str
    ) -> bytes:
        running = min(self._in_progress, self.slots)
        waiting = self._in_progress - running
        rows = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {request.id}",
            f"Response-Stamp: {self.name}.{request.id}",
            f"Server-Load: {running},{waiting},{self.slots}",
            f"Instance-Id: {self.name}",
            f"Content-Length: {len(body)}",
            *more,
        ]
        return "\r\n".join(rows).encode() + b"\r\n\r\n" + body
