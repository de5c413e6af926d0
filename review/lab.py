"""Processes, stand-ins and callers that the cases of this folder share.

A case starts the project's programs with the commands of the deploy file and
the project's stand-in of the store.  Workers and callers are small stand-ins
that run inside the case's own process, on one event loop.
"""

import asyncio
import contextlib
import dataclasses
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIBRARIES = ROOT / "target" / "deps"
HOST = "api.example"
KEY = "key-of-acme"
TENANT = "acme"
# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2
# Below the usual range of ports of outgoing connections.
PORTS = range(20_000, 32_000)
START_TIMEOUT_S = 20.0
# A case that takes longer has not run.
LIMIT_S = 110.0
# With fewer requests served a case shows nothing.
MIN_SERVED = 100
HEARTBEAT_S = 1.2
# Seeds that the settings of an entry name at most.
MAX_SEEDS = 3
_LENGTH = struct.Struct(">I")


class SetupError(Exception):
    """The case could not be set up."""


class Lab:
    """The processes of one case and its record.

    Attributes:
      dir: Temporary folder with settings and logs.
      health: Addresses of the entries for probes.
    """

    def __init__(self, record: pathlib.Path) -> None:
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.health: list[str] = []
        self._record = record.open("w")
        self._began_at = time.monotonic()
        self._processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        if not LIBRARIES.is_dir():
            raise SetupError("target/deps is missing: run the build first")

    def now(self) -> float:
        """Return seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def note(self, event: str, **fields: Any) -> None:
        """Write one line to the record."""
        row = {"t": round(self.now(), 3), "event": event, **fields}
        self._record.write(json.dumps(row) + "\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to the terminal."""
        self.note("says", text=text)
        print(text, flush=True)

    def start_role(self, role: str, settings: dict[str, Any]) -> None:
        """Start an entry or an agent with the command of the deploy file."""
        path = self._write_settings(settings["name"], settings)
        command = self._roles[role]["run"].split()
        env = {"REELSCALE_NODE_FILE": str(path)}
        self._start(settings["name"], command, env)

    def start_store(self) -> str:
        """Start the stand-in of the store; return its address."""
        port = free_port("127.0.0.1")
        path = self._write_settings("store", {"port": port})
        command = ["python3", "-m", "standins.store", "--settings", str(path)]
        self._start("store", command, {})
        return f"127.0.0.1:{port}"

    def restart(self, name: str) -> None:
        """Start a process again that has ended."""
        command, env = self._commands[name]
        self._start(name, command, env)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._processes[name].kill()
        self._processes[name].wait()
        self.note("killed", process=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)
        self.note("signal", process=name, signal=number.name)

    def running(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._processes[name].poll() is None

    def close(self) -> None:
        """End all processes; delete their files."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            if process.poll() is None:
                process.kill()
                process.wait()
        self._record.close()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.dir, ignore_errors=True)

    def _write_settings(self, name: str, data: dict[str, Any]) -> pathlib.Path:
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(data))
        return path

    def _start(
        self, name: str, command: list[str], env: dict[str, str]
    ) -> None:
        usual = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        libraries = {"PYTHONPATH": str(LIBRARIES), "LANG": "C.UTF-8"}
        with (self.dir / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=usual | libraries | env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._commands[name] = command, env
        self.note("started", process=name, command=command)


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody listens at."""
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise SetupError("no free port")


def entry_settings(
    name: str, host: str, ports: dict[str, int], store: str, **more: Any
) -> dict[str, Any]:
    """Return the settings of an entry, as the template gives them."""
    return {
        "adapter": "reelscale_platform",
        "name": name,
        "hall": "hall-a",
        "http": f"{host}:{ports['http']}",
        "health": f"{host}:{ports['health']}",
        "peer": f"{host}:{ports['peer']}",
        "usage": f"{host}:{ports['usage']}",
        "agent_port": 0,
        "peers": [],
        "platform": f"http://{store}",
        "grace_s": 8.0,
        "descriptors": 4200,
        "retry_ratio": 0.2,
        "snapshot_every": 1_000_000_000,
        "stop_wait_s": 2.6,
        "log_json": True,
        **more,
    }


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a desired state."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "prio": 1,
        "attempts": 1,
        "public": False,
        **more,
    }


def desired_state(
    version: int, routes: list[dict], services: list[dict]
) -> dict[str, Any]:
    """Return a desired state with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "prio": 1}],
    }


# HTTP/1.1, read by hand so that every byte is the case's own.


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
      start: Its first line.
      headers: Values by name in lower case.
      body: The body.
      complete: Whether the framing shows its end.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.start.split()[1]

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return self.headers.get("request-id", "")


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool
) -> Message:
    """Read a request or an answer.

    Raises:
      EOFError: The connection ended before a whole head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        raise EOFError("the connection ended") from cut
    first, *rows = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = [row.partition(":") for row in rows]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    message = Message(first, headers)
    if headers.get("transfer-encoding") == "chunked":
        await _read_chunks(reader, message)
    elif "content-length" in headers:
        size = int(headers["content-length"])
        try:
            message.body = await reader.readexactly(size)
        except asyncio.IncompleteReadError as cut:
            message.body, message.complete = cut.partial, False
    elif is_answer:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader, into: Message) -> None:
    """Read a chunked body; it is incomplete if its last chunk is missing."""
    try:
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            into.body += data[:-2]
    except (asyncio.IncompleteReadError, ValueError):
        into.complete = False


