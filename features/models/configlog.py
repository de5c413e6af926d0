"""Model of racing operators and of readers that start from a snapshot.

Guards against readers whose folded states differ: the fold is compared with a
naive reader that replays the complete log.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import change, fold, model, record, snapshot, state

from .chooser import Chooser

NAMES = ("w0", "w1", "w2")

# Invalid records, as of a faulty or newer writer.
INVALID_RECORDS = (
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


class StateMismatchError(AssertionError):
    """Two readers, or a reader and the naive one, have different states."""


class World:
    """A log, its lagging readers and the operators."""

    def __init__(self) -> None:
        self.log: list[Any] = []
        self.oldest = 0
        self.readers = [state.State(), state.State()]
        self.plans: list[record.PlanRecord] = []
        self.accepted: dict[str, int] = {}

    def act(self, chooser: Chooser) -> None:
        """Carry out one random action."""
        actions = [
            *[self.plan] * 4,
            *[self.confirm] * 5,
            *[self.read] * 5,
            self.repeat,
            self.append_invalid,
            self.claim,
            self.write_snapshot,
            self.start_from_snapshot,
            self.fold_again,
        ]
        chooser.pick(actions)(chooser)

    def plan(self, chooser: Chooser) -> None:
        """Append a plan based on a reader's state, which may be outdated."""
        base = chooser.pick(self.readers)
        name = chooser.pick(NAMES)
        exists = name in base.workspaces_by_name
        weight = float(len(self.plans) + 1)
        put = model.Workspace(
            name=name, key_digests=("0" * 64,), weight=weight
        )
        item: change.Change = change.PutWorkspace(workspace=put)
        if exists and chooser.pick([False, False, True]):
            item = change.Remove(kind="workspace", name=name)
        plan = record.PlanRecord(
            id=f"p{len(self.plans)}", base=base.offset, changes=(item,)
        )
        self.plans.append(plan)
        self.log.append(record.to_json(plan))

    def confirm(self, chooser: Chooser) -> None:
        """Append a confirmation of any plan, which may be a repeat."""
        if self.plans:
            plan = chooser.pick(self.plans)
            item = record.ConfirmRecord(plan=plan.id)
            self.log.append(record.to_json(item))

    def repeat(self, chooser: Chooser) -> None:
        """Append a record again, as after a lost answer."""
        if self.log:
            self.log.append(chooser.pick(self.log))

    def append_invalid(self, chooser: Chooser) -> None:
        """Append an invalid record."""
        self.log.append(chooser.pick(INVALID_RECORDS))

    def claim(self, chooser: Chooser) -> None:
        """Append a claim of a lease by a reader's state."""
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
        """Fold the next records at a reader."""
        number = chooser.pick(range(len(self.readers)))
        old = self.readers[number]
        start = old.offset + 1
        rows = list(enumerate(self.log))[start:]
        count = chooser.pick([1, 2, 5, 1000])
        new = fold.fold(old, rows[:count])
        if new.offset < old.offset:
            raise StateMismatchError("an offset decreased")
        self.readers[number] = new

    def write_snapshot(self, chooser: Chooser) -> None:
        """Write a reader's state into the log as a snapshot in parts."""
        reader = chooser.pick(self.readers)
        if reader.offset >= 0:
            self.log += snapshot.split(reader, chars=400)

    def start_from_snapshot(self, chooser: Chooser) -> None:
        """Start a reader from a snapshot, without the log before it."""
        base = snapshot.newest(enumerate(self.log))
        if base is None:
            return
        rows = [
            (offset, data)
            for offset, data in enumerate(self.log)
            if offset > base.offset
        ]
        late = fold.fold(base, rows)
        early = fold.fold(state.State(), enumerate(self.log))
        if state.dump(late) != state.dump(early):
            raise StateMismatchError(
                "a reader from a snapshot has another state"
            )
        self.readers[0] = max(self.readers[0], late, key=_offset)

    def fold_again(self, chooser: Chooser) -> None:
        """Fold records again; the state must not change."""
        reader = chooser.pick(self.readers)
        rows = list(enumerate(self.log))[: reader.offset + 1]
        if fold.fold(reader, rows) != reader:
            raise StateMismatchError(
                "records that were folded before changed a state"
            )

    def check(self) -> None:
        """Compare all verdicts and objects with the naive reader."""
        reader = fold.fold(state.State(), enumerate(self.log))
        weights, verdicts = naive(self.log)
        folded = {
            name: item.weight
            for name, item in reader.workspaces_by_name.items()
        }
        if folded != weights:
            raise StateMismatchError(f"weights {folded}, naive {weights}")
        accepted = {
            key: verdict.accepted
            for key, verdict in reader.verdicts_by_id.items()
        }
        if accepted != verdicts:
            raise StateMismatchError(f"verdicts {accepted}, naive {verdicts}")


def naive(log: list[Any]) -> tuple[dict[str, float], dict[str, bool]]:
    """Return the weights by workspace and the acceptance by plan id.

    A naive fold of the complete log.
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
