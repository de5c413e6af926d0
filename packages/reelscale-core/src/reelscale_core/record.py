"""The records of reelscale in the platform's log."""

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
      base: Offset of the state that the plan is based on.
      changes: Changes to apply once it is confirmed.
      author: Name of the operator's credential.
    """

    id: str
    base: int
    changes: tuple[change.Change, ...]
    author: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfirmRecord:
    """An operator's confirmation of a plan; repeats have no effect.

    Attributes:
      plan: Id of the plan.
    """

    plan: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """A claim of the lease of a name.

    Attributes:
      id: Unique id of the claim, to find it if the append got no answer.
      name: Name of the lease, such as "group/g1".
      holder: Name and incarnation of the claimant.
      ttl_ms: Validity, from when the claim was requested.
      replaces: Offset of the expired claim, or of the claimant's own claim
        that it renews; 0 for the first.
    """

    id: str
    name: str
    holder: str
    ttl_ms: int
    replaces: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRecord:
    """A part of a snapshot of the state, for readers that start later.

    Attributes:
      id: Id of the snapshot, the same in all parts.
      at: Offset up to which the state is folded.
      part: Index of this part.
      parts: Number of parts.
      digest: Digest of all parts joined.
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
    """A full, accepted configuration that replaces the one before.

    Written on platforms where operators state the full configuration instead
    of intents.

    Attributes:
      version: Increases with every record; a lower one is ignored.
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
      The record; None for data that is no valid record, which all readers
      skip alike.
    """
    try:
        record = _build(data)
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
    return record if record is not None and _well_typed(record) else None


def _build(data: Any) -> Record | None:
    """Build a record without checking the types of its fields."""
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
    """Return whether the fields of a record have the declared types."""
    return all(
        isinstance(getattr(item, field.name), _CLASSES[field.type])
        for field in dataclasses.fields(item)
        if field.type in _CLASSES
    )


_CLASSES: dict[Any, type] = {str: str, int: int}
