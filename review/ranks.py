"""A small stand-in for a group of model workers, by the pages.

The ranks of a group make every pass together.  If one falls silent, all stand
still; streams in progress are cut after a while, and requests that have not
begun get 503 with `Not-Executed`.  Once it is back, the group opens again.
"""

import asyncio
import contextlib
import itertools
import json
import time

import lab

# Events of a stream, and seconds from one to the next.
EVENTS = 28
PASS_S = 0.045
# Seconds from a request to its first event.
FIRST_S = 0.1
# Bounds of the deployment.
STALL_S = 1.5
FORM_S = 0.6
FULL = ("503 Service Unavailable", "Not-Executed: 1")


class Group:
    """The ranks and whether they work.

    Attributes:
      ranks: The ranks, by number.
      open: Whether the group makes passes.
      epoch: How often it has formed.
    """

    def __init__(self, place: lab.Lab) -> None:
        self.ranks: list[Rank] = []
        self.open = True
        self.epoch = 1
        self._lab = place

    @property
    def silent(self) -> bool:
        """Whether any rank is silent."""
        return any(rank.silent for rank in self.ranks)

    async def go_dark(
        self, number: int, for_s: float, platform: lab.Platform
    ) -> None:
        """Have a rank crash, fall silent for a while and start again."""
        rank = self.ranks[number]
        rank.silent = True
        self._lab.note("rank is dark", rank=rank.name)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(STALL_S)
        self.open = False
        others = [item for item in self.ranks if not item.silent]
        cut = [stream for item in others for stream in item.streams]
        for stream in cut:
            stream.cancel()
        self._lab.note("group is broken", streams_cut=len(cut))
        await asyncio.sleep(3 * lab.HEARTBEAT_S - STALL_S)
        # The platform takes the entry away after three heartbeats of silence.
        await platform.announce(rank.name, None)
        left_s = began + for_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))
        rank.start_again()
        await platform.announce(rank.name, rank.entry())
        await asyncio.sleep(FORM_S)
        self.epoch += 1
        self.open = True
        self._lab.note("group is open", rank=rank.name, epoch=self.epoch)


class Rank:
    """One rank: a model worker on a machine of its own.

    Attributes:
      name: Its id, a new one with each start.
      address: Where it listens.
      silent: Whether it answers nobody.
      streams: The streams that it writes.
      ran: Number of requests that it has begun.
    """

    def __init__(
        self, *, place: lab.Lab, group: Group, service: str, slots: int
    ) -> None:
        self.address = ""
        self.silent = False
        self.streams: set[asyncio.Task] = set()
        self.ran = 0
        self._number = len(group.ranks)
        self._lab = place
        self._group = group
        self._service = service
        self._slots = slots
        self._starts = itertools.count(1)
        self._sequence = itertools.count(1)
        self._channels: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        group.ranks.append(self)
        self.start_again()

    def start_again(self) -> None:
        """Start anew, knowing nothing of before."""
        self.name = f"rank{self._number}-{next(self._starts)}"
        self.silent = False
        self._born_ms = time.time_ns() // 1_000_000
        for channel in self._channels:
            channel.cancel()

    async def listen(self, host: str, port: int) -> None:
        """Take connections."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels:
            channel.cancel()

    def entry(self) -> dict[str, object]:
        """Return what it writes of itself into the store."""
        return {
            "service": self._service,
            "addr": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self._born_ms,
            "seq": next(self._sequence),
        }

    async def beat(self, platform: lab.Platform) -> None:
        """Write its entry again and again, unless it is silent."""
        while True:
            await asyncio.sleep(lab.HEARTBEAT_S)
            if not self.silent:
                with contextlib.suppress(OSError, EOFError, TimeoutError):
                    await platform.announce(self.name, self.entry())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._channels.add(task)
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                request = await lab.read_message(reader, is_answer=False)
                await self._answer(request, reader, writer)
        self._channels.discard(task)
        # Broken off rather than ended, if in the middle of a stream.
        writer.transport.abort()

    async def _answer(
        self,
        request: lab.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while self.silent:
            await asyncio.sleep(PASS_S)
        if request.path.startswith("/api/"):
            writer.write(_encode("", "200 OK", self._report(request.path)))
            return
        wanted = request.headers.get("expect-instance", self.name)
        if wanted != self.name:
            writer.write(_encode(request.id, "421 Misdirected Request"))
            return
        if self._group.open and self._group.silent:
            # The group stands still; nothing begins before it is told.
            await self._until_told()
        full = len(self.streams) >= self._slots
        if full or not self._group.open:
            self._lab.note("refusal", id=request.id, rank=self.name)
            writer.write(_encode(request.id, FULL[0], b"", *FULL[1:]))
            return
        self.ran += 1
        stream = asyncio.create_task(self._stream(request, reader, writer))
        self.streams.add(stream)
        try:
            await stream
        finally:
            self.streams.discard(stream)

    async def _until_told(self) -> None:
        """Wait while the rank is silent or the group stands still."""
        while self.silent or (self._group.open and self._group.silent):
            await asyncio.sleep(PASS_S)

    async def _stream(
        self,
        request: lab.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write the events of a stream after the last that the caller has."""
        rows = (
            "HTTP/1.1 200 OK",
            f"Request-Id: {request.id}",
            f"Response-Stamp: {self.name}.{request.id}",
            f"Server-Load: {len(self.streams)},0,{self._slots}",
            "Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        last = int(request.headers.get("last-event-id", "0"))
        await asyncio.sleep(FIRST_S)
        await self._until_told()
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n")
        for number in range(last + 1, EVENTS + 1):
            if reader.at_eof():
                # Its caller has left.
                return
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(PASS_S)
            await self._until_told()
        writer.write(b"0\r\n\r\n")

    def _report(self, path: str) -> bytes:
        """Return its report as a rank, or what its requests have chosen."""
        group = {
            "name": "g0",
            "epoch": self._group.epoch,
            "rank": self._number,
            "state": "open" if self._group.open else "broken",
        }
        report = {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "group": group,
            "size": len(self._group.ranks),
            "in_flight": False,
            "seq": 0,
            "active": len(self.streams),
            "queued": 0,
            "step": int(time.monotonic() / PASS_S),
            "map": 0,
            "prepared": None,
            "armed": None,
            "held": None,
            "born": self._born_ms,
        }
        born = {"epoch": self._group.epoch, "born": self._born_ms}
        picked = {"step": report["step"], "counts": [1] * 8, **born}
        held = {"version": 0, "experts": [[self._number]]}
        lists = {"map": held, "prepared": None, **born}
        match path:
            case "/api/report":
                found = report
            case "/api/picked":
                found = picked
            case "/api/order":
                found = {}
            case _:
                found = lists
        return json.dumps(found).encode()


def _encode(
    request_id: str, status: str, body: bytes = b"", *more: str
) -> bytes:
    """Return an answer in one piece."""
    rows = [f"HTTP/1.1 {status}", *more]
    if request_id:
        rows.append(f"Request-Id: {request_id}")
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body
