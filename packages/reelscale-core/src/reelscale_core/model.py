"""The objects of the configuration, as named tuples."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from typing import Any, NamedTuple

ROLES = ("serve", "prefill", "decode", "standby")


class Workspace(NamedTuple):
    """A workspace with its credentials and limits.

    Attributes:
      name: Unique name.
      key_digests: SHA-256, hex, of its bearer keys.
      targets: Names of the groups and services it may call.
      weight: Share of capacity relative to other workspaces.
      max_running: Maximum requests in progress at one entry.
      priority: Default class of its requests; 0 is the most urgent.
    """

    name: str
    key_digests: tuple[str, ...]
    targets: tuple[str, ...] = ()
    weight: float = 1.0
    max_running: int = 64
    priority: int = 2


class Engine(NamedTuple):
    """The step times of an engine.

    Attributes:
      steps: Token steps per pass.
      step_s: Duration of a step without requests, in seconds; 0 if it is
        unknown or there is no engine.
    """

    steps: int = 1
    step_s: float = 0.0

    @property
    def fixed_s(self) -> float:
        """The duration of a pass without requests, in seconds."""
        return self.steps * self.step_s


class Service(NamedTuple):
    """A service whose upstreams are independent of each other.

    Attributes:
      name: Unique name.
      once_paths: Path prefixes of requests that must not be retried.
      max_connections: Maximum connections of one upstream from all callers
        together; 0 if unknown.
      engine: Step times of its engine, if any.
    """

    name: str
    once_paths: tuple[str, ...] = ()
    max_connections: int = 0
    engine: Engine = Engine()


class Layout(NamedTuple):
    """The placement and model that all ranks of a group use in a step.

    Attributes:
      version: Increases with every change; 0 before the first.
      model_version: Version of the model that the ranks load.
      experts_by_slot: Expert held in each slot, by layer, then slot;
        rank r holds slots [r * n, (r + 1) * n) with n slots per rank.
    """

    version: int = 0
    model_version: str = ""
    experts_by_slot: tuple[tuple[int, ...], ...] = ()


class Group(NamedTuple):
    """A group of ranks that run in lock-step on one layout.

    Attributes:
      name: Unique name, also the model name that callers give.
      ranks: Number of ranks.
      experts: Experts per layer.
      slots_per_rank: Experts that a rank holds in each layer.
      skew_weight: Weight of step-time skew in rebalancing, 0 to 1.
      layout: The current layout, which ranks may still be changing to.
      earlier: Previous layouts that ranks may still use.
    """

    name: str
    ranks: int
    experts: int
    slots_per_rank: int
    skew_weight: float = 0.5
    layout: Layout = Layout()
    earlier: tuple[Layout, ...] = ()


class Upstream(NamedTuple):
    """An upstream behind its agent.

    Attributes:
      name: Unique name.
      target: The group or service that it serves.
      hall: Name of its data hall.
      agent: Address of its agent, "ip:port".
      role: One of ROLES; only "serve" gets requests.
      leaving: Whether it is draining on an operator's request.
      first_rank: First of its ranks in the group, for groups.
      ranks: Number of its ranks, for groups.
    """

    name: str
    target: str
    hall: str
    agent: str
    role: str = "serve"
    leaving: bool = False
    first_rank: int = 0
    ranks: int = 0


def digest_of_key(key: str) -> str:
    """Return the digest under which a bearer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def to_json(item: Any) -> dict[str, Any]:
    """Return one of this module's tuples as plain JSON data."""
    fields = item._asdict()
    if isinstance(item, Service):
        fields["engine"] = list(item.engine)
    if isinstance(item, Group):
        fields["layout"] = to_json(item.layout)
        fields["earlier"] = [to_json(layout) for layout in item.earlier]
    return fields


def workspace(data: dict[str, Any]) -> Workspace:
    """Build a Workspace from checked JSON data."""
    data = dict(data)
    digests = list(data.pop("key_digests", ()))
    if "key_digest" in data:
        digests.append(data.pop("key_digest"))
    if "key" in data:
        digests.append(digest_of_key(data.pop("key")))
    data["key_digests"] = tuple(digests)
    data["targets"] = tuple(data.get("targets", ()))
    return Workspace(**data)


def service(data: dict[str, Any]) -> Service:
    """Build a Service from checked JSON data."""
    paths = tuple(data.get("once_paths", ()))
    max_connections = data.get("max_connections", 0)
    return Service(
        name=data["name"],
        once_paths=paths,
        max_connections=max_connections,
        engine=Engine(*data.get("engine", ())),
    )


def layout(data: dict[str, Any]) -> Layout:
    """Build a Layout from checked JSON data."""
    slots = tuple(tuple(row) for row in data.get("experts_by_slot", ()))
    return Layout(
        version=data.get("version", 0),
        model_version=data.get("model_version", ""),
        experts_by_slot=slots,
    )


def group(data: dict[str, Any]) -> Group:
    """Build a Group from checked JSON data."""
    data = dict(data)
    data["layout"] = layout(data.get("layout", {}))
    data["earlier"] = tuple(layout(row) for row in data.get("earlier", ()))
    return Group(**data)


def upstream(data: dict[str, Any]) -> Upstream:
    """Build an Upstream from checked JSON data."""
    return Upstream(**data)
