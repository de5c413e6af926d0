"""A small deployment on loopback for the scripts in the folders 4 to 8.

It starts the entries by the command of the deploy file, and the project's
stand-ins of the platform's store and of workers.  What was sent, answered
and run is written to `record.txt` in the folder of the case.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import itertools
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
HOST = "api.example"
KEY = "key-of-acme"
START_S = 20.0
POLL_S = 0.02
RECORD = struct.Struct(">I")
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Whether the disruption happens; "0" leaves it out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Whether the folder with the settings and logs of a play is kept.
KEEPS_LOGS = os.environ.get("KEEP_LOGS", "0") != "0"


class Answer(NamedTuple):
    """A request and what its client got.

    Attributes:
      id: Its Request-Id.
      entry: The entry that it was sent to.
      path: Its path.
      at: Monotonic seconds at which it was sent.
      ended_at: Monotonic seconds at which its answer ended.
      status: Status of the answer, 0 for none.
      body: Body of the answer, None if it was not whole.
    """

    id: str
    entry: str
    path: str
    at: float
    ended_at: float
    status: int
    body: bytes | None


class NotReadyError(Exception):
    """The case could not be set up."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def wait_for(
    test: Callable[[], Any], what: str, seconds: float = START_S
) -> Any:
    """Wait until a test gives something true; NotReadyError if it never does.

    Args:
      test: The test.
      what: What is waited for.
      seconds: How long to wait.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if found := test():
            return found
        time.sleep(POLL_S)
    raise NotReadyError(f"waited {seconds} s for {what}")


def keyed(key: str, data: Any) -> bytes:
    """Return an append's body: one record of a topic with keys."""
    value = b"" if data is None else json.dumps(data).encode()
    record = bytes([len(key)]) + key.encode() + value
    return RECORD.pack(len(record)) + record


