"""Starts a group of ranks with an agent beside each, on loopback."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from . import fleet, ranks
from .process import free_port, wait_for

# The one target; its group has so many ranks.
TARGET = "moe"
SIZE = 4
# The agents' lease_s; they renew the lease each third of it.
LEASE_S = 1.5


class Ranked(fleet.Fleet):
    """A store, one group of ranks and their agents; no entries.

    Attributes:
      agents: Names of the agents, by rank.
    """

    def __init__(self) -> None:
        super().__init__(entries=0, workers=())
        # Agents share a port and ranks another, each at a host of its own.
        self._rank_port = free_port()
        self._agent_port = free_port()
        self._hosts = [f"127.0.1.{number + 1}" for number in range(SIZE)]
        self.agents = [f"a{number}" for number in range(SIZE)]
        self.config = {**self.config, "services": [_service()]}
        data = {"hosts": self._hosts, "port": self._rank_port}
        self._add_stand_in("ranks", "ranks", data)
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
        for name in ("store", "ranks"):
            self.processes[name].start()
        wait_for(lambda: self.answers(self._store), "the store", fleet.START_S)
        address = f"{self._hosts[0]}:{self._rank_port}"
        wait_for(lambda: self.answers(address), "the ranks", fleet.START_S)
        for number, host in enumerate(self._hosts):
            name = f"w{number}"
            self.workers[name] = (TARGET, "a")
            self.address[name] = f"{host}:{self._rank_port}"
            self.announce(name)
        self.configure(self.config)
        for name in self.agents:
            self.processes[name].start()

    def group(self, **faults: Any) -> dict[str, Any]:
        """Set faults of the ranks; return how the group fares."""
        url = f"http://{self._hosts[0]}:{self._rank_port}/control"
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