class Caller:
    """A caller with one kept connection."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        request_id: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"hello",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
    ) -> Message:
        """Send a request and read its answer.

        Raises:
          EOFError: The connection ended without an answer.
          OSError: The connection failed.
          TimeoutError: There was no whole answer in time.
        """
        rows = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if body:
            rows["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in rows.items()]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                self._writer.write(data)
                answer = await read_message(self._reader, is_answer=True)
        except (EOFError, OSError, TimeoutError):
            self.close()
            raise
        if answer.headers.get("connection") == "close" or not answer.complete:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def fetch(address: str, path: str, body: bytes = b"") -> Message:
    """Call a process of the case and return its answer."""
    caller = Caller(address)
    try:
        method = "POST" if body else "GET"
        return await caller.ask("case", path, method=method, body=body)
    finally:
        caller.close()


async def wait_for(test: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a test succeeds; SetupError if it does not in time."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            if await test():
                return
        await asyncio.sleep(0.05)
    raise SetupError(f"waited in vain for {what}")


class Platform:
    """Writes to the store what the operator and the workers write."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def wait(self) -> None:
        """Wait until the store answers."""

        async def answers() -> bool:
            return (await fetch(self.address, "/control")).status == 200

        await wait_for(answers, "the store")

    async def configure(self, state: dict[str, Any]) -> None:
        """Write a desired state."""
        await self._append("keyed.op", "config", state)

    async def announce(self, name: str, entry: dict[str, Any] | None) -> None:
        """Write a worker's entry, or take it away with None."""
        await self._append("keyed.servers", name, entry)

    async def control(self, **faults: Any) -> None:
        """Set faults of the store."""
        await fetch(self.address, "/control", json.dumps(faults).encode())

    async def _append(self, topic: str, key: str, data: Any) -> None:
        value = b"" if data is None else json.dumps(data).encode()
        record = bytes([len(key)]) + key.encode() + value
        body = _LENGTH.pack(len(record)) + record
        path = f"/api/log-append?topic={topic}&part=0"
        answer = await fetch(self.address, path, body)
        if answer.status != 200:
            raise SetupError(f"the store answered {answer.status}")


async def start_entries(
    place: Lab, platform: Platform, hosts: Sequence[str], **more: Any
) -> list[str]:
    """Start an entry at each host; return their addresses for callers."""
    usage = free_port(hosts[0], socket.SOCK_DGRAM)
    by_host = {
        host: {n: free_port(host) for n in ("http", "health", "peer")}
        for host in hosts
    }
    peers = [f"{host}:{own['peer']}" for host, own in by_host.items()]
    for number, (host, own) in enumerate(by_host.items()):
        settings = entry_settings(
            f"f{number + 1}",
            host,
            {**own, "usage": usage},
            platform.address,
            peers=peers[:MAX_SEEDS],
            **more,
        )
        place.start_role("entry", settings)
    for host, own in by_host.items():
        place.health.append(f"{host}:{own['health']}")
        await wait_ready(place.health[-1])
    # The entries find each other within a second.
    await asyncio.sleep(1.5)
    return [f"{host}:{own['http']}" for host, own in by_host.items()]


async def wait_ready(health: str) -> None:
    """Wait until an entry says that it is ready."""

    async def ready() -> bool:
        return (await fetch(health, "/api/readyz")).status == 200

    await wait_for(ready, "an entry")


@contextlib.contextmanager
def cleaned_up(lab: Lab) -> Iterator[Lab]:
    """End the processes of a case also when it is told to stop."""

    def stop(*_: Any) -> None:
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    try:
        yield lab
    finally:
        lab.close()


def require_served(answers: dict[str, int]) -> None:
    """Check that the entries have served; SetupError if they have not."""
    served = sum(status == 200 for status in answers.values())
    if served < MIN_SERVED:
        raise SetupError(f"only {served} requests were served")


async def _play(case: Callable[..., Any], lab: Lab, trouble: bool) -> bool:
    """Play a case within the limit; TimeoutError if it takes longer."""
    async with asyncio.timeout(LIMIT_S):
        return await case(lab, trouble)


def run_case(folder: pathlib.Path, case: Callable[..., Any]) -> int:
    """Run a case and return its exit code.

    Args:
      folder: Folder of the case; its record is written there.
      case: Asynchronous function of the lab and of whether the disruption
        takes place; returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # It warns of each write to a connection that the other side has closed.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    try:
        with cleaned_up(Lab(folder / "record.txt")) as lab:
            lab.note("case", trouble=trouble)
            held = asyncio.run(_play(case, lab, trouble))
            lab.say("The rule held." if held else "The rule was broken.")
            return HELD if held else BROKEN
    except (SetupError, OSError, TimeoutError, EOFError) as failed:
        print(f"The case could not run: {failed!r}", flush=True)
        return NOT_RUN