def call(
    address: str,
    path: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Send one call that is no client's request; return status and body."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body)
        answer = conn.getresponse()
        return answer.status, answer.read()
    finally:
        conn.close()


def try_call(address: str, path: str) -> int:
    """Return the status of a call, 0 if there is no answer."""
    try:
        return call(address, path)[0]
    except (OSError, http.client.HTTPException):
        return 0


class Deployment:
    """The store, workers and entries of one case.

    Attributes:
      folder: Settings and logs.
      entries: Address of each entry for clients, by name.
      ready: Address of each entry for readiness checks, by name.
      workers: Address of each worker, by name.
      config: The newest desired state.
    """

    def __init__(self, case: pathlib.Path) -> None:
        """Prepare a deployment whose record is kept in a case's folder."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="reelscale-case-"))
        self.entries: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.config = desired_state()
        self.answers: list[Answer] = []
        self._services: dict[str, tuple[str, str]] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self._settings: dict[str, pathlib.Path] = {}
        self._peers: dict[str, str] = {}
        self._usage_port = free_port(socket.SOCK_DGRAM)
        self._numbers = itertools.count(1)
        self._ids = itertools.count(1)
        self._lock = threading.Lock()
        self._record = (case / "record.txt").open("w")
        self._began = time.monotonic()
        self.store = f"127.0.0.1:{free_port()}"

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        at = time.monotonic() - self._began
        with self._lock:
            self._record.write(f"{at:8.3f} {text}\n")
            self._record.flush()

    def note_answer(self, answer: Answer) -> None:
        """Write what became of a request to the record."""
        took = answer.ended_at - answer.at
        self.note(
            f"{answer.entry} {answer.path} id {answer.id}: "
            f"{answer.status or 'no answer'} after {took:.3f} s"
        )

    # Processes.

    def start_store(self) -> None:
        """Start the store."""
        data = {"port": int(self.store.rpartition(":")[2])}
        self._add_stand_in("store", "standins.store", data)
        wait_for(lambda: try_call(self.store, "/control"), "the store")

    def add_worker(
        self,
        name: str,
        service: str,
        hall: str = "a",
        module: str = "standins.worker",
        **more: Any,
    ) -> None:
        """Start a worker and announce it."""
        port = free_port()
        self.workers[name] = f"127.0.0.1:{port}"
        self._services[name] = service, hall
        data = {
            "id": name,
            "port": port,
            "faulty": False,
            "slots": 6,
            "service": service,
            "hall": hall,
            "store": self.store,
            **more,
        }
        self._add_stand_in(name, module, data)
        address = self.workers[name]
        wait_for(lambda: try_call(address, "/control"), name)

    def add_entry(self, name: str, **more: Any) -> None:
        """Lay an entry out; start_entry() starts it."""
        host = f"127.0.0.{2 + len(self.entries)}"
        self.entries[name] = f"127.0.0.1:{free_port()}"
        self.ready[name] = f"127.0.0.1:{free_port()}"
        self._peers[name] = f"{host}:{free_port()}"
        data = {
            "adapter": "reelscale_platform",
            "name": name,
            "hall": "a",
            "http": self.entries[name],
            "health": self.ready[name],
            "peer": self._peers[name],
            "usage": f"{host}:{self._usage_port}",
            "agent_port": self._usage_port,
            "peers": [p for n, p in self._peers.items() if n != name],
            "platform": f"http://{self.store}",
            "grace_s": 8,
            "descriptors": 1024,
            "retry_ratio": 0.2,
            "snapshot_every": 1_000_000_000,
            "stop_wait_s": 2.6,
            "log_json": True,
            **more,
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        self._add(name, command, data)

    def start_entry(self, name: str, *, wait: bool = True) -> None:
        """Start an entry; wait until it says that it is ready."""
        self._start(name)
        if wait:
            self.wait_ready(name)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry says that it is ready."""
        wait_for(lambda: self.is_ready(name), f"{name} to be ready")

    def is_ready(self, name: str) -> bool:
        """Tell whether an entry says that it is ready."""
        return try_call(self.ready[name], "/api/readyz") == 200

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this case."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the id of a process of this case."""
        return self._processes[name].pid

    def status(self, name: str) -> int | None:
        """Return how a process has ended, None while it runs."""
        return self._processes[name].poll()

    def kill(self, name: str) -> None:
        """Kill a process of this case."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def start_again(self, name: str, **more: Any) -> None:
        """Start a worker that has ended at its address.

        Args:
          name: The worker.
          more: Settings that it has from now on.
        """
        path = self._settings[name]
        path.write_text(json.dumps({**json.loads(path.read_text()), **more}))
        self._start(name)
        address = self.workers[name]
        wait_for(lambda: try_call(address, "/control"), name)

    def _add_stand_in(self, name: str, module: str, data: Any) -> None:
        self._add(name, ["python3", "-m", module], data)
        path = self._settings[name]
        self._commands[name] += ["--settings", str(path)]
        self._start(name)

    def _add(self, name: str, command: list[str], data: Any) -> None:
        self._settings[name] = self.folder / f"{name}.json"
        self._settings[name].write_text(json.dumps(data))
        self._commands[name] = command

    def _start(self, name: str) -> None:
        variables = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join((str(DEPS), str(ROOT))),
            "PYTHONDONTWRITEBYTECODE": "1",
            "REELSCALE_NODE_FILE": str(self._settings[name]),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )

    def close(self) -> None:
        """End every process of this case."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._record.close()
        if not KEEPS_LOGS:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The store.

    def append(self, topic: str, key: str, data: Any) -> None:
        """Write a record as the operator or a worker does."""
        path = f"/api/log-append?topic={topic}&part=0"
        call(self.store, path, method="POST", body=keyed(key, data))

    def configure(self, **fields: Any) -> None:
        """Write the next desired state."""
        version = self.config["version"] + 3
        self.config = {**self.config, **fields, "version": version}
        self.append("keyed.op", "config", self.config)

    def announce(self, name: str, **fields: Any) -> None:
        """Write a worker's entry."""
        service, hall = self._services[name]
        data = {
            "service": service,
            "addr": self.workers[name],
            "zone": hall,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": next(self._numbers),
        }
        self.append("keyed.servers", name, {**data, **fields})

    def withdraw(self, name: str) -> None:
        """Take a worker's entry away."""
        self.append("keyed.servers", name, None)

    def control(self, address: str, **fields: Any) -> None:
        """Change what a stand-in does."""
        body = json.dumps(fields).encode()
        call(address, "/control", method="POST", body=body)

    def ledger(self, name: str) -> dict[str, Any]:
        """Return what a worker saw."""
        return json.loads(call(self.workers[name], "/ledger")[1])

    def ledgers(self) -> dict[str, dict[str, Any]]:
        """Return what each worker saw, once all of them are back."""
        for name, address in self.workers.items():
            wait_for(lambda a=address: try_call(a, "/control"), name)
        return {name: self.ledger(name) for name in self.workers}

    # Clients.

    def ask(
        self,
        entry: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"hello",
        deadline_ms: int = 5000,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request on a channel of its own; read its answer."""
        host, _, port = self.entries[entry].rpartition(":")
        with self._lock:
            request_id = f"{next(self._ids):016x}"
        rows = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        at = time.monotonic()
        status, got = 0, None
        conn = http.client.HTTPConnection(
            host, int(port), timeout=deadline_ms / 1000 + 1
        )
        try:
            conn.request(method, path, body or None, rows)
            answer = conn.getresponse()
            status = answer.status
            got = answer.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()
        made = Answer(
            request_id, entry, path, at, time.monotonic(), status, got
        )
        self.note_answer(made)
        with self._lock:
            self.answers.append(made)
        return made

    def ask_together(self, asks: list[Callable[[], Answer]]) -> list[Answer]:
        """Send requests at the same moment; return their answers."""
        answers: list[Answer] = []
        gate = threading.Barrier(len(asks))

        def run(ask: Callable[[], Answer]) -> None:
            gate.wait()
            answers.append(ask())

        threads = [threading.Thread(target=run, args=(a,)) for a in asks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers


class Steady:
    """Sends the same kind of request at a mean rate beside a case."""

    def __init__(self, ask: Callable[[int], Answer], per_s: float) -> None:
        """Prepare; use it as a context.

        Args:
          ask: Sends one request, of which it gets the number.
          per_s: Requests a second on average.
        """
        self.answers: list[Answer] = []
        self._ask = ask
        self._pause_s = 1 / per_s
        self._random = random.Random(1)
        self._ended = threading.Event()
        self._threads: list[threading.Thread] = []
        self._loop = threading.Thread(target=self._run)

    def __enter__(self) -> "Steady":
        """Begin to send."""
        self._loop.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Send no more; wait for the answers."""
        self._ended.set()
        self._loop.join()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        for number in itertools.count():
            pause_s = self._random.uniform(0.0, 2 * self._pause_s)
            if self._ended.wait(pause_s):
                return
            thread = threading.Thread(target=self._one, args=(number,))
            self._threads.append(thread)
            thread.start()

    def _one(self, number: int) -> None:
        self.answers.append(self._ask(number))


def desired_state() -> dict[str, Any]:
    """Return a desired state with a route of each kind."""
    usual = {"host": HOST, "timeout_ms": 4000, "slo_ms": 1000, "prio": 1}
    rows = [
        {"prefix": "/chat/", "kind": "stream", "service": "llm"},
        {"prefix": "/push/", "kind": "unsafe", "service": "push"},
        {"prefix": "/read/", "kind": "safe", "service": "push"},
    ]
    routes = [
        {"name": f"r{n}", **usual, "attempts": 2, "public": False, **row}
        for n, row in enumerate(rows)
    ]
    routes[0]["resumable"] = True
    routes[1]["attempts"] = 1
    return {
        "version": 4,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 300},
            {"name": "push", "health_path": "/healthz", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "prio": 1}],
    }


def play(folder: pathlib.Path, case: Callable[[Deployment], str]) -> int:
    """Play a case; return the exit status of its script.

    Args:
      folder: The folder of the case.
      case: Plays it; returns how the rule was broken, "" if it held.
    """
    # One that is told to end ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    made = Deployment(folder)
    try:
        broken = case(made)
        made.note(f"broken: {broken}" if broken else "the rule held")
    except Exception as failed:
        made.note(f"could not run: {failed!r}")
        print(f"could not run: {failed!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        made.close()
    print(f"broken: {broken}" if broken else "the rule held")
    return BROKEN if broken else HELD
