"""Steps on what engines and services send to this process."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when
from reelscale_daemon.adapters import bounded_body, upstream
from twisted.internet import defer, error
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import client

MEGABYTE = 1_000_000
FIRST, SECOND = b'data: {"n":1}\n\n', b'data: {"n":2}\n\n'
END = b"data: [DONE]\n\n"
BETWEEN = {
    "nothing": b"",
    "a comment": b": keep-alive\n\n",
    "lines with CRLF": b"\r\n",
    "a line that is no field": b"no event at all\n",
    "an event of another kind": b"event: x\n\n",
    "data that is no JSON": b"data: {\n\n",
    "data that is no object": b"data: 5\n\n",
    "data that is not UTF-8": b'data: {"n":"\xff"}\n\n',
    "an event behind the last one": END,
    "a line without end": b"data: " + b"x" * (2 << 20),
}


@when("an engine sends {what} between two events of its answer")
def _(context, what):
    context.chunks, context.ends = [], []
    sink = upstream.Sink(
        head=lambda _head: None,
        chunk=context.chunks.append,
        end=lambda *end: context.ends.append(end),
    )
    reader = upstream.Events(sink)
    reader.makeConnection(StringTransport())
    data = FIRST + BETWEEN[what] + SECOND + END
    for at in range(0, len(data), 1000):
        reader.dataReceived(data[at : at + 1000])
    reader.connectionLost(failure.Failure(error.ConnectionDone()))


@then('the answer ends as "{code}" behind the first event')
def _(context, code):
    assert context.chunks == [b'{"n":1}'], context.chunks
    assert context.ends == [(code, False)], context.ends


@then("both events are handed on and the answer is complete")
def _(context):
    assert context.chunks == [b'{"n":1}', b'{"n":2}'], context.chunks
    assert context.ends == [("", False)], context.ends


class _Response:
    """A response of the HTTP client."""

    def __init__(self):
        self.transport = StringTransport()
        self.body = None

    def deliverBody(self, protocol):  # noqa: N802
        """Set the reader of the body."""
        self.body = protocol
        protocol.makeConnection(self.transport)


@when("the body of an answer to this process {does}")
def _(context, does):
    response, context.errors = _Response(), []
    reading = defer.ensureDeferred(bounded_body.read(response))
    reading.addErrback(context.errors.append)
    context.read = 0
    piece = b"x" * MEGABYTE
    match does:
        case "comes without end":
            while not response.transport.disconnecting:
                response.body.dataReceived(piece)
                context.read += len(piece)
        case "is cut":
            lost = failure.Failure(client.ResponseFailed([]))
            response.body.connectionLost(lost)
        case "stops and is given up":
            response.body.dataReceived(piece)
            reading.cancel()
            assert response.transport.disconnecting


@then("at most {limit:d} MB of it are held, and reading it fails")
def _(context, limit):
    assert context.read <= limit * MEGABYTE, context.read
    assert len(context.errors) == 1, context.errors
