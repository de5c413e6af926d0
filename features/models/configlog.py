"""Operators that race, and readers of the log that start late.

The fold is compared with a naive reader that keeps the whole log and goes
through it from the start for every question.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import change, fold, model, record, snapshot, state

from .chooser import Chooser

NAMES = ("w0", "w1", "w2")


# What a fault elsewhere, or a newer writer, may put into the log.
GARBAGE = (
    None,
    7,
    "x",
    {},
    {"kind": "plan"},
    {"kind": "confirm"},
    {"kind": "confirm", "plan": ["p0"]},
    {"kind": "plan", "id": {}, "base": 0, "changes": []},
    {"kind": "plan", "id": "g1", "base": "x", "changes": [{"kind": "leave"}]},
    {
        "kind": "lease",
        "id": 1,
        "name": [],
        "holder": 0,
        "ttl_ms": "x",
        "replaces": 0,
    },
    {
        "kind": "snapshot",
        "id": [],
        "at": 0,
        "part": "x",
        "parts": 0,
        "digest": 1,
        "data": 2,
    },
)


class DiffersError(AssertionError):
    """Two readers, or a reader and the naive one, disagree."""


class World:
    """A log, operators who read it at any lag, and readers."""

    def __init__(self) -> None:
        self.log: list[Any] = []
        self.oldest = 0
        self.readers = [state.State(), state.State()]
        self.plans: list[record.PlanRecord] = []
        self.accepted: dict[str, int] = {}

    def act(self, chooser: Chooser) -> None:
        """Let one thing happen."""
        actions = [
            *[self.plan] * 4,
            *[self.confirm] * 5,
            *[self.read] * 5,
            self.repeat,
            self.garbage,
            self.claim,
            self.write_snapshot,
            self.start_late,
            self.offer_old,
        ]
        chooser.pick(actions)(chooser)

    def plan(self, chooser: Chooser) -> None:
        """Let an operator plan on a reader's state, perhaps an old one."""
        base = chooser.pick(self.readers)
        name = chooser.pick(NAMES)
        known = name in base.workspaces_by_name
        weight = float(len(self.plans) + 1)
        put = model.Workspace(
            name=name, key_digests=("0" * 64,), weight=weight
        )
        item: change.Change = change.PutWorkspace(workspace=put)
        if known and chooser.pick([False, False, True]):
            item = change.Remove(kind="workspace", name=name)
        made = record.PlanRecord(
            id=f"p{len(self.plans)}", base=base.offset, changes=(item,)
        )
        self.plans.append(made)
        self.log.append(record.to_json(made))

    def confirm(self, chooser: Chooser) -> None:
        """Let an operator confirm any plan, perhaps for the second time."""
        if self.plans:
            plan = chooser.pick(self.plans)
            item = record.ConfirmRecord(plan=plan.id)
            self.log.append(record.to_json(item))

    def repeat(self, chooser: Chooser) -> None:
        """Append a record again, as after an answer that was lost."""
        if self.log:
            self.log.append(chooser.pick(self.log))

    def garbage(self, chooser: Chooser) -> None:
        """Append what is no record of ours."""
        self.log.append(chooser.pick(GARBAGE))

    def claim(self, chooser: Chooser) -> None:
        """Claim a lease on an old or the newest view."""
        held = chooser.pick(self.readers).leases_by_name.get("group/g")
        item = record.LeaseRecord(
            id=f"c{len(self.log)}",
            name="group/g",
            holder=chooser.pick(NAMES),
            ttl_ms=1000,
            replaces=held.offset if held else 0,
        )
        self.log.append(record.to_json(item))

    def read(self, chooser: Chooser) -> None:
        """Let a reader read some records on."""
        number = chooser.pick(range(len(self.readers)))
        old = self.readers[number]
        start = old.offset + 1
        rows = list(enumerate(self.log))[start:]
        count = chooser.pick([1, 2, 5, 1000])
        new = fold.fold(old, rows[:count])
        if new.offset < old.offset:
            raise DiffersError("an offset went down")
        self.readers[number] = new

    def write_snapshot(self, chooser: Chooser) -> None:
        """Let a reader write its state into the log, in small parts."""
        reader = chooser.pick(self.readers)
        if reader.offset >= 0:
            self.log += snapshot.split(reader, chars=400)

    def start_late(self, chooser: Chooser) -> None:
        """Start a reader from a snapshot, the log before it being gone."""
        whole = snapshot.newest(enumerate(self.log))
        if whole is None:
            return
        rows = [
            (offset, data)
            for offset, data in enumerate(self.log)
            if offset > whole.offset
        ]
        late = fold.fold(whole, rows)
        early = fold.fold(state.State(), enumerate(self.log))
        if state.dump(late) != state.dump(early):
            raise DiffersError("a late reader folded another state")
        self.readers[0] = max(self.readers[0], late, key=_offset)

    def offer_old(self, chooser: Chooser) -> None:
        """Fold records that a reader has had; nothing may change."""
        reader = chooser.pick(self.readers)
        rows = list(enumerate(self.log))[: reader.offset + 1]
        if fold.fold(reader, rows) != reader:
            raise DiffersError("old records changed a state")

    def check(self) -> None:
        """Compare every verdict and object with the naive reader."""
        whole = fold.fold(state.State(), enumerate(self.log))
        weights, verdicts = naive(self.log)
        found = {
            name: item.weight
            for name, item in whole.workspaces_by_name.items()
        }
        if found != weights:
            raise DiffersError(f"objects {found}, naive {weights}")
        judged = {
            key: verdict.accepted
            for key, verdict in whole.verdicts_by_id.items()
        }
        if judged != verdicts:
            raise DiffersError(f"verdicts {judged}, naive {verdicts}")


def naive(log: list[Any]) -> tuple[dict[str, float], dict[str, bool]]:
    """Go through a log in the plainest way.

    Returns:
      Weight by workspace, and by plan id whether it was accepted.
    """
    plans: dict[str, dict] = {}
    verdicts: dict[str, bool] = {}
    changed: list[tuple[int, str]] = []
    weights: dict[str, float] = {}
    for offset, data in enumerate(log):
        kind = data.get("kind") if isinstance(data, dict) else None
        if kind == "plan" and isinstance(data.get("base"), int):
            if not isinstance(data["id"], str):
                continue
            if data["id"] not in verdicts:
                plans.setdefault(data["id"], data)
        elif kind == "confirm" and isinstance(data.get("plan"), str):
            if data["plan"] in verdicts:
                continue
            plan = plans.get(data["plan"])
            verdicts[data["plan"]] = False
            if plan is None:
                continue
            row = plan["changes"][0]
            name = row["name"]
            if any(n == name and at > plan["base"] for at, n in changed):
                continue
            if row["kind"] == "remove" and name not in weights:
                continue
            verdicts[data["plan"]] = True
            changed.append((offset, name))
            if row["kind"] == "remove":
                del weights[name]
            else:
                weights[name] = row["weight"]
    return weights, verdicts


def _offset(reader: state.State) -> int:
    return reader.offset
