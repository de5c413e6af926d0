"""Model of layout changes: ranks in lock-step, lease holders and a network.

Actions are the faults to be tolerated: messages that are delayed, duplicated
or lost, ranks that lose their state, and superseded holders that keep sending.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

from reelscale_core import lockstep as rules
from reelscale_core import schedule

from .chooser import Chooser

# Small, so that short traces reach the prepared step.
MARGIN_STEPS = 2


class Message(NamedTuple):
    """An order in transit to a rank, or its reply."""

    holder: int
    rank: str
    order: rules.Order
    round: int
    reply: rules.Rank | None = None


class Rules:
    """The rules under test."""

    def apply_order(
        self, rank: rules.Rank, order: rules.Order
    ) -> tuple[rules.Rank, bool]:
        """Apply an order to a rank."""
        return rules.apply_order(rank, order)

    def layout_at(self, rank: rules.Rank, step: int) -> int:
        """Return the layout of a step, 0 to wait."""
        return rules.layout_at(rank, step)

    def merge_replies(
        self,
        seen: Mapping[str, rules.Rank],
        replies: Mapping[str, rules.Rank | None],
    ) -> dict[str, rules.Rank]:
        """Merge replies into a view."""
        return schedule.merge_replies(seen, replies)


class StaleView(Rules):
    """A holder that keeps states received before a loss."""

    def merge_replies(
        self,
        seen: Mapping[str, rules.Rank],
        replies: Mapping[str, rules.Rank | None],
    ) -> dict[str, rules.Rank]:
        """Merge replies and keep all earlier states."""
        fresh = {name: rank for name, rank in replies.items() if rank}
        kept = {n: rank for n, rank in seen.items() if n not in replies}
        return {**kept, **fresh}


class NoFence(Rules):
    """A rank that accepts orders of any holder."""

    def apply_order(
        self, rank: rules.Rank, order: rules.Order
    ) -> tuple[rules.Rank, bool]:
        """Apply an order regardless of its fence."""
        fence = max(rank.fence, order.fence)
        return rules.apply_order(rank, order._replace(fence=fence))


class NoDecision(Rules):
    """Two phases: a rank proceeds as soon as all have promised."""

    def apply_order(
        self, rank: rules.Rank, order: rules.Order
    ) -> tuple[rules.Rank, bool]:
        """Apply an order; a decision commits."""
        if isinstance(order, rules.Decide):
            order = rules.Commit(*order)
        return rules.apply_order(rank, order)


class NoHold(Rules):
    """A rank that does not wait for the commit."""

    def layout_at(self, rank: rules.Rank, step: int) -> int:
        """Return the layout of a step; the old one before the commit."""
        return rules.layout_at(rank, step) or rank.version


RULES = {
    "as built": Rules,
    "without fences": NoFence,
    "without the decision phase": NoDecision,
    "without holding": NoHold,
    "without asking again after a loss": StaleView,
}


class MixedStepError(AssertionError):
    """A step ran on two layouts."""


class World:
    """The group, its lease holders and the network."""

    def __init__(self, *, ranks: int, given: Rules) -> None:
        self.rules = given
        self.names = [f"r{number}" for number in range(ranks)]
        self.members = frozenset(self.names)
        first = rules.Rank(version=1, staged=frozenset({1}))
        self.ranks = dict.fromkeys(self.names, first)
        self.completed = dict.fromkeys(self.names, -1)
        self.target = 1
        self.fence = 1
        self.views: list[dict[str, rules.Rank]] = [{}]
        self.fences = [1]
        self.rounds = [0]
        self.replies: list[dict[str, rules.Rank]] = [{}]
        self.ordered: list[list[str]] = [[]]
        self.messages: list[Message] = []
        self.version_by_step: dict[int, int] = {}
        self.lost = 0

    def act(self, chooser: Chooser) -> None:
        """Perform one random action."""
        actions = [
            *[self.step] * 20,
            *[self.deliver] * 40,
            *[self.plan] * 16,
            self.deliver_twice,
            self.drop,
            self.new_holder,
            self.lose_rank,
            self.change_target,
        ]
        chooser.pick(actions)(chooser)

    def step(self, chooser: Chooser) -> None:
        """Run the next step of a rank, if allowed."""
        name = chooser.pick(self.names)
        rank = self.ranks[name]
        step = rank.step + 1
        others = [self.completed[n] for n in self.names if n != name]
        if rank.version == 0 or any(done < step - 1 for done in others):
            return
        version = self.rules.layout_at(rank, step)
        if version == 0:
            return
        ran = self.version_by_step.setdefault(step, version)
        if ran != version:
            raise MixedStepError(f"step {step} ran on {ran} and {version}")
        self.ranks[name] = rules.advance(rank, step)
        self.completed[name] = step

    def plan(self, chooser: Chooser) -> None:
        """Let a holder, possibly a superseded one, send orders."""
        newest = len(self.fences) - 1
        holder = chooser.pick([newest, newest, newest, max(0, newest - 1)])
        late = any(
            message.holder == holder and message.round == self.rounds[holder]
            for message in self.messages
        )
        if late and chooser.pick([*[True] * 11, False]):
            return
        self.views[holder] = self.rules.merge_replies(
            self.views[holder],
            {n: self.replies[holder].get(n) for n in self.ordered[holder]},
        )
        self.rounds[holder] += 1
        seq = self.rounds[holder]
        self.replies[holder] = {}
        plan = schedule.plan_round(
            self.views[holder],
            self.members,
            target=self.target,
            fence=self.fences[holder],
            seq=seq,
            margin=MARGIN_STEPS,
        )
        self.ordered[holder] = list(plan.orders)
        for name, order in plan.orders.items():
            self.messages.append(Message(holder, name, order, seq))

    def deliver(self, chooser: Chooser) -> None:
        """Deliver a message, in any order."""
        if self.messages:
            first = self.messages[:1]
            message = chooser.pick([*first * 2, *self.messages])
            self.messages.remove(message)
            self.process(message)

    def deliver_twice(self, chooser: Chooser) -> None:
        """Deliver a message and keep a duplicate in transit."""
        if self.messages:
            self.process(chooser.pick(self.messages))

    def drop(self, chooser: Chooser) -> None:
        """Lose a message."""
        if self.messages:
            self.messages.remove(chooser.pick(self.messages))

    def process(self, message: Message) -> None:
        """Process a message at a rank or a holder."""
        if message.reply is not None:
            if message.round == self.rounds[message.holder]:
                self.replies[message.holder][message.rank] = message.reply
            return
        rank, _ = self.rules.apply_order(
            self.ranks[message.rank], message.order
        )
        self.ranks[message.rank] = rank
        if rank.version and self.completed[message.rank] < rank.step:
            self.completed[message.rank] = rank.step
        self.messages.append(message._replace(reply=rank))

    def new_holder(self, _: Chooser) -> None:
        """Move the lease while the previous holder may still act."""
        self.fence += 1
        self.fences.append(self.fence)
        self.views.append({})
        self.rounds.append(0)
        self.replies.append({})
        self.ordered.append([])

    def lose_rank(self, chooser: Chooser) -> None:
        """Restart a rank without its state."""
        running = [n for n in self.names if self.ranks[n].version]
        if len(running) < 2:
            return
        name = chooser.pick(running)
        self.lost += 1
        empty = rules.Rank(incarnation=f"lost-{self.lost}")
        if chooser.pick([True, False]):
            # The agent survives and keeps the newest fence and number.
            old = self.ranks[name]
            empty = empty._replace(fence=old.fence, seq=old.seq)
        else:
            # The agent restarts too, which breaks its connections; it reads
            # the fence of the lease from the log.
            empty = empty._replace(fence=self.fence)
            self.messages = [
                message
                for message in self.messages
                if message.rank != name or message.reply is not None
            ]
        self.ranks[name] = empty
        self.completed[name] = -1

    def change_target(self, _: Chooser) -> None:
        """Configure another layout."""
        if self.target < 6:
            self.target += 1

    def settle(self) -> bool:
        """Run a new holder without faults; return whether ranks converge."""
        self.messages.clear()
        self.new_holder(Chooser([]))
        for rows in (
            self.fences,
            self.views,
            self.rounds,
            self.replies,
            self.ordered,
        ):
            del rows[:-1]
        for _ in range(400):
            self.plan(Chooser([]))
            while self.messages:
                self.process(self.messages.pop(0))
            for number in range(len(self.names)):
                self.step(Chooser([number]))
        versions = {rank.version for rank in self.ranks.values()}
        return versions == {self.target}
