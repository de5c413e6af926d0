"""Starts groups of ranks with an agent beside each rank, on loopback."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from . import fleet, ranks
from .process import free_port, wait_for

# The one target; each of its groups has so many ranks.
TARGET = "moe"
SIZE = 4
# The agents' lease_s; they renew the lease each third of it.
LEASE_S = 1.5


class Ranked(fleet.Fleet):
    """A store, groups of ranks and their agents; entries if wanted.

    Attributes:
      agents: Names of the agents, by rank, group after group.
    """

    def __init__(self, *, groups: int = 1, entries: int = 0) -> None:
        # Agents share a port and ranks another, each at a host of its own.
        self._rank_port = free_port()
        self._agent_port = free_port()
        super().__init__(
            entries=entries,
            workers=(),
            settings={"agent_port": self._agent_port},
        )
        self._hosts_by_group = [
            [f"127.0.{1 + group}.{number + 1}" for number in range(SIZE)]
            for group in range(groups)
        ]
        self._hosts = [h for hosts in self._hosts_by_group for h in hosts]
        self.agents = [f"a{number}" for number in range(len(self._hosts))]
        self.config = {**self.config, "services": [_service()]}
        for number, hosts in enumerate(self._hosts_by_group):
            name = f"g{number}"
            data = {"hosts": hosts, "port": self._rank_port, "name": name}
            self._add_stand_in(name, "ranks", data)
        for name, host in zip(self.agents, self._hosts, strict=True):
            self._add_agent(name, host)

    def _add_agent(self, name: str, host: str) -> None:
        data = {
            "adapter": fleet.ADAPTER,
            "name": name,
            "hall": "a",
            "peer": f"{host}:{self._agent_port}",
            "http": f"{host}:{free_port()}",
            "engine": f"http://{host}:{self._rank_port}",
            "target": TARGET,
            "platform": f"http://{self._store}",
            "grace_s": 6,
            "lease_s": LEASE_S,
            "log_json": True,
        }
        self._add(name, [str(fleet.BIN / "reelscaled"), "agent"], data)

    def start(self, wait: tuple[str, ...] | None = None) -> None:
        """Start everything; agents last, as the list names their ranks."""
        groups = [f"g{n}" for n in range(len(self._hosts_by_group))]
        for name in ("store", *groups):
            self.processes[name].start()
        wait_for(lambda: self.answers(self._store), "the store", fleet.START_S)
        for hosts in self._hosts_by_group:
            at = f"{hosts[0]}:{self._rank_port}"
            wait_for(lambda at=at: self.answers(at), "ranks", fleet.START_S)
        for number, host in enumerate(self._hosts):
            name = f"w{number}"
            self.workers[name] = (TARGET, "a")
            self.address[name] = f"{host}:{self._rank_port}"
            self.announce(name)
        self.configure(self.config)
        for name in (*self.agents, *self.http):
            self.processes[name].start()
        for name in self.http:
            self.wait_ready(name)

    def group(self, number: int = 0, **faults: Any) -> dict[str, Any]:
        """Set faults of the ranks of a group; return how it fares."""
        host = self._hosts_by_group[number][0]
        url = f"http://{host}:{self._rank_port}/control"
        return self.client.post(url, json=faults).json()

    def holders(self) -> list[str]:
        """Return the agents whose newest word is that they hold the lease."""
        found = []
        for name in self.agents:
            if not self.processes[name].running:
                continue
            words = [
                row["text"]
                for row in self.log_lines(name)
                if row["text"] in ("Holds the lease.", "Lost the lease.")
            ]
            if words and words[-1] == "Holds the lease.":
                found.append(name)
        return found


def _service() -> dict[str, Any]:
    """Return the service of the group, with what its engine allows."""
    engine = {
        "step_ms": 1000 * ranks.STEP_S,
        "experts": ranks.EXPERTS,
        "places": ranks.PLACES,
        "spare": ranks.SPARE,
    }
    return {
        "name": TARGET,
        "health_path": "/healthz",
        "max_conns": 100,
        "engine": engine,
    }
