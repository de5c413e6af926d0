"""Folds the records of the log into the configuration.

The fold is a pure function of state and record, so all readers reach the same
verdicts.  The log needs no compare-and-append: of two conflicting
confirmations the first in offset order wins.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any

import immutables

from . import change, model, record, route
from .state import Lease, Membership, State, Verdict

# Offsets for which plans and verdicts are kept; all readers prune at the same
# record.
PLAN_RETENTION = 20_000
PRUNE_EVERY = 256
# Memberships of a target, to find previous owners of keys.
MAX_MEMBERSHIPS = 64
# Layouts before the newest that ranks may still use.
MAX_EARLIER_LAYOUTS = 3


def step(state: State, offset: int, data: Any) -> State:
    """Fold one record of the log.

    Args:
      state: The state up to the record before.
      offset: Offset of the record in the log.
      data: The record's decoded JSON.

    Returns:
      The state with the record folded in; the same state if the offset is
      not higher than the state's.
    """
    if offset <= state.offset:
        return state
    try:
        state = _apply(state, offset, record.from_json(data))
    except (AttributeError, KeyError, TypeError, ValueError):
        # Skip a record that cannot be applied: all readers skip the same ones.
        pass
    if offset % PRUNE_EVERY == 0:
        state = _prune(state, offset)
    return state._replace(offset=offset)


def fold(state: State, rows: Iterable[tuple[int, Any]]) -> State:
    """Fold many records, given as (offset, data) in offset order."""
    for offset, data in rows:
        state = step(state, offset, data)
    return state


def problem(state: State, changes: Iterable[change.Change]) -> str:
    """Return why changes cannot be applied, or an empty string."""
    for item in changes:
        reason = _problem(state, item)
        if reason:
            return reason
        state = _change(state, 0, item)
    return ""


def apply(
    state: State, offset: int, changes: Iterable[change.Change]
) -> State:
    """Return the state with changes applied, as accepted at an offset."""
    for item in changes:
        state = _change(state, offset, item)
    return state


def conflict(state: State, plan: record.PlanRecord) -> str:
    """Return what conflicts with a plan since its base, or an empty string."""
    for item in plan.changes:
        key = change.object_key(item)
        at = state.changed_by_key.get(key, -1)
        if at > plan.base:
            return f"{key} was changed at offset {at}, after the plan's base"
    return ""


def _apply(state: State, offset: int, item: record.Record | None) -> State:
    match item:
        case record.PlanRecord():
            if item.id in state.plans_by_id or item.id in state.verdicts_by_id:
                return state
            plans = state.plans_by_id.set(item.id, (offset, item))
            return state._replace(plans_by_id=plans)
        case record.ConfirmRecord(plan=plan):
            return _confirm(state, offset, plan)
        case record.LeaseRecord():
            return _lease(state, offset, item)
        case record.FullConfigRecord():
            return _replace_config(state, item)
        case _:
            return state


def merge(own: State, other: State) -> State:
    """Return the newer of two states, with the newest full configuration.

    Positions order what was read of the log and versions order configurations:
    after a restore, the state that has read further may have the older one.
    """
    newer, older = (other, own) if other.offset > own.offset else (own, other)
    if older.version <= newer.version:
        return newer
    return newer._replace(
        version=older.version,
        workspaces_by_name=older.workspaces_by_name,
        services_by_name=older.services_by_name,
        routes_by_name=older.routes_by_name,
        limits=older.limits,
    )


def _replace_config(state: State, item: record.FullConfigRecord) -> State:
    """Replace the configuration, unless the current one is newer."""
    if item.version <= state.version:
        return state
    workspaces = [model.workspace(row) for row in item.workspaces]
    services = [model.service(row) for row in item.services]
    routes = [route.from_json(row) for row in item.routes]
    return state._replace(
        version=item.version,
        workspaces_by_name=_by_name(workspaces),
        services_by_name=_by_name(services),
        routes_by_name=_by_name(routes),
        limits=route.Limits(**item.limits),
    )


def _by_name(items: Iterable[Any]) -> immutables.Map:
    return immutables.Map({item.name: item for item in items})


def _confirm(state: State, offset: int, plan_id: str) -> State:
    """Decide on a confirmation; only the first of a plan has an effect."""
    if plan_id in state.verdicts_by_id:
        return state
    verdict = Verdict(accepted=True, offset=offset)
    row = state.plans_by_id.get(plan_id)
    if row is None:
        verdict = Verdict(False, offset, "unknown-plan", "no such plan")
    else:
        conflicting = conflict(state, row[1])
        reason = problem(state, row[1].changes)
        if conflicting:
            verdict = Verdict(False, offset, "conflict", conflicting)
        elif reason:
            verdict = Verdict(False, offset, "refused", reason)
        else:
            state = apply(state, offset, row[1].changes)
        plans = state.plans_by_id.delete(plan_id)
        state = state._replace(plans_by_id=plans)
    verdicts = state.verdicts_by_id.set(plan_id, verdict)
    return state._replace(verdicts_by_id=verdicts)


def _lease(state: State, offset: int, item: record.LeaseRecord) -> State:
    """Accept a claim only if it replaces the newest accepted claim."""
    held = state.leases_by_name.get(item.name)
    if item.replaces != (held.offset if held else 0):
        return state
    lease = Lease(item.holder, offset, item.ttl_ms, item.id)
    leases = state.leases_by_name.set(item.name, lease)
    return state._replace(leases_by_name=leases)


def _problem(state: State, item: change.Change) -> str:
    match item:
        case change.PutUpstream(upstream=put):
            return _upstream_problem(state, put)
        case change.Remove(kind=kind, name=name):
            if name not in getattr(state, f"{kind}s_by_name"):
                return f"there is no {kind} {name}"
        case change.Leave(upstream=name):
            if name not in state.upstreams_by_name:
                return f"there is no upstream {name}"
        case change.SetRole(upstream=name, role=role):
            if name not in state.upstreams_by_name:
                return f"there is no upstream {name}"
            if role not in model.ROLES:
                return f"there is no role {role}"
        case change.SetLayout(group=name, layout=layout):
            return _layout_problem(state, name, layout)
    return ""


def _upstream_problem(state: State, put: model.Upstream) -> str:
    group = state.groups_by_name.get(put.target)
    if group is None:
        exists = put.target in state.services_by_name
        return "" if exists else f"there is no group or service {put.target}"
    if put.first_rank + put.ranks > group.ranks:
        return f"{put.name} has ranks that group {group.name} has not"
    return ""


def _layout_problem(state: State, name: str, layout: model.Layout) -> str:
    group = state.groups_by_name.get(name)
    if group is None:
        return f"there is no group {name}"
    if layout.version != group.layout.version + 1:
        return f"group {name} is on layout {group.layout.version}"
    slots = group.ranks * group.slots_per_rank
    experts = set(range(group.experts))
    for row in layout.experts_by_slot:
        if len(row) != slots or set(row) != experts:
            return f"a layer of the layout does not fit group {name}"
    return ""


def _change(state: State, offset: int, item: change.Change) -> State:
    changed = state.changed_by_key.set(change.object_key(item), offset)
    state = state._replace(changed_by_key=changed)
    match item:
        case change.PutWorkspace(workspace=put):
            rows = state.workspaces_by_name.set(put.name, put)
            return state._replace(workspaces_by_name=rows)
        case change.PutService(service=put):
            rows = state.services_by_name.set(put.name, put)
            return state._replace(services_by_name=rows)
        case change.PutGroup(group=put):
            return _put_group(state, put)
        case change.PutUpstream(upstream=put):
            return _put_upstream(state, offset, put)
        case change.Remove():
            return _remove(state, offset, item)
        case change.Leave(upstream=name):
            old = state.upstreams_by_name[name]
            return _put_upstream(state, offset, old._replace(leaving=True))
        case change.SetRole(upstream=name, role=role):
            old = state.upstreams_by_name[name]
            return _put_upstream(state, offset, old._replace(role=role))
        case change.SetLayout(group=name, layout=layout):
            return _set_layout(state, name, layout)


def _set_layout(state: State, name: str, layout: model.Layout) -> State:
    old = state.groups_by_name[name]
    earlier = (*old.earlier, old.layout)[-MAX_EARLIER_LAYOUTS:]
    new = old._replace(layout=layout, earlier=earlier)
    rows = state.groups_by_name.set(name, new)
    return state._replace(groups_by_name=rows)


def _put_group(state: State, put: model.Group) -> State:
    """Create or replace a group, keeping its layouts."""
    old = state.groups_by_name.get(put.name)
    if old is not None:
        put = put._replace(layout=old.layout, earlier=old.earlier)
    rows = state.groups_by_name.set(put.name, put)
    return state._replace(groups_by_name=rows)


def _put_upstream(state: State, offset: int, put: model.Upstream) -> State:
    old = state.upstreams_by_name.get(put.name)
    rows = state.upstreams_by_name.set(put.name, put)
    state = state._replace(upstreams_by_name=rows)
    if old is not None and old.target != put.target:
        state = _record_members(state, offset, old.target)
    return _record_members(state, offset, put.target)


def _remove(state: State, offset: int, item: change.Remove) -> State:
    field = f"{item.kind}s_by_name"
    rows = getattr(state, field)
    if item.name not in rows:
        return state
    old = rows[item.name]
    state = state._replace(**{field: rows.delete(item.name)})
    if item.kind != "upstream":
        return state
    state = _record_members(state, offset, old.target)
    if item.fenced:
        state = _remove_member(state, old.target, item.name)
    return state


def _remove_member(state: State, target: str, name: str) -> State:
    """Remove an upstream that is fenced off from all memberships.

    Later owners of its keys then need not wait for its answer.
    """
    rows = tuple(
        row._replace(members=tuple(m for m in row.members if m != name))
        for row in state.members_by_target.get(target, ())
    )
    table = state.members_by_target.set(target, rows)
    return state._replace(members_by_target=table)


def _record_members(state: State, offset: int, target: str) -> State:
    """Append the membership of a target if it has changed."""
    now = tuple(
        sorted(
            item.name
            for item in state.upstreams_by_name.values()
            if item.target == target
            and item.role == "serve"
            and not item.leaving
        )
    )
    rows = state.members_by_target.get(target, ())
    if rows and rows[-1].members == now:
        return state
    if rows and rows[-1].offset == offset:
        # Of the memberships within one record only the last takes effect.
        rows = rows[:-1]
    rows = (*rows, Membership(offset, now))[-MAX_MEMBERSHIPS:]
    table = state.members_by_target.set(target, rows)
    return state._replace(members_by_target=table)


def _prune(state: State, offset: int) -> State:
    """Remove plans and verdicts past their retention."""
    limit = offset - PLAN_RETENTION
    plans = state.plans_by_id
    for key, row in plans.items():
        if row[0] < limit:
            plans = plans.delete(key)
    verdicts = state.verdicts_by_id
    for key, verdict in verdicts.items():
        if verdict.offset < limit:
            verdicts = verdicts.delete(key)
    return state._replace(plans_by_id=plans, verdicts_by_id=verdicts)
