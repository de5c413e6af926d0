"""The records that reelscale keeps in the platform's log."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from typing import Any

from . import change


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanRecord:
    """A plan that an operator may confirm.

    Attributes:
      id: Unique id of the plan.
      base: Offset of the state that the plan was made on.
      changes: What it will do once confirmed.
      author: Name of the operator's credential.
    """

    id: str
    base: int
    changes: tuple[change.Change, ...]
    author: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfirmRecord:
    """An operator's confirmation; repeats of it do no harm.

    Attributes:
      plan: Id of the plan confirmed.
    """

    plan: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """A claim to be the only holder of a name for a while.

    Attributes:
      id: Unique id of this claim, to find it when its answer was lost.
      name: What is claimed, such as "group/g1".
      holder: Name and incarnation of the claimant.
      ttl_ms: How long the claim holds from when it was asked for.
      replaces: Offset of the claim that the claimant saw lapse or
        renews itself; 0 for the first.
    """

    id: str
    name: str
    holder: str
    ttl_ms: int
    replaces: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRecord:
    """A part of the whole state, for readers that start late.

    Attributes:
      id: The same for all parts of one snapshot.
      at: Offset up to which the state is folded.
      part: Index of this part.
      parts: Number of parts.
      digest: Digest of all parts joined, in each part.
      data: Text of this part.
    """

    id: str
    at: int
    part: int
    parts: int
    digest: str
    data: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FullConfigRecord:
    """A whole configuration, accepted already, in place of the one before.

    Written where operators state all they want at once instead of intents.

    Attributes:
      version: Rises with every one; a lower one is not taken.
      workspaces: Workspaces as JSON data.
      services: Plain services as JSON data.
      routes: Routes as JSON data.
      limits: Fields of route.Limits.
    """

    version: int
    workspaces: list[dict[str, Any]]
    services: list[dict[str, Any]]
    routes: list[dict[str, Any]]
    limits: dict[str, Any]


Record = (
    PlanRecord
    | ConfirmRecord
    | LeaseRecord
    | SnapshotRecord
    | FullConfigRecord
)


def to_json(record: Record) -> dict[str, Any]:
    """Return a record as plain JSON data."""
    match record:
        case PlanRecord():
            changes = [change.to_json(item) for item in record.changes]
            fields = {"id": record.id, "base": record.base}
            author = record.author
            return {
                "kind": "plan",
                **fields,
                "changes": changes,
                "author": author,
            }
        case ConfirmRecord(plan=plan):
            return {"kind": "confirm", "plan": plan}
        case LeaseRecord():
            return {"kind": "lease", **dataclasses.asdict(record)}
        case SnapshotRecord():
            return {"kind": "snapshot", **dataclasses.asdict(record)}
        case FullConfigRecord():
            return {"kind": "whole", **dataclasses.asdict(record)}


def from_json(data: Any) -> Record | None:
    """Build a record from JSON data of the log.

    Returns:
      The record, or None for anything that is no record of ours: one bad
      record must not stop the readers, and all readers skip the same.
    """
    try:
        made = _build(data)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
    return made if made is not None and _well_typed(made) else None


def _build(data: Any) -> Record | None:
    """Build a record of whatever types the data has."""
    rest = {key: value for key, value in data.items() if key != "kind"}
    match data["kind"]:
        case "plan":
            rest["changes"] = tuple(
                change.from_json(item) for item in rest["changes"]
            )
            return PlanRecord(**rest)
        case "confirm":
            return ConfirmRecord(**rest)
        case "lease":
            return LeaseRecord(**rest)
        case "snapshot":
            return SnapshotRecord(**rest)
        case "whole":
            return FullConfigRecord(**rest)
    return None


def _well_typed(item: Record) -> bool:
    """Tell whether the fields of a record have the types they should."""
    return all(
        isinstance(getattr(item, field.name), _CLASSES[field.type])
        for field in dataclasses.fields(item)
        if field.type in _CLASSES
    )


_CLASSES: dict[Any, type] = {str: str, int: int}
