"""Writers of answers, in the form that the caller requested."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import Any

import orjson
from reelscale_core import error
from twisted.internet import defer, interfaces
from zope.interface import implementer

from . import call
from . import context as contexts

OUTCOME_HEADER = "reelscale-outcome"
REQUEST_HEADER = "reelscale-request-id"
EVENT_STREAM = "text/event-stream"
OK = 200


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class AnswerBrokenError(Exception):
    """An answer was interrupted after it had begun.

    Attributes:
      code: Error code.
      peer: Name of the upstream.
    """

    def __init__(self, code: str, peer: str) -> None:
        super().__init__(code, peer)
        self.code = code
        self.peer = peer


@implementer(interfaces.IPushProducer)
class Writer:
    """Base class: applies back-pressure from the caller to the upstream.

    Attributes:
      begun: Whether anything was sent to the caller.
      finished: Whether the answer is complete.
      resumable: Whether another attempt can continue the answer.
      events: Number of events sent.
      last_id: Id of the last event, None if events have no ids.
    """

    resumable = False

    def __init__(
        self, *, request: call.Call, context: contexts.Context
    ) -> None:
        self.begun = False
        self.finished = False
        self.events = 0
        self.last_id: int | None = None
        self._request = request
        self._http = request.http
        self._context = context
        self._paused: defer.Deferred | None = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause: the buffer to the caller is full."""
        if self._paused is None:
            self._paused = defer.Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume after a pause."""
        paused, self._paused = self._paused, None
        if paused is not None:
            paused.callback(None)

    def stop_waiting(self) -> None:
        """Stop waiting for a caller that does not read.

        It would otherwise hold the request and its slot past the deadline.
        """
        self.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop: the caller's connection is closed."""
        self._request.disconnected = True
        self.resumeProducing()

    async def drained(self) -> None:
        """Wait until the buffer to the caller has drained.

        Raises:
          CallerDisconnectedError: The caller disconnected.
        """
        if self._paused is not None:
            await self._paused
        if self._request.disconnected:
            raise CallerDisconnectedError

    def begin(self, status: int, headers: Sequence[Any]) -> None:
        """Send status and headers."""
        self._begin(status)
        for row in headers:
            self._http.responseHeaders.addRawHeader(row.name, row.value)
        self._http.setHeader(OUTCOME_HEADER, error.OUTCOME_RAN)
        self._http.setHeader(REQUEST_HEADER, self._request.id)

    def write(self, chunks: Sequence[bytes]) -> None:
        """Send chunks."""
        self._http.write(b"".join(chunks))

    def finish(self) -> None:
        """End the answer."""
        self.finished = True
        self._http.unregisterProducer()
        self._http.finish()

    def _begin(self, status: int) -> None:
        self.begun = True
        self._http.registerProducer(self, True)
        self._http.setResponseCode(status)


class Passthrough(Writer):
    """Forwards an upstream's answer unaltered, for routes."""

    @property
    def resumable(self) -> bool:
        """Whether the route allows streams to resume at another upstream."""
        route = self._request.route
        return route is not None and route.resumable

    def begin(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        *,
        length: int | None = None,
    ) -> None:
        """Send status and headers.

        Args:
          status: HTTP status.
          headers: Headers to forward.
          length: Size of the body in bytes, if known.
        """
        self._begin(status)
        for name, value in headers:
            self._http.responseHeaders.addRawHeader(name, value)
        if length is not None:
            self._http.setHeader(b"content-length", b"%d" % length)


class Events(Writer):
    """Sends an event stream event by event."""

    resumable = True

    def begin(self, status: int, headers: Sequence[Any]) -> None:
        """Send the head; an answer with an error status is no stream."""
        self._plain = status != OK
        super().begin(status, headers)

    def write(self, chunks: Sequence[bytes]) -> None:
        """Send events."""
        if self._plain:
            super().write(chunks)
            return
        self.events += len(chunks)
        self._http.write(b"".join(b"data: %b\n\n" % c for c in chunks))

    def finish(self) -> None:
        """Send the end event, which marks the answer as complete."""
        if not self._plain:
            self._http.write(b"data: [DONE]\n\n")
        super().finish()


class Collected(Writer):
    """Collects an event stream into one JSON answer."""

    def __init__(
        self, *, request: call.Call, context: contexts.Context
    ) -> None:
        super().__init__(request=request, context=context)
        self._status = 0
        self._headers: Sequence[Any] = ()
        self._events: list[bytes] = []

    @property
    def resumable(self) -> bool:
        """Always: nothing is sent before the answer is complete."""
        return True

    def begin(self, status: int, headers: Sequence[Any]) -> None:
        """Store the head until the answer is complete."""
        self._status = status
        self._headers = headers

    def write(self, chunks: Sequence[bytes]) -> None:
        """Store chunks until the answer is complete."""
        self._events += chunks
        if self._status == OK:
            self.events += len(chunks)

    def finish(self) -> None:
        """Send the answer."""
        body = b"".join(self._events)
        headers = self._headers
        if self._status == OK:
            body = orjson.dumps(gather(self._events))
            headers = ()
        super().begin(self._status, headers)
        if self._status == OK:
            self._http.setHeader("content-type", "application/json")
        self._http.setHeader("content-length", str(len(body)))
        self._http.write(body)
        super().finish()


def make(request: call.Call, context: contexts.Context) -> Writer:
    """Return the writer for a request."""
    if request.route is not None:
        return Passthrough(request=request, context=context)
    if not request.is_model:
        return Writer(request=request, context=context)
    if request.stream:
        return Events(request=request, context=context)
    return Collected(request=request, context=context)


def gather(events: Sequence[bytes]) -> dict[str, Any]:
    """Merge the events of a completion into one answer.

    Args:
      events: JSON of the chunks, in order, as OpenAI-compatible engines
        stream them.

    Returns:
      The completion object with the text of all chunks.
    """
    answer: dict[str, Any] = {}
    text: list[str] = []
    choice: dict[str, Any] = {}
    chat = False
    for event in events:
        data = orjson.loads(event)
        answer.update(data)
        for part in data.get("choices", ())[:1]:
            chat = chat or "delta" in part
            piece = part.get("delta", part)
            text.append(piece.get("content" if chat else "text") or "")
            choice = part
    complete = {"index": 0, "finish_reason": choice.get("finish_reason")}
    if chat:
        complete["message"] = {"role": "assistant", "content": "".join(text)}
        answer["object"] = "chat.completion"
    else:
        complete["text"] = "".join(text)
    answer["choices"] = [complete]
    return answer
