"""One entry and one agent over a network that loses, doubles and delays.

The upstream's ledger is compared with what callers were told, and every
answer with the text that the upstream gave for it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from reelscale_core import answer, gate

from .chooser import Chooser

CHUNKS = 5


class ToldWrongError(AssertionError):
    """A caller was told not-run of a request that ran, or a wrong text."""


class Message(NamedTuple):
    """Something on its way between the entry and the agent."""

    kind: str
    attempt: str
    seq: int = 0
    chunks: tuple[bytes, ...] = ()
    count: int | None = None
    digest: str = ""
    incarnation: int = 0
    not_run: bool = False


class Rules:
    """The rules under test."""

    tombstones = True
    checks_incarnation = True
    assembles = True


class NoTombstone(Rules):
    """An agent that forgets what it refused."""

    tombstones = False


class NoIncarnation(Rules):
    """An entry that believes a restarted agent."""

    checks_incarnation = False


class NoAssembly(Rules):
    """An entry that takes chunks as they come."""

    assembles = False


RULES = {
    "as built": Rules,
    "without tombstones": NoTombstone,
    "without checking the incarnation": NoIncarnation,
    "without sequence numbers": NoAssembly,
}


class World:
    """The entry's attempts, the agent's gate and the upstream's ledger."""

    def __init__(self, *, rules: Rules) -> None:
        self.rules = rules
        self.gate = gate.Gate(capacity=3)
        self.incarnation = 1
        self.boxes: dict[str, answer.Outbox] = {}
        self.ledger: set[str] = set()
        self.net: list[Message] = []
        self.parts: dict[str, answer.Assembly] = {}
        self.texts: dict[str, list[bytes]] = {}
        self.sent_to: dict[str, int] = {}
        self.told: dict[str, str] = {}
        self.now = 0.0
        self.number = 0

    def act(self, chooser: Chooser) -> None:
        """Let one thing happen."""
        actions = [
            *[self.send] * 3,
            *[self.deliver] * 12,
            *[self.work] * 8,
            *[self.pull] * 6,
            self.cancel,
            self.cancel,
            self.double,
            self.drop,
            self.restart,
            self.leave,
        ]
        chooser.pick(actions)(chooser)
        self.check()

    def send(self, _: Chooser) -> None:
        """Send a new attempt."""
        self.number += 1
        attempt = f"a{self.number}"
        self.parts[attempt] = answer.Assembly(attempt=attempt)
        self.texts[attempt] = []
        self.sent_to[attempt] = self.incarnation
        self.net.append(Message("submit", attempt))

    def pull(self, chooser: Chooser) -> None:
        """Pull the next chunks of an attempt."""
        if self.parts:
            attempt = chooser.pick(sorted(self.parts))
            seq = self.parts[attempt].seq
            self.net.append(Message("pull", attempt, seq))

    def cancel(self, chooser: Chooser) -> None:
        """Ask the agent to kill an attempt whose verdict is lost."""
        if self.parts:
            attempt = chooser.pick(sorted(self.parts))
            self.net.append(Message("cancel", attempt))

    def double(self, chooser: Chooser) -> None:
        """Let the network double a message."""
        if self.net:
            self.net.append(chooser.pick(self.net))

    def drop(self, chooser: Chooser) -> None:
        """Let the network lose a message."""
        if self.net:
            self.net.remove(chooser.pick(self.net))

    def restart(self, chooser: Chooser) -> None:
        """Restart the agent with an empty memory.

        What was on its way to it dies with its connections.
        """
        self.gate = gate.Gate(capacity=3)
        self.boxes = {}
        self.incarnation += 1
        kinds = ("submit", "pull", "cancel")
        self.net = [item for item in self.net if item.kind not in kinds]

    def leave(self, chooser: Chooser) -> None:
        """Let the upstream leave or come back."""
        self.gate.leaving = chooser.pick([True, False])

    def work(self, chooser: Chooser) -> None:
        """Let the upstream give one chunk of an attempt."""
        open_boxes = [a for a, box in self.boxes.items() if not box.done]
        if not open_boxes:
            return
        attempt = chooser.pick(sorted(open_boxes))
        box = self.boxes[attempt]
        box.put(_chunk(attempt, box.count))
        if box.count == CHUNKS:
            box.finish()
            self.gate.finish(attempt, self.now)

    def deliver(self, chooser: Chooser) -> None:
        """Deliver any message, in any order."""
        if not self.net:
            return
        item = chooser.pick([*self.net[:1] * 2, *self.net])
        self.net.remove(item)
        match item.kind:
            case "submit":
                self._submit(item)
            case "pull":
                self._give(item)
            case "cancel":
                self._kill(item)
            case "verdict":
                self._hear(item)
            case "batch":
                self._take(item)

    def check(self) -> None:
        """Compare what callers were told with what ran."""
        for attempt, told in self.told.items():
            if told == "not-run" and attempt in self.ledger:
                raise ToldWrongError(f"{attempt} was told not-run, but ran")
        for attempt, part in self.parts.items():
            text = self.texts[attempt]
            right = [_chunk(attempt, n) for n in range(len(text))]
            if text != right or (part.complete and len(text) != CHUNKS):
                raise ToldWrongError(f"{attempt} was given {text}")

    def _submit(self, item: Message) -> None:
        if not self.rules.tombstones:
            self.gate._tombstones.clear()
        judged = self.gate.submit(item.attempt, "e1", self.now)
        if judged.admitted and not judged.repeated:
            self.ledger.add(item.attempt)
            self.boxes[item.attempt] = answer.Outbox(limit_bytes=100)
        if not judged.admitted and judged.code != "cancelled":
            self._verdict(item.attempt, not_run=True)

    def _kill(self, item: Message) -> None:
        not_run = self.gate.cancel(item.attempt, self.now)
        self._verdict(item.attempt, not_run=not_run)

    def _verdict(self, attempt: str, *, not_run: bool) -> None:
        self.net.append(
            Message(
                "verdict",
                attempt,
                incarnation=self.incarnation,
                not_run=not_run,
            )
        )

    def _hear(self, item: Message) -> None:
        same = item.incarnation == self.sent_to[item.attempt]
        believed = same or not self.rules.checks_incarnation
        if item.not_run and believed:
            self.told[item.attempt] = "not-run"

    def _give(self, item: Message) -> None:
        box = self.boxes.get(item.attempt)
        if box is None:
            return
        try:
            chunks = tuple(box.read(item.seq, 8))
        except IndexError:
            return
        done = box.done and item.seq + len(chunks) == box.count
        self.net.append(
            Message(
                "batch",
                item.attempt,
                item.seq,
                chunks,
                box.count if done else None,
                box.digest() if done else "",
            )
        )

    def _take(self, item: Message) -> None:
        part = self.parts[item.attempt]
        fragment = answer.Fragment(*item[1:6])
        new = part.add(fragment)
        if not self.rules.assembles:
            new = list(item.chunks)
        self.texts[item.attempt] += new


def _chunk(attempt: str, number: int) -> bytes:
    return f"{attempt}:{number} ".encode()
