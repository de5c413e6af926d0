"""Plays one attempt up to a given answer, and records what the entry does."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types
from typing import Any, NamedTuple

from reelscale_core import announcement, clock
from reelscale_daemon.adapters import base
from reelscale_daemon.filters import attempt as attempts
from reelscale_daemon.filters import call, direct_answer
from reelscale_wire.gen import ttypes

REQUEST_ID = "r1"
# Id of a request that the connection has carried before.
EARLIER_ID = "r-earlier"
UPSTREAM = announcement.Announcement(
    name="w1", target="push", address="10.0.0.1:80", hall="a", slots=6
)


class Recorder:
    """Records the calls of its methods.

    Attributes:
      calls: Name and last argument of each call.
    """

    def __init__(self, calls: list[tuple[str, Any]]) -> None:
        self.calls = calls

    def __getattr__(self, name: str) -> Any:
        """Return a method that records its call."""

        def record(*args: Any, **_: Any) -> None:
            self.calls.append((name, args[-1] if args else None))

        return record


class Connection:
    """A connection on which answers have arrived."""

    label = "10.0.0.9:1-10.0.0.1:80"
    age_s = 1.0
    ended_by_close = False

    def __init__(self, heads: list[base.AnswerHead], exchanges: int) -> None:
        self.used = exchanges
        self.aborted = False
        self._heads = list(heads)
        self._pieces = [b"body"]

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request was sent on it."""
        return request_id in (REQUEST_ID, EARLIER_ID)

    async def head(self) -> base.AnswerHead:
        """Return the head of the next answer."""
        return self._heads.pop(0)

    async def skip_answer(self) -> None:
        """Do nothing, as the next head is that of the next answer."""

    async def drain(self) -> None:
        """Drop the body."""
        self._pieces.clear()

    async def chunk(self) -> bytes | None:
        """Return the body, then its end."""
        return self._pieces.pop() if self._pieces else None

    def abort(self) -> None:
        """Record that the connection was reset."""
        self.aborted = True


class Out:
    """The answer to the caller."""

    begun = False

    def __init__(self) -> None:
        self.status = 0

    def begin(self, status: int, _headers: Any, **_: Any) -> None:
        """Record the status."""
        self.status = status

    def write(self, _pieces: Any) -> None:
        """Ignore the body."""

    def finish(self) -> None:
        """Ignore the end."""


class Played(NamedTuple):
    """What an entry did with an answer.

    Attributes:
      recorded: Names of the facts that it recorded.
      lost: The error that ended the attempt, if any.
      status: Status that its caller received, 0 for none.
      limits: Rate limits that it recorded.
      aborted: Whether it reset the connection.
    """

    recorded: set[str]
    lost: attempts.AttemptLostError | None
    status: int
    limits: list[base.RateLimit]
    aborted: bool


def play(
    *heads: base.AnswerHead, exchanges: int, idempotent: bool = False
) -> Played:
    """Have an entry read an answer.

    Args:
      heads: The heads of the answers that arrive.
      exchanges: Requests that the connection has carried, this one included.
      idempotent: Whether the request may run twice.
    """
    calls: list[tuple[str, Any]] = []
    recorder = Recorder(calls)
    context = types.SimpleNamespace(
        clock=clock.FakeClock(),
        dialect=types.SimpleNamespace(answer=lambda given: given),
        membership=recorder,
        outages=recorder,
        suspects=recorder,
        record_success=recorder.record_success,
        record_failure=recorder.record_failure,
    )
    request = types.SimpleNamespace(
        id=REQUEST_ID,
        idempotent=idempotent,
        stream=False,
        target=UPSTREAM.target,
        view=None,
        first_byte_at=None,
        resume_after=None,
    )
    conn, out = Connection(heads, exchanges), Out()
    active = direct_answer.ActiveAttempt(
        request=request, context=context, out=out, conn=conn, upstream=UPSTREAM
    )
    running, lost = direct_answer.relay(active), None
    try:
        running.send(None)
    except StopIteration:
        pass
    except attempts.AttemptLostError as error:
        lost = error
    limits = [value for name, value in calls if name == "record_rate_limit"]
    names = {name for name, _ in calls}
    return Played(names, lost, out.status, limits, conn.aborted)


def limits_recorded(
    head: base.AnswerHead, exchanges: int
) -> list[base.RateLimit]:
    """Return the rate limits that an entry records of an answer."""
    return play(head, exchanges=exchanges).limits


class Agent:
    """An agent that admits every attempt and answers pulls with one batch."""

    def __init__(self, batch: ttypes.Batch) -> None:
        self._batch = batch

    async def call(self, method: str, _message: Any, **_: Any) -> Any:
        """Return the answer to a call."""
        if method == "pull":
            return self._batch
        return ttypes.Verdict(kind=ttypes.VerdictKind.ADMITTED)


def pull(batch: ttypes.Batch, *, attempt: str) -> attempts.AttemptLostError:
    """Return the error that ends an attempt whose pull gets a batch."""
    recorder = Recorder([])
    agent = Agent(batch)
    context = types.SimpleNamespace(
        clock=clock.FakeClock(),
        config=types.SimpleNamespace(state=types.SimpleNamespace(offset=0)),
        links=types.SimpleNamespace(to=lambda _address: agent),
        membership=types.SimpleNamespace(views_by_name={}),
        metrics=types.SimpleNamespace(attempts=recorder, dropped=recorder),
        next_id=lambda: attempt,
        record_failure=recorder.record_failure,
        settings=types.SimpleNamespace(name="e1"),
        upstream=lambda _name: types.SimpleNamespace(agent="127.0.0.1:1"),
    )
    request = call.Call(
        http=None,
        id=REQUEST_ID,
        arrived_at=0.0,
        deadline=1.0,
        workspace=types.SimpleNamespace(name="acme"),
        choice=types.SimpleNamespace(name="w1", reason="wait"),
    )
    running = attempts.run(request, context, _PullOut())
    try:
        running.send(None)
    except attempts.AttemptLostError as error:
        return error
    raise AssertionError("the attempt did not end")


class _PullOut(Out):
    """The answer to the caller of a pulled attempt."""

    events = 0

    async def drained(self) -> None:
        """Return at once."""
