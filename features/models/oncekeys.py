"""Callers that repeat keys, while homes move, lag, restart and are cut.

The ledger counts the runs of each key; more than one is the fault.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from typing import NamedTuple

from reelscale_core import once
from reelscale_core.state import Membership

from .chooser import Chooser

NAMES = ("u0", "u1", "u2", "u3")
# Clocks differ, and stay within what the rules allow for.
SKEWS = (0.0, 0.9, -0.9, 0.5)
LEAPS_S = (0.05, 0.5, 3.0, 60.0, 400.0)
PLAIN_KEY_S = once.MEMORY_S - 2 * once.SKEW_S


class DoubleRunError(AssertionError):
    """A key ran twice."""


class Pending(NamedTuple):
    """A key that waits for the answers of earlier homes."""

    home: str
    key: str
    attempt: str
    table: once.Table
    homes: tuple[str, ...]
    offset: int
    replies: dict[str, once.Reply]


class Rules:
    """The rules under test."""

    asks = True
    remembers_start = True


class NoAsk(Rules):
    """A new home that does not ask the homes before it."""

    asks = False


class NoStart(Rules):
    """A home that forgets that it has forgotten."""

    remembers_start = False


RULES = {
    "as built": Rules,
    "without asking earlier homes": NoAsk,
    "without refusing keys from before a restart": NoStart,
}


class World:
    """Homes, callers and the log of memberships."""

    def __init__(self, *, rules: Rules) -> None:
        self.rules = rules
        self.now = 10_000.0
        self.log = [Membership(1, NAMES[:3])]
        self.offsets = dict.fromkeys(NAMES, 1)
        self.tables = {name: self._table(name, 0.0) for name in NAMES}
        self.keys: list[str] = []
        self.made_at: dict[str, float] = {}
        self.sent: list[tuple[str, str]] = []
        self.pending: list[Pending] = []
        self.runs: dict[str, int] = {}
        self.attempts = 0
        self.refused = 0

    def act(self, chooser: Chooser) -> None:
        """Let one thing happen."""
        actions = [
            *[self.new_key] * 3,
            self.new_plain_key,
            *[self.repeat_key] * 5,
            *[self.arrive] * 8,
            *[self.reply] * 6,
            *[self.resolve] * 5,
            *[self.catch_up] * 3,
            *[self.clear] * 2,
            self.change,
            self.restart,
            self.wait,
        ]
        chooser.pick(actions)(chooser)

    def wall(self, name: str) -> float:
        """Return the clock of a box."""
        return self.now + SKEWS[NAMES.index(name)]

    def rows(self, name: str) -> tuple[Membership, ...]:
        """Return the memberships that a box has folded."""
        seen = [row for row in self.log if row.offset <= self.offsets[name]]
        return tuple(seen)

    def new_key(self, chooser: Chooser) -> None:
        """Let a caller make a key and send it."""
        skew = chooser.pick([0.0, 0.9, -0.9])
        millis = int((self.now + skew) * 1000)
        value = (millis << 80) | (7 << 76) | (2 << 62) | len(self.keys)
        key = str(uuid.UUID(int=value))
        self.keys.append(key)
        self.made_at[key] = self.now
        self._send(key, chooser)

    def new_plain_key(self, chooser: Chooser) -> None:
        """Let a caller make a key without a time in it."""
        key = f"order-{len(self.keys)}"
        self.keys.append(key)
        self.made_at[key] = self.now
        self._send(key, chooser)

    def repeat_key(self, chooser: Chooser) -> None:
        """Let a caller, or a balancer, send a key again.

        A key without a time is good only for the time of the memory.
        """
        keys = [key for key in self.keys if self._good(key)]
        if keys:
            self._send(chooser.pick(keys), chooser)

    def arrive(self, chooser: Chooser) -> None:
        """Let a request arrive at the home that its entry chose."""
        if not self.sent:
            return
        key, home = chooser.pick(self.sent)
        self.sent.remove((key, home))
        if not self._good(key):
            return
        self.attempts += 1
        attempt = f"a{self.attempts}"
        table = self.tables[home]
        judged = table.start(
            key,
            attempt,
            memberships=self.rows(home),
            wall=self.wall(home),
        )
        if isinstance(judged, once.Ask) and not self.rules.asks:
            judged = once.Run()
        if isinstance(judged, once.Run):
            self._run(key)
        elif isinstance(judged, once.Ask):
            row = Pending(
                home, key, attempt, table, judged.homes, judged.offset, {}
            )
            self.pending.append(row)
        else:
            self.refused += 1

    def reply(self, chooser: Chooser) -> None:
        """Let an earlier home answer, or stay silent."""
        if not self.pending:
            return
        row = chooser.pick(self.pending)
        left = [name for name in row.homes if name not in row.replies]
        if not left:
            return
        name = chooser.pick(left)
        silent = once.Reply(False, False, 0.0)
        heard = chooser.pick([True, True, True, False])
        row.replies[name] = self._answer(name, row) if heard else silent

    def resolve(self, chooser: Chooser) -> None:
        """Let a home decide on a key whose answers are all there."""
        ready = [
            row for row in self.pending if len(row.replies) == len(row.homes)
        ]
        if not ready:
            return
        row = chooser.pick(ready)
        self.pending.remove(row)
        if row.table is not self.tables[row.home]:
            return
        wall = self.wall(row.home)
        judged = row.table.resolve(
            row.key,
            row.attempt,
            memberships=self.rows(row.home),
            replies=row.replies,
            wall=wall,
        )
        if isinstance(judged, once.Run):
            self._run(row.key)
        else:
            self.refused += 1

    def catch_up(self, chooser: Chooser) -> None:
        """Let a box fold one more membership."""
        name = chooser.pick(NAMES)
        self.offsets[name] = min(self.offsets[name] + 1, len(self.log))

    def clear(self, chooser: Chooser) -> None:
        """Let a home ask another whether it has moved on."""
        name = chooser.pick(NAMES)
        other = chooser.pick(NAMES)
        rows = self.rows(name)
        if other == name or len(rows) < 2:
            return
        reply = self.tables[other].answer(
            "",
            offset=self.offsets[other],
            asker_offset=rows[-1].offset,
        )
        if reply.released:
            self.tables[name].clear(rows[-1].offset, other, self.wall(name))

    def change(self, chooser: Chooser) -> None:
        """Accept another membership."""
        old = self.log[-1].members
        name = chooser.pick(NAMES)
        members = tuple(sorted(set(old) ^ {name}))
        if members:
            self.log.append(Membership(len(self.log) + 1, members))

    def restart(self, chooser: Chooser) -> None:
        """Restart a home with an empty memory."""
        name = chooser.pick(NAMES)
        since = self.wall(name) if self.rules.remembers_start else 0.0
        self.tables[name] = self._table(name, since)

    def wait(self, chooser: Chooser) -> None:
        """Let time pass."""
        self.now += chooser.pick(LEAPS_S)

    def _good(self, key: str) -> bool:
        """Tell whether a key may still be used."""
        young = self.now - self.made_at[key] < PLAIN_KEY_S
        return young or once.stamp(key) is not None

    def _table(self, name: str, since: float) -> once.Table:
        return once.Table(name=name, since=since)

    def _send(self, key: str, chooser: Chooser) -> None:
        """Send a key to the home as an entry at some offset sees it."""
        at = chooser.pick([len(self.log), *range(1, len(self.log) + 1)])
        home = once.home(key, self.log[at - 1].members)
        self.sent.append((key, home))

    def _answer(self, name: str, row: Pending) -> once.Reply:
        return self.tables[name].answer(
            row.key,
            offset=self.offsets[name],
            asker_offset=row.offset,
        )

    def _run(self, key: str) -> None:
        self.runs[key] = self.runs.get(key, 0) + 1
        if self.runs[key] > 1:
            raise DoubleRunError(f"key {key} ran twice")
