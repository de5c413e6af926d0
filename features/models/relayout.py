"""Ranks that change layouts by themselves, holders, and late orders.

An order may be lost, lose its answer, or be carried out long after it was
given; a holder may be overtaken and go on, or fall silent together with its
rank; a rank may restart, and the group forms anew.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from collections.abc import Mapping

from reelscale_core import rank as ranks
from reelscale_core import relayout

from . import relayout_rules
from .chooser import Chooser
from .relayout_engine import Engine, Sent

# Versions of one holder lie so many apart from those of the next.
VERSIONS_A_FENCE = 1000
# Versions of one holder from which on it wants no further layout.
MOST_WANTED = 4
# Once faults cease, a step takes as long as so many events of a holder.
TURNS_A_STEP = 12
# Turns within which one holder brings a group without faults to its end.
TURNS_TO_SETTLE = 400
OUTCOMES = ranks.Outcome
RULES = relayout_rules.RULES


@dataclasses.dataclass(kw_only=True)
class Holder:
    """One that holds the lease, or once did.

    Attributes:
      view: What it knows of the ranks, while it gives orders by it.
      asking: What it has heard of them since it asks all.
      asked: Those that it has asked since then.
      without: The rank that is missing while it fences the others, with
        the epoch.
      fenced_without: The same once they have refused earlier holders.
      pending: Orders whose outcome it does not know yet.
      unsure: Whether an order's answer was lost.
      fenced: Epoch in which all ranks refuse earlier holders.
    """

    fence: int
    own: str
    view: dict[str, ranks.Rank] | None = None
    asking: dict[str, ranks.Rank] = dataclasses.field(default_factory=dict)
    asked: list[str] = dataclasses.field(default_factory=list)
    without: tuple[int, int] | None = None
    fenced_without: tuple[int, int] | None = None
    pending: list[Sent] = dataclasses.field(default_factory=list)
    unsure: bool = False
    fencing: bool = False
    fenced: int | None = None
    stopped: bool = False
    wanted: relayout.DesiredLayout | None = None
    versions: int = 0


class World:
    """The group, its holders and the orders on their way."""

    def __init__(self, *, ranks: int, given: relayout_rules.Rules) -> None:
        self.rules = given
        self.engine = Engine(size=ranks)
        self.names = self.engine.names
        self.ranks = self.engine.ranks
        self.late: list[Sent] = []
        self.holders: list[Holder] = []
        self.frozen: str | None = None
        self.add_holder(Chooser([]))

    def act(self, chooser: Chooser) -> None:
        """Let one thing happen."""
        actions = [
            *[self.work] * 70,
            *[self.begin_step] * 4,
            *[self.carry_out_late] * 6,
            self.add_holder,
            self.restart_rank,
            self.freeze,
        ]
        chooser.pick(actions)(chooser)

    # The engine.

    def begin_step(self, _: Chooser) -> None:
        """Begin the group's next step, unless a rank holds it."""
        self.engine.begin_step()

    def restart_rank(self, chooser: Chooser) -> None:
        """Restart a rank; the group forms anew."""
        self.engine.restart(chooser.pick(self.names))

    def carry_out_late(self, chooser: Chooser) -> None:
        """Carry an order out whose answer its sender no longer awaits."""
        if self.late:
            sent = chooser.pick(self.late)
            self.late.remove(sent)
            self.engine.obey(sent)

    def freeze(self, chooser: Chooser) -> None:
        """Freeze a box, the rank on it included, or wake it.

        The rank steps on with the others, but nothing reaches it.
        """
        if self.frozen is not None:
            self.frozen = None
            return
        owns = [holder.own for holder in self.holders[-2:]]
        self.frozen = chooser.pick(owns)

    # The holders.

    def add_holder(self, chooser: Chooser) -> None:
        """Let another take the lease; the others may not know."""
        own = chooser.pick(self.names)
        fence = len(self.holders) + 1
        self.holders.append(Holder(fence=fence, own=own))

    def work(self, chooser: Chooser) -> None:
        """Let a holder, perhaps one that was overtaken, go on."""
        newest = self.holders[-1]
        holder = chooser.pick([newest, newest, newest, *self.holders[-3:]])
        if holder.stopped or holder.own == self.frozen:
            return
        if holder.pending:
            self._resolve(holder, chooser)
        elif holder.view is None:
            self._ask(holder, chooser)
        else:
            self._give_orders(holder)

    def _ask(self, holder: Holder, chooser: Chooser) -> None:
        """Hear one rank; with the last, know the group."""
        missing = [name for name in self.names if name not in holder.asked]
        name = chooser.pick(missing)
        holder.asked.append(name)
        if name != self.frozen:
            holder.asking[name] = self.engine.report(name)
        if len(missing) > 1:
            return
        heard, holder.asking, holder.asked = holder.asking, {}, []
        if not relayout.is_complete(heard):
            holder.wanted = None
            self._go_on_without(holder, heard)
            return
        holder.fenced_without = None
        epoch = heard[self.names[0]].epoch
        if self.rules.fences and holder.fenced != epoch:
            holder.wanted = None
            holder.fencing = True
            order = ranks.Fence(self._next_version(holder))
            self._send(holder, dict.fromkeys(self.names, order), epoch)
            return
        holder.view = heard
        rests = not any(r.armed or r.held is not None for r in heard.values())
        if holder.wanted is None and rests and holder.versions < MOST_WANTED:
            version = self._next_version(holder)
            holder.wanted = relayout.DesiredLayout(version, ())

    def _go_on_without(
        self, holder: Holder, heard: dict[str, ranks.Rank]
    ) -> None:
        """Let the group go on where a holder fell silent with its rank."""
        held = [item for item in heard.values() if item.held is not None]
        missing = relayout.missing_number(heard)
        if not held or missing is None:
            holder.fenced_without = None
            return
        epoch = held[0].epoch
        holder.fenced = None
        if self.rules.fences and holder.fenced_without != (missing, epoch):
            holder.fencing = True
            holder.without = (missing, epoch)
            order = ranks.Fence(self._next_version(holder))
            self._send(holder, dict.fromkeys(heard, order), epoch)
            return
        orders = self.rules.plan_without(heard, missing)
        holder.view = heard if orders else None
        self._send(holder, orders, epoch)
        holder.unsure = True

    def _next_version(self, holder: Holder) -> int:
        holder.versions += 1
        return holder.fence * VERSIONS_A_FENCE + holder.versions

    def _give_orders(self, holder: Holder) -> None:
        """Plan by what is known; without orders, look again."""
        view = holder.view
        orders = self.rules.plan(view, holder.wanted, holder.own)
        if not orders:
            holder.view = None
            wanted = holder.wanted
            if wanted and all(
                r.version == wanted.version for r in view.values()
            ):
                holder.wanted = None
            return
        self._send(holder, orders, view[self.names[0]].epoch)

    def _send(
        self, holder: Holder, orders: Mapping[str, ranks.Order], epoch: int
    ) -> None:
        holder.unsure = False
        holder.pending = [
            Sent(name, order, holder.fence, epoch)
            for name, order in orders.items()
        ]

    def _resolve(self, holder: Holder, chooser: Chooser) -> None:
        """Let one pending order arrive, late or now, answered or not."""
        sent = chooser.pick(holder.pending)
        holder.pending.remove(sent)
        fate = chooser.pick(["answered"] * 7 + ["no answer", "late", "lost"])
        outcome = OUTCOMES.UNKNOWN
        if sent.name == self.frozen:
            fate = "lost"
        if fate == "answered":
            outcome = self.engine.obey(sent)
        elif fate == "no answer":
            self.engine.obey(sent)
        elif fate == "late":
            self.late.append(sent)
        if outcome == OUTCOMES.FENCED:
            holder.stopped = True
            return
        holder.unsure |= outcome == OUTCOMES.UNKNOWN
        if holder.fencing:
            # One that does not take it may know an earlier holder's orders.
            holder.unsure |= outcome != OUTCOMES.TAKEN
        elif outcome != OUTCOMES.UNKNOWN:
            holder.view[sent.name] = self.engine.report(sent.name)
        if isinstance(sent.order, ranks.Prepare):
            if outcome == OUTCOMES.REFUSED:
                holder.wanted = None
            holder.unsure = True
        if not holder.pending:
            self._note_round(holder, sent.epoch)

    def _note_round(self, holder: Holder, epoch: int) -> None:
        """Take the outcomes of a whole round in."""
        if holder.fencing:
            holder.fencing = False
            if holder.without is None:
                holder.fenced = None if holder.unsure else epoch
            elif not holder.unsure:
                holder.fenced_without = holder.without
            holder.without = None
            holder.view = None
        elif holder.unsure or not relayout.is_complete(holder.view):
            holder.view = None

    def settle(self) -> bool:
        """Let one new holder work without faults; tell if all agree."""
        none = Chooser([])
        self.late.clear()
        self.frozen = None
        self.add_holder(none)
        self.holders = self.holders[-1:]
        for turn in range(TURNS_TO_SETTLE):
            self.work(none)
            if turn % TURNS_A_STEP == 0:
                self.engine.begin_step()
        versions = {item.version for item in self.ranks.values()}
        held = any(item.held is not None for item in self.ranks.values())
        return versions != {0} and len(versions) == 1 and not held
