"""Errors with a stable code, the step and the peer at which they arose."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

OUTCOME_RAN = "ran"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"


class Fault(NamedTuple):
    """One thing wrong in a document, with its place.

    Attributes:
      path: JSON-pointer-like path in the document, "/" for its root.
      expected: What was expected there, in words.
    """

    path: str
    expected: str


class CodedError(Exception):
    """An error that a program can tell by its code.

    Attributes:
      code: Stable, kebab-case name of the error.
      step: The step of the work at which it arose, such as "route".
      peer: The peer concerned, empty when there is none.
      detail: A sentence for people.
      status: The HTTP status that a caller sees.
      retry_after_s: Seconds after which asking again makes sense.
      outcome: Whether the request ran; one of the OUTCOME constants.
      faults: Everything wrong, where a document was refused.
    """

    def __init__(
        self,
        code: str,
        *,
        step: str,
        peer: str = "",
        detail: str = "",
        status: int = 500,
        retry_after_s: float | None = None,
        outcome: str = OUTCOME_NOT_RUN,
        faults: tuple[Fault, ...] = (),
    ) -> None:
        super().__init__(code, step, peer, detail)
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail
        self.status = status
        self.retry_after_s = retry_after_s
        self.outcome = outcome
        self.faults = faults

    def __str__(self) -> str:
        """Return one line: code, step, peer and detail."""
        place = f" at {self.peer}" if self.peer else ""
        lines = [f"{self.code} in {self.step}{place}: {self.detail}"]
        lines += [f"{f.path}: expected {f.expected}" for f in self.faults]
        return "; ".join(lines)
