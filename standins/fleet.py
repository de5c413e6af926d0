"""Starts entries on a stand-in of the users' platform, on loopback.

One store, workers of two services ("llm" answers streams, "push" answers in
one piece) and entries with the adapter.  Two halls, "a" and "b"; the workers
of hall "a" are the faulty ones, those of "b" are sound.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import itertools
import json
import pathlib
import socket
import sys
import tempfile
from typing import Any

import httpx

from . import store, worker
from .process import Process, free_port, release_ports, wait_for

BIN = pathlib.Path(sys.executable).parent
START_S = 20.0
HOST = "api.example"
KEY = "key-of-acme"
OTHER_KEY = "second-key-of-acme"
ADAPTER = "reelscale_platform"
HEARTBEAT_S = 0.5


class Fleet:
    """The processes, and what tests ask of them.

    Attributes:
      processes: All by name.
      workers: Ids of the workers, with hall and service.
      http: Address of each entry for callers.
      health: Address of each entry for probes.
    """

    def __init__(
        self,
        *,
        entries: int = 1,
        workers: tuple[tuple[str, str], ...] = (
            ("llm", "a"),
            ("llm", "b"),
            ("push", "a"),
            ("push", "b"),
        ),
        slots: int = 6,
        settings: dict[str, Any] | None = None,
        descriptors: int | None = None,
    ) -> None:
        """Lay a fleet out.

        Args:
          entries: Number of entries, all in hall "a".
          workers: Service and hall of each worker.
          slots: Requests that a worker works on at once.
          settings: Settings of the entries beside the usual.
          descriptors: Descriptors that an entry may have.
        """
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="reelscale-fleet-"))
        self.processes: dict[str, Process] = {}
        self.http: dict[str, str] = {}
        self.health: dict[str, str] = {}
        self.peer: dict[str, str] = {}
        self.address: dict[str, str] = {}
        self.workers: dict[str, tuple[str, str]] = {}
        self.client = httpx.Client(timeout=30)
        self.config = first_config()
        self._slots = slots
        self._ids = itertools.count(1)
        self._entry_numbers = itertools.count(1)
        self._usage_port = free_port(socket.SOCK_DGRAM)
        self._store = f"127.0.0.1:{free_port()}"
        self._settings = settings or {}
        self._descriptors = descriptors
        port = int(self._store.rsplit(":", 1)[1])
        self._add_stand_in("store", "store", {"port": port})
        for number, (service, hall) in enumerate(workers):
            self._add_worker(f"w{number + 1}", service, hall)
        for number in range(entries):
            self._add_entry(f"f{number + 1}")

    def __enter__(self) -> "Fleet":
        """Start everything and wait until the entries are ready."""
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.close()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        """End everything."""
        self.close()

    def _add_worker(self, name: str, service: str, hall: str) -> None:
        port = free_port()
        self.address[name] = f"127.0.0.1:{port}"
        self.workers[name] = (service, hall)
        faulty = hall == "a"
        data = {
            "id": name,
            "port": port,
            "faulty": faulty,
            "slots": self._slots,
            "service": service,
            "hall": hall,
            "store": self._store,
        }
        self._add_stand_in(name, "worker", data)

    def _add_entry(self, name: str) -> None:
        # Peers tell entries apart by their hosts.
        own_host = f"127.0.0.{2 + len(self.http)}"
        self.http[name] = f"127.0.0.1:{free_port()}"
        self.health[name] = f"127.0.0.1:{free_port()}"
        self.peer[name] = f"{own_host}:{free_port()}"
        data = {
            "adapter": ADAPTER,
            "name": name,
            "hall": "a",
            "http": self.http[name],
            "health": self.health[name],
            "peer": self.peer[name],
            "usage": f"{own_host}:{self._usage_port}",
            "peers": [p for n, p in self.peer.items() if n != name],
            "platform": f"http://{self._store}",
            "grace_s": 6,
            "retry_ratio": 0.2,
            "snapshot_every": 1_000_000_000,
            "stop_wait_s": 0.3,
            "log_json": True,
            **self._settings,
        }
        self._add(name, [str(BIN / "reelscaled"), "entry"], data)
        self.processes[name].descriptors = self._descriptors

    def _add_stand_in(self, name: str, module: str, data: dict) -> None:
        self._add(name, [sys.executable, "-m", f"standins.{module}"], data)

    def _add(self, name: str, command: list[str], data: dict) -> None:
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(data))
        command = [*command, "--settings", str(path)]
        self.processes[name] = Process(name, command, self.dir / f"{name}.log")

    # Life.

    def start(self, wait: tuple[str, ...] | None = None) -> None:
        """Start everything; entries last, when there is something to know.

        Args:
          wait: Entries to wait for until they are ready; all if None.
        """
        for name, process in self.processes.items():
            if name not in self.http:
                process.start()
        wait_for(lambda: self.answers(self._store), "the store", START_S)
        for name in self.workers:
            address = self.address[name]
            wait_for(lambda a=address: self.answers(a), name, START_S)
            self.announce(name)
        self.configure(self.config)
        for name in self.http:
            self.processes[name].start()
        for name in self.http if wait is None else wait:
            self.wait_ready(name)

    def answers(self, address: str) -> bool:
        """Tell whether a stand-in answers at an address."""
        try:
            self.client.get(f"http://{address}/control")
        except httpx.HTTPError:
            return False
        return True

    def ready(self, name: str) -> bool:
        """Tell whether an entry says that it is ready."""
        try:
            url = f"http://{self.health[name]}/api/readyz"
            return self.client.get(url).is_success
        except httpx.HTTPError:
            return False

    def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready."""
        wait_for(lambda: self.ready(name), f"{name} to be ready", START_S)

    def close(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            process.thaw()
            if process.running:
                process.kill()
        self.client.close()
        release_ports()

    def print_logs(self) -> None:
        """Print the end of every log, to find out what went wrong."""
        for process in self.processes.values():
            if process.log.exists():
                text = process.log.read_text()[-3000:]
                print(f"--- {process.name}\n{text}", file=sys.stderr)

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the whole lines of a process's log, decoded.

        The last may be read while it is written, and is then left out.
        """
        text = self.processes[name].log.read_text()
        whole, _, _ = text.rpartition("\n")
        return [json.loads(line) for line in whole.splitlines()]

    # The store.

    @property
    def store(self) -> str:
        """Address of the store."""
        return self._store

    def control(self, **faults: Any) -> dict[str, Any]:
        """Set faults of the store; return how it is."""
        url = f"http://{self._store}/control"
        return self.client.post(url, json=faults).json()

    def _append(self, topic: str, key: str, data: Any) -> None:
        url = f"http://{self._store}/api/log-append?topic={topic}&part=0"
        body = store.keyed_record(key, data)
        self.client.post(url, content=body).raise_for_status()

    def write(self, topic: str, record: bytes) -> None:
        """Write one record of a topic as it is, as another writer may."""
        url = f"http://{self._store}/api/log-append?topic={topic}&part=0"
        body = store.RECORD.pack(len(record)) + record
        self.client.post(url, content=body).raise_for_status()

    def configure(self, config: dict[str, Any]) -> None:
        """Have the operator state a version."""
        self.config = config
        self._append("keyed.op", "config", config)

    def change(self, **fields: Any) -> None:
        """State the next version, with some fields changed."""
        version = self.config["version"] + 3
        self.configure({**self.config, **fields, "version": version})

    def announce(self, name: str, **fields: Any) -> None:
        """Write a worker's entry."""
        service, hall = self.workers[name]
        data = {
            "service": service,
            "addr": self.address[name],
            "zone": hall,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": next(self._entry_numbers),
        }
        self._append("keyed.servers", name, {**data, **fields})

    def set_faulty(self, name: str, faulty: bool) -> None:
        """Have a worker heed the words for faults, or not."""
        url = f"http://{self.address[name]}/control"
        self.client.post(url, json={"faulty": faulty}).raise_for_status()

    def name_limit(self, name: str, limit: str) -> None:
        """Have a worker name a limit in its answers, "" for none."""
        url = f"http://{self.address[name]}/control"
        self.client.post(url, json={"limit": limit}).raise_for_status()

    def shed(self, name: str, retry_after: str) -> None:
        """Have a worker refuse all and ask for a pause, "" to stop that."""
        url = f"http://{self.address[name]}/control"
        data = {"retry_after": retry_after}
        self.client.post(url, json=data).raise_for_status()

    def control_worker(self, name: str, **fields: Any) -> None:
        """Change how a worker behaves; see worker.py and crashing.py."""
        url = f"http://{self.address[name]}/control"
        self.client.post(url, json=fields).raise_for_status()

    def say_leaving(self, name: str) -> None:
        """Have a worker say in its answers alone that it leaves."""
        url = f"http://{self.address[name]}/control"
        self.client.post(url, json={"leaving": True}).raise_for_status()

    def withdraw(self, name: str) -> None:
        """Take a worker's entry away."""
        self._append("keyed.servers", name, None)

    # Callers.

    def next_id(self) -> str:
        """Return an id of a request."""
        return f"{next(self._ids):016x}"

    def headers(self, **more: str) -> dict[str, str]:
        """Return a caller's headers."""
        own = {
            "Host": HOST,
            "Request-Id": self.next_id(),
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        own.update({k.replace("_", "-"): v for k, v in more.items()})
        return {k: v for k, v in own.items() if v}

    def ask(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"hello",
        entry: str = "f1",
        **headers: str,
    ) -> httpx.Response:
        """Send a request and read its answer; HTTPError if it breaks off."""
        url = f"http://{self.http[entry]}{path}"
        content = body if method == "POST" else None
        made = self.headers(**headers)
        return self.client.request(method, url, content=content, headers=made)

    def connect(self, entry: str = "f1") -> http.client.HTTPConnection:
        """Return a connection of its own to an entry."""
        host, port = self.http[entry].rsplit(":", 1)
        return http.client.HTTPConnection(host, int(port), timeout=20)

    def ledger(self, service: str = "") -> list[dict[str, Any]]:
        """Return what the workers of a service ran."""
        runs = []
        for name, (own, _) in self.workers.items():
            if service in ("", own) and self.processes[name].running:
                runs += self.worker(name)["runs"]
        return runs

    def runs_of(self, request_id: str) -> list[dict[str, Any]]:
        """Return the runs of one request."""
        return [run for run in self.ledger() if run["id"] == request_id]

    def worker(self, name: str) -> dict[str, Any]:
        """Return the ledger of one worker."""
        url = f"http://{self.address[name]}/ledger"
        return self.client.get(url).json()


def first_config() -> dict[str, Any]:
    """Return the first version that the operator states."""
    usual = {"host": HOST, "timeout_ms": 4000, "slo_ms": 1000, "prio": 1}
    routes = [
        {"prefix": "/chat/", "kind": "stream", "service": "llm"},
        {"prefix": "/push/", "kind": "unsafe", "service": "push"},
        {"prefix": "/read/", "kind": "safe", "service": "push"},
        {"prefix": "/read/brief/", "kind": "safe", "service": "push"},
        {"prefix": "/open/", "kind": "safe", "service": "push"},
    ]
    routes = [
        {"name": f"r{n}", **usual, "attempts": 2, "public": False, **row}
        for n, row in enumerate(routes)
    ]
    routes[0]["resumable"] = True
    routes[3]["timeout_ms"] = 300
    routes[4]["public"] = True
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 300},
            {"name": "push", "health_path": "/healthz", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY, OTHER_KEY], "prio": 1}],
    }


# What a sound worker sends, for tests to compare with.
STREAM = [f"e{n}" for n in range(1, worker.EVENTS + 1)]
