"""Model of one entry and one agent over an unreliable network.

Messages may be lost, duplicated and delayed.  Outcomes reported to callers are
checked against the upstream's ledger, and answers against the chunks that the
upstream produced.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from reelscale_core import answer, gate

from .chooser import Chooser

CHUNKS = 5


class WrongOutcomeError(AssertionError):
    """A request that ran was reported as not run, or an answer is wrong."""


class Message(NamedTuple):
    """A message in transit between the entry and the agent."""

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
    """An agent without tombstones."""

    tombstones = False


class NoIncarnation(Rules):
    """An entry that ignores the incarnation of the agent."""

    checks_incarnation = False


class NoAssembly(Rules):
    """An entry that ignores sequence numbers."""

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
        self.outboxes: dict[str, answer.Outbox] = {}
        self.ledger: set[str] = set()
        self.network: list[Message] = []
        self.assemblies: dict[str, answer.Assembly] = {}
        self.chunks: dict[str, list[bytes]] = {}
        self.sent_to: dict[str, int] = {}
        self.outcomes: dict[str, str] = {}
        self.now = 0.0
        self.number = 0

    def act(self, chooser: Chooser) -> None:
        """Perform one random action."""
        actions = [
            *[self.send] * 3,
            *[self.deliver] * 12,
            *[self.work] * 8,
            *[self.pull] * 6,
            self.cancel,
            self.cancel,
            self.duplicate,
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
        self.assemblies[attempt] = answer.Assembly(attempt=attempt)
        self.chunks[attempt] = []
        self.sent_to[attempt] = self.incarnation
        self.network.append(Message("submit", attempt))

    def pull(self, chooser: Chooser) -> None:
        """Pull the next chunks of an attempt."""
        if self.assemblies:
            attempt = chooser.pick(sorted(self.assemblies))
            seq = self.assemblies[attempt].seq
            self.network.append(Message("pull", attempt, seq))

    def cancel(self, chooser: Chooser) -> None:
        """Ask the agent to cancel an attempt of unknown outcome."""
        if self.assemblies:
            attempt = chooser.pick(sorted(self.assemblies))
            self.network.append(Message("cancel", attempt))

    def duplicate(self, chooser: Chooser) -> None:
        """Duplicate a message in transit."""
        if self.network:
            self.network.append(chooser.pick(self.network))

    def drop(self, chooser: Chooser) -> None:
        """Lose a message in transit."""
        if self.network:
            self.network.remove(chooser.pick(self.network))

    def restart(self, chooser: Chooser) -> None:
        """Restart the agent with empty memory.

        Messages in transit to it are lost with its connections.
        """
        self.gate = gate.Gate(capacity=3)
        self.outboxes = {}
        self.incarnation += 1
        kinds = ("submit", "pull", "cancel")
        self.network = [
            message for message in self.network if message.kind not in kinds
        ]

    def leave(self, chooser: Chooser) -> None:
        """Start or end the departure of the upstream."""
        self.gate.leaving = chooser.pick([True, False])

    def work(self, chooser: Chooser) -> None:
        """Produce one chunk of an attempt."""
        open_outboxes = [
            a for a, outbox in self.outboxes.items() if not outbox.done
        ]
        if not open_outboxes:
            return
        attempt = chooser.pick(sorted(open_outboxes))
        outbox = self.outboxes[attempt]
        outbox.put(_chunk(attempt, outbox.count))
        if outbox.count == CHUNKS:
            outbox.finish()
            self.gate.finish(attempt, self.now)

    def deliver(self, chooser: Chooser) -> None:
        """Deliver any message, in any order."""
        if not self.network:
            return
        message = chooser.pick([*self.network[:1] * 2, *self.network])
        self.network.remove(message)
        match message.kind:
            case "submit":
                self._submit(message)
            case "pull":
                self._pull_batch(message)
            case "cancel":
                self._cancel(message)
            case "verdict":
                self._apply_verdict(message)
            case "batch":
                self._apply_batch(message)

    def check(self) -> None:
        """Check the outcomes and answers against what ran."""
        for attempt, outcome in self.outcomes.items():
            if outcome == "not-run" and attempt in self.ledger:
                raise WrongOutcomeError(
                    f"{attempt} was reported as not run, but ran"
                )
        for attempt, assembly in self.assemblies.items():
            chunks = self.chunks[attempt]
            expected = [_chunk(attempt, n) for n in range(len(chunks))]
            if chunks != expected or (
                assembly.complete and len(chunks) != CHUNKS
            ):
                raise WrongOutcomeError(f"wrong answer of {attempt}: {chunks}")

    def _submit(self, message: Message) -> None:
        if not self.rules.tombstones:
            self.gate._tombstones.clear()
        decision = self.gate.submit(message.attempt, "e1", self.now)
        if decision.admitted and not decision.repeated:
            self.ledger.add(message.attempt)
            self.outboxes[message.attempt] = answer.Outbox(limit_bytes=100)
        if not decision.admitted and decision.code != "cancelled":
            self._verdict(message.attempt, not_run=True)

    def _cancel(self, message: Message) -> None:
        not_run = self.gate.cancel(message.attempt, self.now)
        self._verdict(message.attempt, not_run=not_run)

    def _verdict(self, attempt: str, *, not_run: bool) -> None:
        self.network.append(
            Message(
                "verdict",
                attempt,
                incarnation=self.incarnation,
                not_run=not_run,
            )
        )

    def _apply_verdict(self, message: Message) -> None:
        same = message.incarnation == self.sent_to[message.attempt]
        accepted = same or not self.rules.checks_incarnation
        if message.not_run and accepted:
            self.outcomes[message.attempt] = "not-run"

    def _pull_batch(self, message: Message) -> None:
        outbox = self.outboxes.get(message.attempt)
        if outbox is None:
            return
        try:
            chunks = tuple(outbox.read(message.seq, 8))
        except IndexError:
            return
        done = outbox.done and message.seq + len(chunks) == outbox.count
        self.network.append(
            Message(
                "batch",
                message.attempt,
                message.seq,
                chunks,
                outbox.count if done else None,
                outbox.digest() if done else "",
            )
        )

    def _apply_batch(self, message: Message) -> None:
        assembly = self.assemblies[message.attempt]
        fragment = answer.Fragment(*message[1:6])
        new = assembly.add(fragment)
        if not self.rules.assembles:
            new = list(message.chunks)
        self.chunks[message.attempt] += new


def _chunk(attempt: str, number: int) -> bytes:
    return f"{attempt}:{number} ".encode()
