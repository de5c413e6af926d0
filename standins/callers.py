"""What callers, and those who check on them, ask of a cluster."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

import httpx

WORKSPACE_KEYS = {"acme": "key-of-acme", "bolt": "key-of-bolt"}


class Callers:
    """The callers' part of a cluster.

    Attributes:
      client: The HTTP client.
      http: URL of each reelscaled process.
      peer: Peer address of each.
      upstream_http: URL of each engine and service.
      engines: (name, hall) of the engine boxes.
      services: (name, hall) of the service boxes.
      processes: All processes by name.
    """

    client: httpx.Client
    http: dict[str, str]
    peer: dict[str, str]
    upstream_http: dict[str, str]
    engines: list[tuple[str, str]]
    services: list[tuple[str, str]]
    processes: dict[str, Any]

    def headers(self, workspace: str = "acme", **more: str) -> dict[str, str]:
        """Return a caller's headers."""
        key = WORKSPACE_KEYS[workspace]
        extra = {k.replace("_", "-"): v for k, v in more.items()}
        return {"authorization": f"Bearer {key}", **extra}

    def complete(
        self,
        entry: str,
        prompt: str = "hello",
        tokens: int = 4,
        **headers: str,
    ) -> httpx.Response:
        """Ask for a completion in one piece."""
        data = {"model": "m1", "prompt": prompt, "max_tokens": tokens}
        return self.client.post(
            f"{self.http[entry]}/v1/completions",
            json=data,
            headers=self.headers(**headers),
        )

    def call(
        self,
        entry: str,
        path: str,
        method: str = "GET",
        body: str = "",
        **headers: str,
    ) -> httpx.Response:
        """Call the plain service."""
        return self.client.request(
            method,
            f"{self.http[entry]}/services/codes{path}",
            content=body.encode(),
            headers=self.headers(**headers),
        )

    def ledger(self) -> list[dict[str, Any]]:
        """Return all runs of all boxes of the plain service."""
        runs = []
        for name, _ in self.services:
            if self.processes[f"service-{name}"].running:
                url = f"{self.upstream_http[name]}/ledger"
                runs += self.client.get(url).json()
        return runs

    def mixed_steps(self) -> list[int]:
        """Return the steps that ran on more than one layout."""
        versions: dict[int, set[int]] = {}
        for name, _ in self.engines:
            if not self.processes[f"engine-{name}"].running:
                continue
            url = f"{self.upstream_http[name]}/ledger"
            for step, version in self.client.get(url).json()["steps"]:
                versions.setdefault(step, set()).add(version)
        return [step for step, seen in versions.items() if len(seen) > 1]

    def cut(self, name: str, peers: list[str], platform: bool = False) -> None:
        """Cut a process off from the named peers and the platform."""
        data = {
            "peers": [self.peer[peer] for peer in peers],
            "platform": platform,
        }
        self.client.post(f"{self.http[name]}/test/cut", json=data)
