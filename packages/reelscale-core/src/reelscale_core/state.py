"""The folded configuration and its form for peers and snapshots."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
import json
from typing import Any, NamedTuple

import immutables

from . import model, record


class Verdict(NamedTuple):
    """What the fold decided on a confirmed plan.

    Attributes:
      accepted: Whether the plan is in the configuration.
      offset: Offset of the confirmation that was judged.
      code: Empty, "conflict", "unknown-plan" or "refused".
      detail: For people; names the winner of a conflict.
    """

    accepted: bool
    offset: int
    code: str = ""
    detail: str = ""


class Membership(NamedTuple):
    """The upstreams of a target from an offset on.

    Attributes:
      offset: Offset of the record that made it so.
      members: Names of the upstreams, sorted.
    """

    offset: int
    members: tuple[str, ...]


class Lease(NamedTuple):
    """The newest accepted claim of a name.

    Attributes:
      holder: Who holds it.
      offset: Offset of the claim; the fence of its holder's orders.
      ttl_ms: How long it holds from when it was asked for.
      id: Id of the claim.
    """

    holder: str
    offset: int
    ttl_ms: int
    id: str


EMPTY = immutables.Map()


class State(NamedTuple):
    """Everything that the log says, folded up to an offset.

    Attributes:
      offset: Offset of the last record folded, -1 before the first.
      workspaces_by_name: Workspaces.
      services_by_name: Plain services.
      groups_by_name: Groups of ranks.
      upstreams_by_name: Upstreams.
      changed_by_key: Offset of the last change, by "kind/name".
      plans_by_id: Plans that may still be confirmed, with their offset.
      verdicts_by_id: Verdicts by plan id.
      leases_by_name: Newest accepted claim by name.
      members_by_target: Memberships of each target, oldest first.
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


def dump(state: State) -> str:
    """Return a state as canonical JSON text."""
    objects = {
        name: {
            key: model.to_json(thing)
            for key, thing in getattr(state, name).items()
        }
        for name in _BUILDERS
    }
    plans = {
        key: [offset, record.to_json(plan)]
        for key, (offset, plan) in state.plans_by_id.items()
    }
    data = {
        "offset": state.offset,
        **objects,
        "changed_by_key": dict(state.changed_by_key),
        "plans_by_id": plans,
        "verdicts_by_id": dict(state.verdicts_by_id),
        "leases_by_name": dict(state.leases_by_name),
        "members_by_target": dict(state.members_by_target),
    }
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def load(text: str) -> State:
    """Build a state from the text of dump.

    Raises:
      ValueError, KeyError, TypeError: The text is not of dump.
    """
    data = json.loads(text)
    objects = {
        name: immutables.Map(
            {key: build(thing) for key, thing in data[name].items()}
        )
        for name, build in _BUILDERS.items()
    }
    return State(
        offset=data["offset"],
        **objects,
        changed_by_key=immutables.Map(data["changed_by_key"]),
        plans_by_id=_load_plans(data["plans_by_id"]),
        verdicts_by_id=_load_rows(data["verdicts_by_id"], Verdict),
        leases_by_name=_load_rows(data["leases_by_name"], Lease),
        members_by_target=immutables.Map(
            {
                key: tuple(Membership(row[0], tuple(row[1])) for row in rows)
                for key, rows in data["members_by_target"].items()
            }
        ),
    )


def digest(text: str) -> str:
    """Return the digest by which two dumps are compared."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def members(state: State, target: str) -> tuple[str, ...]:
    """Return the upstreams that serve a target now, sorted."""
    rows = state.members_by_target.get(target, ())
    return rows[-1].members if rows else ()


def _load_plans(data: dict[str, Any]) -> immutables.Map:
    rows = {}
    for key, (offset, plan) in data.items():
        rows[key] = (offset, record.from_json(plan))
    return immutables.Map(rows)


def _load_rows(data: dict[str, Any], build: Any) -> immutables.Map:
    return immutables.Map({key: build(*row) for key, row in data.items()})


_BUILDERS = {
    "workspaces_by_name": model.workspace,
    "services_by_name": model.service,
    "groups_by_name": model.group,
    "upstreams_by_name": model.upstream,
}
