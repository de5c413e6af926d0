"""The changes of the configuration that an intent consists of."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from typing import Any

from . import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class PutWorkspace:
    """Create or replace a workspace."""

    workspace: model.Workspace


@dataclasses.dataclass(frozen=True, kw_only=True)
class PutService:
    """Create or replace a plain service."""

    service: model.Service


@dataclasses.dataclass(frozen=True, kw_only=True)
class PutGroup:
    """Create or replace a group; its layout is kept if there is one."""

    group: model.Group


@dataclasses.dataclass(frozen=True, kw_only=True)
class PutUpstream:
    """Create or replace an upstream."""

    upstream: model.Upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Remove:
    """Remove an object from the configuration.

    Attributes:
      kind: "workspace", "service", "group" or "upstream".
      name: Its name.
      fenced: Whether the operator states that the upstream's box is off
        and cannot run requests.
    """

    kind: str
    name: str
    fenced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """Drain an upstream: it finishes its requests and gets no new ones."""

    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetRole:
    """Change the role of an upstream."""

    upstream: str
    role: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetLayout:
    """Change the layout of a group, at the same step for all ranks."""

    group: str
    layout: model.Layout


Change = (
    PutWorkspace
    | PutService
    | PutGroup
    | PutUpstream
    | Remove
    | Leave
    | SetRole
    | SetLayout
)


def object_key(change: Change) -> str:
    """Return the key, "kind/name", of the object that a change affects."""
    match change:
        case PutWorkspace(workspace=put):
            return f"workspace/{put.name}"
        case PutService(service=put):
            return f"service/{put.name}"
        case PutGroup(group=put):
            return f"group/{put.name}"
        case PutUpstream(upstream=put):
            return f"upstream/{put.name}"
        case Remove(kind=kind, name=name):
            return f"{kind}/{name}"
        case Leave(upstream=name) | SetRole(upstream=name):
            return f"upstream/{name}"
        case SetLayout(group=name):
            return f"group/{name}"


def to_json(change: Change) -> dict[str, Any]:
    """Return a change as plain JSON data, as stored in the log."""
    match change:
        case PutWorkspace(workspace=put):
            return {"kind": "put-workspace", **model.to_json(put)}
        case PutService(service=put):
            return {"kind": "put-service", **model.to_json(put)}
        case PutGroup(group=put):
            return {"kind": "put-group", **model.to_json(put)}
        case PutUpstream(upstream=put):
            return {"kind": "put-upstream", **model.to_json(put)}
        case Remove(kind=kind, name=name, fenced=fenced):
            data = {"of": kind, "name": name, "fenced": fenced}
            return {"kind": "remove", **data}
        case Leave(upstream=name):
            return {"kind": "leave", "upstream": name}
        case SetRole(upstream=name, role=role):
            return {"kind": "set-role", "upstream": name, "role": role}
        case SetLayout(group=name, layout=layout):
            data = model.to_json(layout)
            return {"kind": "set-layout", "group": name, "layout": data}


def from_json(data: dict[str, Any]) -> Change:
    """Build a change from checked JSON data.

    Raises:
      ValueError: The kind is unknown, as a newer writer may have added it.
    """
    rest = {key: value for key, value in data.items() if key != "kind"}
    match data["kind"]:
        case "put-workspace":
            return PutWorkspace(workspace=model.workspace(rest))
        case "put-service":
            return PutService(service=model.service(rest))
        case "put-group":
            return PutGroup(group=model.group(rest))
        case "put-upstream":
            return PutUpstream(upstream=model.upstream(rest))
        case "remove":
            fenced = rest.get("fenced", False)
            return Remove(kind=rest["of"], name=rest["name"], fenced=fenced)
        case "leave":
            return Leave(upstream=rest["upstream"])
        case "set-role":
            return SetRole(upstream=rest["upstream"], role=rest["role"])
        case "set-layout":
            layout = model.layout(rest["layout"])
            return SetLayout(group=rest["group"], layout=layout)
        case other:
            raise ValueError(f"unknown change {other!r}")
