"""The HTTP side towards callers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import Any

from reelscale_core import error, settings
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http, resource, server

from . import logs
from . import problem as problems
from .adapters import base
from .filters import call, chain, expiry, writer
from .filters import context as contexts

LOG = logs.Logger("callers")
LONGEST_DEADLINE_S = 600.0


class Callers(resource.Resource):
    """Takes every request of a caller and passes it through the chain."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, given: contexts.Context, surface: base.Surface
    ) -> None:
        super().__init__()
        self._given = given
        self._surface = surface

    def render(self, request: Any) -> int:
        """Start a request; its answer comes later."""
        try:
            asked = self._surface.call(request, self._given.clock.monotonic())
        except error.CodedError as bad:
            self._surface.refuse(request, bad, request_id="")
            return server.NOT_DONE_YET
        request.channel.last_id = asked.id
        request.notifyFinish().addErrback(_left, asked)
        done = defer.ensureDeferred(self._serve(asked))
        done.addErrback(self._bug, asked)
        return server.NOT_DONE_YET

    async def _serve(self, asked: call.Call) -> None:
        try:
            if getattr(asked.http, "too_large", False):
                raise error.CodedError(
                    "body-too-large", step="read", status=413
                )
            if asked.http.channel.refusing:
                raise _crossed()
            await chain.run(asked, self._given)
        except error.CodedError as refused:
            asked.outcome, asked.code = refused.outcome, refused.code
            asked.retry_after_s = refused.retry_after_s
            if not asked.disconnected:
                self._surface.refuse(asked.http, refused, request_id=asked.id)
        except writer.AnswerBrokenError as broken:
            asked.code = broken.code
            _break_off(asked, broken)
        except writer.CallerDisconnectedError:
            asked.outcome = error.OUTCOME_UNKNOWN
            asked.code = "caller-left"
        self._note(asked)

    def _note(self, asked: call.Call) -> None:
        """Count a request that has ended."""
        given = self._given
        given.record_decision(asked)
        name = asked.workspace.name if asked.workspace else ""
        labels = {
            "workspace": given.metrics.workspace(name) if name else "none",
            "class": str(asked.priority),
        }
        outcome = {"outcome": asked.outcome, "code": asked.code}
        given.metrics.requests.inc({**labels, **outcome})
        now = given.clock.monotonic()
        _log_end(asked, now)
        given.metrics.whole.observe(labels, now - asked.arrived_at)
        if asked.first_byte_at is not None:
            first_s = asked.first_byte_at - asked.arrived_at
            given.metrics.first_byte.observe(labels, first_s)

    def _bug(self, reason: failure.Failure, asked: call.Call) -> None:
        """Answer a request that a fault of ours has ended."""
        LOG.error(
            "A request ended by a fault of ours.",
            request=asked.id,
            reason=reason.getTraceback(),
        )
        if not asked.disconnected and not asked.http.startedWriting:
            fault = error.CodedError(
                "internal",
                step="serve",
                status=500,
                outcome=error.OUTCOME_UNKNOWN,
            )
            self._surface.refuse(asked.http, fault, request_id=asked.id)
        elif not asked.disconnected:
            asked.http.channel.break_off(asked.http)


class OwnSurface:
    """What callers speak to us where no platform has a say in it."""

    ready_path = b"/readyz"

    def __init__(
        self, *, settings: settings.Settings, given: contexts.Context
    ) -> None:
        self._settings = settings
        self._given = given

    def call(self, request: Any, now: float) -> call.Call:
        """Read a request; the filters read its path and body."""
        return call.Call(
            http=request,
            id=self._given.next_id(),
            arrived_at=now,
            deadline=now + self._deadline_s(request),
        )

    def refuse(
        self, request: Any, problem: error.CodedError, *, request_id: str
    ) -> None:
        """Answer with a problem document."""
        problems.write(request, problem, request_id)

    def _deadline_s(self, request: Any) -> float:
        """Return the time in which a request must have started."""
        default = self._settings.deadline.total_seconds()
        header = request.getHeader("x-request-timeout")
        try:
            asked_s = float(header) if header else default
        except ValueError:
            return default
        return min(max(asked_s, 0.0), LONGEST_DEADLINE_S)


def _crossed() -> error.CodedError:
    """Return the refusal of a request that crossed the close of a stop.

    Another entry may serve it at once; here it would hold the stop up.
    """
    return error.CodedError(
        expiry.STOPPING,
        step="read",
        status=503,
        detail="this entry stops; the request came as it closed",
        retry_after_s=0.0,
    )


def _log_end(asked: call.Call, now: float) -> None:
    """Write the line from which a failure is explained afterwards."""
    LOG.info(
        "A request has ended.",
        request=asked.id,
        workspace=asked.workspace.name if asked.workspace else "",
        route=asked.route.name if asked.route else "",
        target=asked.target,
        outcome=asked.outcome,
        code=asked.code,
        attempts=asked.attempts,
        events=asked.events,
        first_s=_since(asked.first_byte_at, asked.arrived_at),
        seconds=round(now - asked.arrived_at, 4),
        left_s=_since(asked.answer_deadline, now),
        retry_after_s=asked.retry_after_s,
    )


def _since(at: float | None, start: float) -> float | None:
    """Return seconds between two instants, if there are such."""
    if at is None or at == math.inf:
        return None
    return round(at - start, 4)


def _left(_: Any, asked: call.Call) -> None:
    """Note that a caller has gone before its answer was whole."""
    asked.disconnected = True
    if asked.on_disconnect is not None:
        asked.on_disconnect()
    if asked.dispatched is not None and not asked.dispatched.called:
        asked.dispatched.errback(writer.CallerDisconnectedError())


def _break_off(asked: call.Call, broken: writer.AnswerBrokenError) -> None:
    """Let the caller see that its answer is not whole."""
    LOG.warning(
        "An answer broke off.",
        request=asked.id,
        code=broken.code,
        peer=broken.peer,
    )
    if not asked.disconnected:
        asked.http.channel.break_off(asked.http)


def request_class(body_bytes: int) -> type[server.Request]:
    """Return a request class for callers of a site.

    It holds bodies in bounded memory, and its answers heed a stop.
    """

    class Request(server.Request):
        """A request whose body is kept in memory up to a limit."""

        too_large = False

        def gotLength(self, length: int | None) -> None:  # noqa: N802
            """Keep any body in memory: boxes have no disks."""
            super().gotLength(min(length or 0, 1))
            self.too_large = (length or 0) > body_bytes

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
            """Take a piece of the body, unless it is too large."""
            size = self.content.tell() + len(data)
            self.too_large = self.too_large or size > body_bytes
            if not self.too_large:
                super().handleContentChunk(data)

        def write(self, data: bytes) -> None:
            """Write a piece; the first one says whether more may follow."""
            channel = self.channel
            first = not self.startedWriting
            if first and channel is not None and channel.factory.draining:
                self.setHeader(b"connection", b"close")
                channel.persistent = False
            super().write(data)

        def getHeader(self, key: Any) -> Any:  # noqa: N802
            """Return the last header of a name as text."""
            return http.Request.getHeader(self, key)

    return Request
