"""Model of repeated idempotency keys while their owners change and restart.

Guards against a key that runs twice: the world counts the runs of each key.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from typing import NamedTuple

from reelscale_core import idempotency
from reelscale_core.state import Membership

from .chooser import Chooser

NAMES = ("u0", "u1", "u2", "u3")
# Offsets of wall clocks, within MAX_CLOCK_SKEW_S of each other.
SKEWS = (0.0, 0.9, -0.9, 0.5)
LEAPS_S = (0.05, 0.5, 3.0, 60.0, 400.0)
PLAIN_KEY_S = idempotency.RETENTION_S - 2 * idempotency.MAX_CLOCK_SKEW_S


class DoubleRunError(AssertionError):
    """A key ran twice."""


class Pending(NamedTuple):
    """A key that waits for the answers of previous owners."""

    owner: str
    key: str
    attempt: str
    table: idempotency.Table
    owners: tuple[str, ...]
    offset: int
    replies: dict[str, idempotency.Reply]


class Rules:
    """The rules under test."""

    asks = True
    remembers_start = True


class NoAsk(Rules):
    """A new owner that does not ask previous owners."""

    asks = False


class NoStart(Rules):
    """An owner that claims complete records after a restart."""

    remembers_start = False


RULES = {
    "as built": Rules,
    "without asking earlier homes": NoAsk,
    "without refusing keys from before a restart": NoStart,
}


class World:
    """Owners, callers and the log of memberships."""

    def __init__(self, *, rules: Rules) -> None:
        self.rules = rules
        self.now = 10_000.0
        self.log = [Membership(1, NAMES[:3])]
        self.offsets = dict.fromkeys(NAMES, 1)
        self.tables = {name: self._table(name, 0.0) for name in NAMES}
        self.keys: list[str] = []
        self.created_at: dict[str, float] = {}
        self.sent: list[tuple[str, str]] = []
        self.pending: list[Pending] = []
        self.runs: dict[str, int] = {}
        self.attempts = 0
        self.refused = 0

    def act(self, chooser: Chooser) -> None:
        """Carry out one random action."""
        actions = [
            *[self.new_key] * 3,
            self.new_plain_key,
            *[self.repeat_key] * 5,
            *[self.arrive] * 8,
            *[self.reply] * 6,
            *[self.resolve] * 5,
            *[self.catch_up] * 3,
            *[self.ask_release] * 2,
            self.change,
            self.restart,
            self.wait,
        ]
        chooser.pick(actions)(chooser)

    def wall(self, name: str) -> float:
        """Return the wall clock of a box."""
        return self.now + SKEWS[NAMES.index(name)]

    def rows(self, name: str) -> tuple[Membership, ...]:
        """Return the memberships that a box has folded."""
        seen = [row for row in self.log if row.offset <= self.offsets[name]]
        return tuple(seen)

    def new_key(self, chooser: Chooser) -> None:
        """Send a new key with a timestamp."""
        skew = chooser.pick([0.0, 0.9, -0.9])
        millis = int((self.now + skew) * 1000)
        value = (millis << 80) | (7 << 76) | (2 << 62) | len(self.keys)
        key = str(uuid.UUID(int=value))
        self.keys.append(key)
        self.created_at[key] = self.now
        self._send(key, chooser)

    def new_plain_key(self, chooser: Chooser) -> None:
        """Send a new key without a timestamp."""
        key = f"order-{len(self.keys)}"
        self.keys.append(key)
        self.created_at[key] = self.now
        self._send(key, chooser)

    def repeat_key(self, chooser: Chooser) -> None:
        """Send a key again, as a caller or a load balancer may.

        A key without a timestamp may be reused only within the retention.
        """
        keys = [key for key in self.keys if self._is_valid(key)]
        if keys:
            self._send(chooser.pick(keys), chooser)

    def arrive(self, chooser: Chooser) -> None:
        """Deliver a request to the owner that its entry chose."""
        if not self.sent:
            return
        key, owner = chooser.pick(self.sent)
        self.sent.remove((key, owner))
        if not self._is_valid(key):
            return
        self.attempts += 1
        attempt = f"a{self.attempts}"
        table = self.tables[owner]
        decision = table.start(
            key,
            attempt,
            memberships=self.rows(owner),
            wall=self.wall(owner),
        )
        if isinstance(decision, idempotency.Ask) and not self.rules.asks:
            decision = idempotency.Run()
        if isinstance(decision, idempotency.Run):
            self._run(key)
        elif isinstance(decision, idempotency.Ask):
            row = Pending(
                owner,
                key,
                attempt,
                table,
                decision.owners,
                decision.offset,
                {},
            )
            self.pending.append(row)
        else:
            self.refused += 1

    def reply(self, chooser: Chooser) -> None:
        """Receive a previous owner's answer, or time out."""
        if not self.pending:
            return
        row = chooser.pick(self.pending)
        waiting = [name for name in row.owners if name not in row.replies]
        if not waiting:
            return
        name = chooser.pick(waiting)
        no_answer = idempotency.Reply(False, False, 0.0)
        answered = chooser.pick([True, True, True, False])
        row.replies[name] = self._answer(name, row) if answered else no_answer

    def resolve(self, chooser: Chooser) -> None:
        """Decide on a key once all previous owners have answered."""
        ready = [
            row for row in self.pending if len(row.replies) == len(row.owners)
        ]
        if not ready:
            return
        row = chooser.pick(ready)
        self.pending.remove(row)
        if row.table is not self.tables[row.owner]:
            return
        wall = self.wall(row.owner)
        decision = row.table.resolve(
            row.key,
            row.attempt,
            memberships=self.rows(row.owner),
            replies=row.replies,
            wall=wall,
        )
        if isinstance(decision, idempotency.Run):
            self._run(row.key)
        else:
            self.refused += 1

    def catch_up(self, chooser: Chooser) -> None:
        """Fold one more membership at a box."""
        name = chooser.pick(NAMES)
        self.offsets[name] = min(self.offsets[name] + 1, len(self.log))

    def ask_release(self, chooser: Chooser) -> None:
        """Ask another owner whether it has released its keys."""
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
            self.tables[name].record_released(
                rows[-1].offset, other, self.wall(name)
            )

    def change(self, chooser: Chooser) -> None:
        """Append a membership to the log."""
        old = self.log[-1].members
        name = chooser.pick(NAMES)
        members = tuple(sorted(set(old) ^ {name}))
        if members:
            self.log.append(Membership(len(self.log) + 1, members))

    def restart(self, chooser: Chooser) -> None:
        """Restart an owner without records."""
        name = chooser.pick(NAMES)
        since = self.wall(name) if self.rules.remembers_start else 0.0
        self.tables[name] = self._table(name, since)

    def wait(self, chooser: Chooser) -> None:
        """Advance the clock."""
        self.now += chooser.pick(LEAPS_S)

    def _is_valid(self, key: str) -> bool:
        """Return whether a key may still be used."""
        recent = self.now - self.created_at[key] < PLAIN_KEY_S
        return recent or idempotency.timestamp_of(key) is not None

    def _table(self, name: str, since: float) -> idempotency.Table:
        return idempotency.Table(name=name, since=since)

    def _send(self, key: str, chooser: Chooser) -> None:
        """Send a key to its owner as of an entry's offset."""
        at = chooser.pick([len(self.log), *range(1, len(self.log) + 1)])
        owner = idempotency.owner_of(key, self.log[at - 1].members)
        self.sent.append((key, owner))

    def _answer(self, name: str, row: Pending) -> idempotency.Reply:
        return self.tables[name].answer(
            row.key,
            offset=self.offsets[name],
            asker_offset=row.offset,
        )

    def _run(self, key: str) -> None:
        self.runs[key] = self.runs.get(key, 0) + 1
        if self.runs[key] > 1:
            raise DoubleRunError(f"key {key} ran twice")
