"""Ranks in lock-step, holders of a lease and a network that fails.

Every event that the system must survive is an action: a message delivered
late, twice or never, a rank that loses everything, a holder that is
overtaken by another and goes on sending.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import NamedTuple

from reelscale_core import lockstep as rules
from reelscale_core import schedule

from .chooser import Chooser

# Near, so that a trace of some hundred events reaches the prepared step.
MARGIN_STEPS = 2


class Letter(NamedTuple):
    """An order on its way to a rank, or the reply on its way back."""

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
        """Take replies in."""
        return schedule.merge_replies(seen, replies)


class OldView(Rules):
    """A holder that goes on with what it heard before a loss."""

    def merge_replies(
        self,
        seen: Mapping[str, rules.Rank],
        replies: Mapping[str, rules.Rank | None],
    ) -> dict[str, rules.Rank]:
        """Take replies in, keeping all that was heard."""
        fresh = {name: rank for name, rank in replies.items() if rank}
        kept = {n: rank for n, rank in seen.items() if n not in replies}
        return {**kept, **fresh}


class NoFence(Rules):
    """A rank that takes orders of any holder."""

    def apply_order(
        self, rank: rules.Rank, order: rules.Order
    ) -> tuple[rules.Rank, bool]:
        """Apply an order, however old its fence."""
        fence = max(rank.fence, order.fence)
        return rules.apply_order(rank, order._replace(fence=fence))


class NoDecision(Rules):
    """Two phases: a rank goes on as soon as all have promised."""

    def apply_order(
        self, rank: rules.Rank, order: rules.Order
    ) -> tuple[rules.Rank, bool]:
        """Apply an order, a decision being a commit."""
        if isinstance(order, rules.Decide):
            order = rules.Commit(*order)
        return rules.apply_order(rank, order)


class NoHold(Rules):
    """A rank that has promised does not wait for the commit."""

    def layout_at(self, rank: rules.Rank, step: int) -> int:
        """Return the layout of a step, guessing the old one."""
        return rules.layout_at(rank, step) or rank.version


RULES = {
    "as built": Rules,
    "without fences": NoFence,
    "without the decision phase": NoDecision,
    "without holding": NoHold,
    "without asking again after a loss": OldView,
}


class MixedStepError(AssertionError):
    """A step ran on two layouts."""


class World:
    """The whole group and all who give it orders."""

    def __init__(self, *, ranks: int, given: Rules) -> None:
        self.rules = given
        self.names = [f"r{number}" for number in range(ranks)]
        self.members = frozenset(self.names)
        first = rules.Rank(version=1, staged=frozenset({1}))
        self.ranks = dict.fromkeys(self.names, first)
        self.done = dict.fromkeys(self.names, -1)
        self.wanted = 1
        self.fence = 1
        self.views: list[dict[str, rules.Rank]] = [{}]
        self.fences = [1]
        self.rounds = [0]
        self.replies: list[dict[str, rules.Rank]] = [{}]
        self.asked: list[list[str]] = [[]]
        self.letters: list[Letter] = []
        self.version_by_step: dict[int, int] = {}
        self.lost = 0

    def act(self, chooser: Chooser) -> None:
        """Let one thing happen."""
        actions = [
            *[self.step] * 20,
            *[self.deliver] * 40,
            *[self.plan] * 16,
            self.deliver_twice,
            self.drop,
            self.new_holder,
            self.lose_rank,
            self.want_next,
        ]
        chooser.pick(actions)(chooser)

    def step(self, chooser: Chooser) -> None:
        """Let a rank begin and end its next step, if it may."""
        name = chooser.pick(self.names)
        rank = self.ranks[name]
        step = rank.step + 1
        others = [self.done[n] for n in self.names if n != name]
        if rank.version == 0 or any(done < step - 1 for done in others):
            return
        version = self.rules.layout_at(rank, step)
        if version == 0:
            return
        ran = self.version_by_step.setdefault(step, version)
        if ran != version:
            raise MixedStepError(f"step {step} ran on {ran} and {version}")
        self.ranks[name] = rules.advance(rank, step)
        self.done[name] = step

    def plan(self, chooser: Chooser) -> None:
        """Let a holder, perhaps one that was overtaken, send orders."""
        newest = len(self.fences) - 1
        holder = chooser.pick([newest, newest, newest, max(0, newest - 1)])
        late = any(
            letter.holder == holder and letter.round == self.rounds[holder]
            for letter in self.letters
        )
        if late and chooser.pick([*[True] * 11, False]):
            return
        self.views[holder] = self.rules.merge_replies(
            self.views[holder],
            {n: self.replies[holder].get(n) for n in self.asked[holder]},
        )
        self.rounds[holder] += 1
        seq = self.rounds[holder]
        self.replies[holder] = {}
        plan = schedule.plan_round(
            self.views[holder],
            self.members,
            target=self.wanted,
            fence=self.fences[holder],
            seq=seq,
            margin=MARGIN_STEPS,
        )
        self.asked[holder] = list(plan.orders)
        for name, order in plan.orders.items():
            self.letters.append(Letter(holder, name, order, seq))

    def deliver(self, chooser: Chooser) -> None:
        """Deliver any letter, in any order."""
        if self.letters:
            first = self.letters[:1]
            letter = chooser.pick([*first * 2, *self.letters])
            self.letters.remove(letter)
            self.take(letter)

    def deliver_twice(self, chooser: Chooser) -> None:
        """Deliver a letter and keep a copy for later."""
        if self.letters:
            self.take(chooser.pick(self.letters))

    def drop(self, chooser: Chooser) -> None:
        """Lose a letter."""
        if self.letters:
            self.letters.remove(chooser.pick(self.letters))

    def take(self, letter: Letter) -> None:
        """Take a letter in, at a rank or at a holder."""
        if letter.reply is not None:
            if letter.round == self.rounds[letter.holder]:
                self.replies[letter.holder][letter.rank] = letter.reply
            return
        rank, _ = self.rules.apply_order(self.ranks[letter.rank], letter.order)
        self.ranks[letter.rank] = rank
        if rank.version and self.done[letter.rank] < rank.step:
            self.done[letter.rank] = rank.step
        self.letters.append(letter._replace(reply=rank))

    def new_holder(self, _: Chooser) -> None:
        """Let another take the lease while the last may still act."""
        self.fence += 1
        self.fences.append(self.fence)
        self.views.append({})
        self.rounds.append(0)
        self.replies.append({})
        self.asked.append([])

    def lose_rank(self, chooser: Chooser) -> None:
        """Restart a rank with nothing."""
        standing = [n for n in self.names if self.ranks[n].version]
        if len(standing) < 2:
            return
        name = chooser.pick(standing)
        self.lost += 1
        blank = rules.Rank(incarnation=f"lost-{self.lost}")
        if chooser.pick([True, False]):
            # The agent stays: its gate still knows the newest order.
            old = self.ranks[name]
            blank = blank._replace(fence=old.fence, seq=old.seq)
        else:
            # The agent is lost too, and with it all connections to it; a
            # new one learns the fence of the lease from the log.
            blank = blank._replace(fence=self.fence)
            self.letters = [
                letter
                for letter in self.letters
                if letter.rank != name or letter.reply is not None
            ]
        self.ranks[name] = blank
        self.done[name] = -1

    def want_next(self, _: Chooser) -> None:
        """Accept another layout."""
        if self.wanted < 6:
            self.wanted += 1

    def settle(self) -> bool:
        """Let one new holder work without faults; tell if all agree."""
        self.letters.clear()
        self.new_holder(Chooser([]))
        for rows in (
            self.fences,
            self.views,
            self.rounds,
            self.replies,
            self.asked,
        ):
            del rows[:-1]
        for _ in range(400):
            self.plan(Chooser([]))
            while self.letters:
                self.take(self.letters.pop(0))
            for number in range(len(self.names)):
                self.step(Chooser([number]))
        versions = {rank.version for rank in self.ranks.values()}
        return versions == {self.wanted}
