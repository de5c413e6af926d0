"""Errors with a stable code, a processing step and a peer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

OUTCOME_RAN = "ran"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"


class Fault(NamedTuple):
    """A fault in a document.

    Attributes:
      path: JSON-pointer-like path in the document; "/" for its root.
      expected: Description of the expected value.
    """

    path: str
    expected: str


class CodedError(Exception):
    """An error that programs identify by its code.

    Attributes:
      code: Stable, kebab-case name of the error.
      step: The processing step that failed, such as "route".
      peer: Name or address of the peer, empty if none.
      detail: Description for operators and callers.
      status: HTTP status for the caller.
      retry_after_s: Seconds after which a retry makes sense.
      outcome: Whether the request ran; one of the OUTCOME constants.
      faults: All faults of a refused document.
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
        location = f" at {self.peer}" if self.peer else ""
        lines = [f"{self.code} in {self.step}{location}: {self.detail}"]
        lines += [f"{f.path}: expected {f.expected}" for f in self.faults]
        return "; ".join(lines)
