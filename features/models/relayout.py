"""Model of a group whose ranks change layouts, its holders and their orders.

Guards against a step on two layouts.  An order may be lost, lose its answer or
be carried out late; a holder may be superseded and continue, or stop
responding together with its rank; a rank may restart, and the group forms
anew.
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

# Distance of the versions of one holder from those of the next.
VERSIONS_PER_FENCE = 1000
# Versions after which a holder requests no further layout.
MAX_VERSIONS = 4
# Actions of a holder per step, without faults.
ACTIONS_PER_STEP = 12
# Actions within which a holder completes a change without faults.
ACTIONS_TO_SETTLE = 400
OUTCOMES = ranks.Outcome
RULES = relayout_rules.RULES


@dataclasses.dataclass(kw_only=True)
class Holder:
    """A current or previous holder of the lease.

    Attributes:
      view: Reports of the ranks that its orders are based on.
      reports: Reports received in the current round of queries.
      queried: Ranks queried in the current round.
      without: The missing rank, with the epoch, while it fences the others.
      fenced_without: The same once the others are fenced.
      pending: Orders without an outcome yet.
      unsure: Whether the answer to an order was lost.
      fenced: Epoch in which all ranks are fenced.
    """

    fence: int
    local: str
    view: dict[str, ranks.Rank] | None = None
    reports: dict[str, ranks.Rank] = dataclasses.field(default_factory=dict)
    queried: list[str] = dataclasses.field(default_factory=list)
    without: tuple[int, int] | None = None
    fenced_without: tuple[int, int] | None = None
    pending: list[Sent] = dataclasses.field(default_factory=list)
    unsure: bool = False
    fencing: bool = False
    fenced: int | None = None
    stopped: bool = False
    desired: relayout.DesiredLayout | None = None
    versions: int = 0


class World:
    """The group, its holders and the orders in flight."""

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
        """Carry out one random action."""
        actions = [
            *[self.work] * 70,
            *[self.begin_step] * 4,
            *[self.carry_out_late] * 6,
            self.add_holder,
            self.restart_rank,
            self.freeze,
        ]
        chooser.pick(actions)(chooser)

    def begin_step(self, _: Chooser) -> None:
        """Begin the group's next step, unless a rank holds it."""
        self.engine.begin_step()

    def restart_rank(self, chooser: Chooser) -> None:
        """Restart a rank; the group forms anew."""
        self.engine.restart(chooser.pick(self.names))

    def carry_out_late(self, chooser: Chooser) -> None:
        """Carry out an order that its sender has timed out."""
        if self.late:
            sent = chooser.pick(self.late)
            self.late.remove(sent)
            self.engine.carry_out(sent)

    def freeze(self, chooser: Chooser) -> None:
        """Freeze the network of a box and its rank, or restore it.

        The rank continues to step with the others, but cannot be reached.
        """
        if self.frozen is not None:
            self.frozen = None
            return
        local_ranks = [holder.local for holder in self.holders[-2:]]
        self.frozen = chooser.pick(local_ranks)

    def add_holder(self, chooser: Chooser) -> None:
        """Add a holder; earlier ones may not know that they are superseded."""
        local = chooser.pick(self.names)
        fence = len(self.holders) + 1
        self.holders.append(Holder(fence=fence, local=local))

    def work(self, chooser: Chooser) -> None:
        """Let a holder, which may be superseded, take its next action."""
        newest = self.holders[-1]
        holder = chooser.pick([newest, newest, newest, *self.holders[-3:]])
        if holder.stopped or holder.local == self.frozen:
            return
        if holder.pending:
            self._resolve(holder, chooser)
        elif holder.view is None:
            self._query(holder, chooser)
        else:
            self._send_next_orders(holder)

    def _query(self, holder: Holder, chooser: Chooser) -> None:
        """Query one rank; after the last one, act on the reports."""
        missing = [name for name in self.names if name not in holder.queried]
        name = chooser.pick(missing)
        holder.queried.append(name)
        if name != self.frozen:
            holder.reports[name] = self.engine.report(name)
        if len(missing) > 1:
            return
        reports, holder.reports, holder.queried = holder.reports, {}, []
        if not relayout.is_complete(reports):
            holder.desired = None
            self._release_without(holder, reports)
            return
        holder.fenced_without = None
        epoch = reports[self.names[0]].epoch
        if self.rules.fences and holder.fenced != epoch:
            holder.desired = None
            holder.fencing = True
            order = ranks.Fence(self._next_version(holder))
            self._send(holder, dict.fromkeys(self.names, order), epoch)
            return
        holder.view = reports
        idle = not any(r.armed or r.held is not None for r in reports.values())
        if holder.desired is None and idle and holder.versions < MAX_VERSIONS:
            version = self._next_version(holder)
            holder.desired = relayout.DesiredLayout(version, ())

    def _release_without(
        self, holder: Holder, reports: dict[str, ranks.Rank]
    ) -> None:
        """Release a group whose holder stopped responding with its rank."""
        held = [item for item in reports.values() if item.held is not None]
        missing = relayout.missing_number(reports)
        if not held or missing is None:
            holder.fenced_without = None
            return
        epoch = held[0].epoch
        holder.fenced = None
        if self.rules.fences and holder.fenced_without != (missing, epoch):
            holder.fencing = True
            holder.without = (missing, epoch)
            order = ranks.Fence(self._next_version(holder))
            self._send(holder, dict.fromkeys(reports, order), epoch)
            return
        orders = self.rules.plan_without(reports, missing)
        holder.view = reports if orders else None
        self._send(holder, orders, epoch)
        holder.unsure = True

    def _next_version(self, holder: Holder) -> int:
        holder.versions += 1
        return holder.fence * VERSIONS_PER_FENCE + holder.versions

    def _send_next_orders(self, holder: Holder) -> None:
        """Send the next orders; without any, query the ranks again."""
        view = holder.view
        orders = self.rules.plan(view, holder.desired, holder.local)
        if not orders:
            holder.view = None
            desired = holder.desired
            if desired and all(
                r.version == desired.version for r in view.values()
            ):
                holder.desired = None
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
        """Deliver one pending order now or late, answered or not."""
        sent = chooser.pick(holder.pending)
        holder.pending.remove(sent)
        delivery = chooser.pick(
            ["answered"] * 7 + ["no answer", "late", "lost"]
        )
        outcome = OUTCOMES.UNKNOWN
        if sent.name == self.frozen:
            delivery = "lost"
        if delivery == "answered":
            outcome = self.engine.carry_out(sent)
        elif delivery == "no answer":
            self.engine.carry_out(sent)
        elif delivery == "late":
            self.late.append(sent)
        if outcome == OUTCOMES.FENCED:
            holder.stopped = True
            return
        holder.unsure |= outcome == OUTCOMES.UNKNOWN
        if holder.fencing:
            # A rank that refuses may still obey an earlier holder.
            holder.unsure |= outcome != OUTCOMES.TAKEN
        elif outcome != OUTCOMES.UNKNOWN:
            holder.view[sent.name] = self.engine.report(sent.name)
        if isinstance(sent.order, ranks.Prepare):
            if outcome == OUTCOMES.REFUSED:
                holder.desired = None
            holder.unsure = True
        if not holder.pending:
            self._end_round(holder, sent.epoch)

    def _end_round(self, holder: Holder, epoch: int) -> None:
        """Apply the outcomes of a round of orders."""
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
        """Run a new holder without faults; return whether all ranks agree."""
        no_choice = Chooser([])
        self.late.clear()
        self.frozen = None
        self.add_holder(no_choice)
        self.holders = self.holders[-1:]
        for number in range(ACTIONS_TO_SETTLE):
            self.work(no_choice)
            if number % ACTIONS_PER_STEP == 0:
                self.engine.begin_step()
        versions = {item.version for item in self.ranks.values()}
        held = any(item.held is not None for item in self.ranks.values())
        return versions != {0} and len(versions) == 1 and not held
