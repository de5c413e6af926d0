"""The folded configuration and its serialization for peers and snapshots."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from collections.abc import Callable, Generator
from typing import Any, NamedTuple, TypeVar

import immutables
import orjson

from . import model, record, route


class Verdict(NamedTuple):
    """The decision of the fold on a confirmed plan.

    Attributes:
      accepted: Whether the plan was applied.
      offset: Offset of the confirmation.
      code: Empty, "conflict", "unknown-plan" or "refused".
      detail: Explanation for operators; names the winner of a conflict.
    """

    accepted: bool
    offset: int
    code: str = ""
    detail: str = ""


class Membership(NamedTuple):
    """The upstreams that serve a target from an offset on.

    Attributes:
      offset: Offset of the record that changed them.
      members: Names of the upstreams, sorted.
    """

    offset: int
    members: tuple[str, ...]


class Lease(NamedTuple):
    """The newest accepted claim of a name.

    Attributes:
      holder: Name and incarnation of the holder.
      offset: Offset of the claim; the fence of its holder's orders.
      ttl_ms: Validity, from when the claim was requested.
      id: Id of the claim.
    """

    holder: str
    offset: int
    ttl_ms: int
    id: str


EMPTY = immutables.Map()

# Rows that are encoded at a time.
SLICE_ROWS = 200

Result = TypeVar("Result")
# Work in slices: a generator that yields to the event loop between them.
Slices = Generator[None, None, Result]


class State(NamedTuple):
    """The configuration, folded from the log up to an offset.

    Attributes:
      offset: Position (position.py) of the last folded record; -1 before the
        first.
      workspaces_by_name: Workspaces.
      services_by_name: Plain services.
      groups_by_name: Groups of ranks.
      upstreams_by_name: Upstreams.
      changed_by_key: Offset of the last change by "kind/name".
      plans_by_id: Unconfirmed plans with their offset.
      verdicts_by_id: Verdicts by plan id.
      leases_by_name: Newest accepted claim by name.
      members_by_target: Memberships of each target, oldest first.
      routes_by_name: Routes by host and path.
      version: Version of the last full configuration, 0 without one.
      limits: Limits of requests.
    """

    offset: int = -1
    workspaces_by_name: immutables.Map = EMPTY
    services_by_name: immutables.Map = EMPTY
    groups_by_name: immutables.Map = EMPTY
    upstreams_by_name: immutables.Map = EMPTY
    changed_by_key: immutables.Map = EMPTY
    plans_by_id: immutables.Map = EMPTY
    verdicts_by_id: immutables.Map = EMPTY
    leases_by_name: immutables.Map = EMPTY
    members_by_target: immutables.Map = EMPTY
    routes_by_name: immutables.Map = EMPTY
    version: int = 0
    limits: route.Limits = route.Limits()


def dump(state: State) -> str:
    """Serialize a state as canonical text, one JSON object per line."""
    return run(dump_slices(state))


def dump_slices(state: State) -> Slices[str]:
    """Serialize a state in slices.

    The first line holds the offset; each of the others the name of a field
    and some of its rows, in the order of their keys.
    """
    head = {"offset": state.offset, "version": state.version}
    head["limits"] = state.limits._asdict()
    lines = [orjson.dumps(head)]
    for field, (encode, _) in _CODECS.items():
        rows = getattr(state, field)
        keys = sorted(rows)
        yield
        for at in range(0, len(keys), SLICE_ROWS):
            part = {
                key: encode(rows[key]) for key in keys[at : at + SLICE_ROWS]
            }
            line = {"of": field, "rows": part}
            lines.append(orjson.dumps(line, default=tuple))
            yield
    return b"\n".join(lines).decode()


def load(text: str) -> State:
    """Deserialize a state from the text of dump.

    Raises:
      ValueError, KeyError, TypeError: The text is not valid.
    """
    return run(load_slices(text))


def load_slices(text: str) -> Slices[State]:
    """Deserialize a state in slices."""
    head, *lines = text.split("\n")
    state = _head(orjson.loads(head))
    for line in lines:
        data = orjson.loads(line)
        field = data["of"]
        _, decode = _CODECS[field]
        rows = {key: decode(row) for key, row in data["rows"].items()}
        table = getattr(state, field).update(rows)
        state = state._replace(**{field: table})
        yield
    return state


def _head(data: dict[str, Any]) -> State:
    """Build a state without tables from the first line of a dump."""
    limits = route.Limits(**data.get("limits", {}))
    version = data.get("version", 0)
    return State(offset=data["offset"], version=version, limits=limits)


def run(slices: Slices[Result]) -> Result:
    """Run slices to completion and return the result."""
    while True:
        try:
            next(slices)
        except StopIteration as ended:
            return ended.value


def digest(text: str) -> str:
    """Return the digest of a dump."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def members(state: State, target: str) -> tuple[str, ...]:
    """Return the upstreams that serve a target, sorted."""
    rows = state.members_by_target.get(target, ())
    return rows[-1].members if rows else ()


def _identity(value: Any) -> Any:
    return value


def _plan_to_json(row: tuple[int, record.PlanRecord]) -> list[Any]:
    return [row[0], record.to_json(row[1])]


def _plan(row: list[Any]) -> tuple[int, record.Record | None]:
    return row[0], record.from_json(row[1])


def _memberships(rows: list[Any]) -> tuple[Membership, ...]:
    return tuple(Membership(row[0], tuple(row[1])) for row in rows)


# How the rows of each field are encoded as JSON data and decoded from it.
_CODECS: dict[str, tuple[Callable[[Any], Any], Callable[[Any], Any]]] = {
    "workspaces_by_name": (model.to_json, model.workspace),
    "services_by_name": (model.to_json, model.service),
    "groups_by_name": (model.to_json, model.group),
    "upstreams_by_name": (model.to_json, model.upstream),
    "changed_by_key": (_identity, _identity),
    "plans_by_id": (_plan_to_json, _plan),
    "verdicts_by_id": (_identity, lambda row: Verdict(*row)),
    "leases_by_name": (_identity, lambda row: Lease(*row)),
    "members_by_target": (_identity, _memberships),
    "routes_by_name": (route.to_json, route.from_json),
}
