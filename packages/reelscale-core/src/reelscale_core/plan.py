"""Builds a plan, with its diff and cost, from an operator's intent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from . import change, error, fold, model, placement, record, schema
from .state import Slices, State, members

INTENT_SCHEMA = schema.load("reelscale_core", "intent.schema.json")
# Maximum experts that a rebalance loads, as a fraction of all slots.
MOVE_BUDGET = 0.25
# Assumed size of the weights of one expert in one layer.
BYTES_PER_EXPERT = 44_000_000


class Plan(NamedTuple):
    """A plan for an operator to confirm.

    Attributes:
      record: The plan's record for the log.
      diff: One line per change, starting with "+", "-" or "~".
      costs_by_group: Gain and cost of each new layout.
      bytes_moved: Size of the weights that ranks load.
      affected: Upstreams whose requests are affected.
      destructive: Whether it removes an object or capacity.
    """

    record: record.PlanRecord
    diff: tuple[str, ...]
    costs_by_group: dict[str, placement.Cost]
    bytes_moved: int
    affected: tuple[str, ...]
    destructive: bool


class Rebalanced(NamedTuple):
    """A layout chosen for a group, with its gain and cost."""

    layout: model.Layout
    cost: placement.Cost


class Draft(NamedTuple):
    """The changes of a checked intent."""

    changes: tuple[change.Change, ...]
    costs_by_group: dict[str, placement.Cost]


def make(
    state: State,
    intent: Any,
    *,
    author: str,
    nonce: str,
    rebalanced_by_group: Mapping[str, Rebalanced],
) -> Plan:
    """Build a plan based on a state.

    Args:
      state: The folded configuration.
      intent: The operator's intent as decoded JSON.
      author: Name of the operator's credential.
      nonce: Distinguishes plans of the same intent.
      rebalanced_by_group: Results of rebalance for groups in the intent.

    Raises:
      CodedError: "bad-document" with all faults, "no-load" or "refused".
    """
    schema.check(intent, INTENT_SCHEMA, step="plan")
    draft = _draft(state, intent["changes"], rebalanced_by_group)
    reason = fold.problem(state, draft.changes)
    if reason:
        raise error.CodedError(
            "refused", step="plan", status=409, detail=reason
        )
    item = record.PlanRecord(
        id=_plan_id(state, intent, nonce),
        base=state.offset,
        changes=draft.changes,
        author=author,
    )
    moved = sum(cost.moves for cost in draft.costs_by_group.values())
    return Plan(
        record=item,
        diff=tuple(_diff(state, each) for each in draft.changes),
        costs_by_group=draft.costs_by_group,
        bytes_moved=moved * BYTES_PER_EXPERT,
        affected=_affected(state, draft.changes),
        destructive=any(_destructive(each) for each in draft.changes),
    )


def groups_to_rebalance(state: State, intent: Any) -> list[model.Group]:
    """Return the groups that an intent rebalances; it may be unchecked."""
    try:
        names = [
            row["group"]
            for row in intent["changes"]
            if row["kind"] == "rebalance"
        ]
    except (KeyError, TypeError):
        return []
    groups = state.groups_by_name
    return [groups[name] for name in names if name in groups]


def _plan_id(state: State, intent: Any, nonce: str) -> str:
    text = json.dumps([state.offset, intent, nonce], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=6).hexdigest()


def _draft(
    state: State,
    items: Sequence[dict[str, Any]],
    rebalanced_by_group: Mapping[str, Rebalanced],
) -> Draft:
    """Expand an intent into changes."""
    changes: list[change.Change] = []
    costs: dict[str, placement.Cost] = {}
    for item in items:
        match item["kind"]:
            case "set-model":
                group = _group(state, item["group"])
                layout = group.layout._replace(
                    version=group.layout.version + 1,
                    model_version=item["model_version"],
                )
                changes.append(
                    change.SetLayout(group=group.name, layout=layout)
                )
            case "rebalance":
                group = _group(state, item["group"])
                rebalanced = _rebalanced(group, rebalanced_by_group)
                costs[group.name] = rebalanced.cost
                changes.append(
                    change.SetLayout(
                        group=group.name, layout=rebalanced.layout
                    )
                )
            case "put-group":
                changes += _put_group(state, item)
            case _:
                changes.append(change.from_json(item))
    return Draft(tuple(changes), costs)


def _rebalanced(
    group: model.Group, rebalanced_by_group: Mapping[str, Rebalanced]
) -> Rebalanced:
    """Return the result for a group; "no-load" without a current one."""
    rebalanced = rebalanced_by_group.get(group.name)
    if (
        rebalanced is None
        or rebalanced.layout.version != group.layout.version + 1
    ):
        raise error.CodedError(
            "no-load",
            step="plan",
            peer=group.name,
            status=409,
            detail="no expert load has been reported for the group yet",
        )
    return rebalanced


def rebalance(
    group: model.Group, loads_by_layer: Sequence[Sequence[float]]
) -> Slices[Rebalanced | None]:
    """Choose a layout by the load of a group's experts, in slices.

    Returns:
      The layout and its cost; None unless each layer has a load.
    """
    old = group.layout.experts_by_slot
    if len(loads_by_layer) != len(old) or not old:
        return None
    rows = []
    costs = []
    for slots, loads in zip(old, loads_by_layer, strict=True):
        new, cost = yield from _rebalance_layer(group, slots, loads)
        rows.append(new)
        costs.append(cost)
    layout = group.layout._replace(
        version=group.layout.version + 1, experts_by_slot=tuple(rows)
    )
    total = placement.Cost(
        skew_before=max(cost.skew_before for cost in costs),
        skew_after=max(cost.skew_after for cost in costs),
        bound=max(cost.bound for cost in costs),
        moves=sum(cost.moves for cost in costs),
    )
    return Rebalanced(layout, total)


def _rebalance_layer(
    group: model.Group, slots: Sequence[int], loads: Sequence[float]
) -> Slices[tuple[tuple[int, ...], placement.Cost]]:
    """Choose the placement of one layer and return it with its cost."""
    layer = placement.Layer(tuple(slots), tuple(loads), group.slots_per_rank)
    budget = max(2, int(len(slots) * MOVE_BUDGET))
    best = layer.slots
    steps = placement.solve(
        layer, skew_weight=group.skew_weight, budget=budget
    )
    for placed in steps:
        best = placed
        yield
    cost = placement.Cost(
        skew_before=placement.skew(layer),
        skew_after=placement.skew(layer._replace(slots=best)),
        bound=placement.bound(layer),
        moves=placement.moves(layer.slots, best, group.slots_per_rank),
    )
    return best, cost


def _put_group(state: State, item: dict[str, Any]) -> list[change.Change]:
    """Create or replace a group; a new one gets a uniform layout."""
    put = change.from_json(item)
    group = put.group
    changes: list[change.Change] = [put]
    if group.name not in state.groups_by_name:
        slots = placement.uniform(
            ranks=group.ranks,
            experts=group.experts,
            per_rank=group.slots_per_rank,
        )
        layout = model.Layout(1, "initial", (slots,))
        changes.append(change.SetLayout(group=group.name, layout=layout))
    return changes


def _group(state: State, name: str) -> model.Group:
    group = state.groups_by_name.get(name)
    if group is None:
        raise error.CodedError(
            "refused",
            step="plan",
            status=409,
            detail=f"there is no group {name}",
        )
    return group


def _diff(state: State, item: change.Change) -> str:
    """Describe a change in one line."""
    key = change.object_key(item)
    kind, name = key.split("/", 1)
    exists = name in getattr(state, f"{kind}s_by_name")
    match item:
        case change.Remove():
            return f"- {key}"
        case change.Leave():
            return f"~ {key}: leaving"
        case change.SetRole(role=role):
            old = state.upstreams_by_name[name].role
            return f"~ {key}: role {old} -> {role}"
        case change.SetLayout(layout=layout):
            old = state.groups_by_name.get(name)
            before = old.layout if old else model.Layout()
            return (
                f"~ {key}: layout {before.version} -> {layout.version}, "
                f"model {before.model_version or 'none'} -> "
                f"{layout.model_version}"
            )
        case _:
            return f"{'~' if exists else '+'} {key}"


def _affected(
    state: State, changes: Sequence[change.Change]
) -> tuple[str, ...]:
    """Return the upstreams whose requests a plan affects."""
    names: set[str] = set()
    for item in changes:
        match item:
            case change.Leave(upstream=name) | change.SetRole(upstream=name):
                names.add(name)
            case change.Remove(kind="upstream", name=name):
                names.add(name)
            case change.SetLayout(group=name):
                names.update(members(state, name))
            case _:
                pass
    return tuple(sorted(names))


def _destructive(item: change.Change) -> bool:
    match item:
        case change.Remove() | change.Leave():
            return True
        case change.SetRole(role=role):
            return role != "serve"
        case _:
            return False
