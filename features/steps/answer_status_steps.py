"""Steps on the status of answers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket
import threading

from behave import then, when
from reelscale_daemon.adapters import upstream
from twisted.internet import address, defer, interfaces, reactor
from zope.interface import implementer

from features import answer_paths as paths
from features import platform_clients as clients
from features.steps import proof_of_success_steps as proof
from standins import garbage

# An upstream's own word that it is not known whether a request has run, or
# none that a caller of a request that must not run twice may get.
MISLEADING = {408, 421, 429, 503}
# A success without content is none on a route that has answers.
WITHOUT_CONTENT = {204, 205, 304}


def _upstream(kind, status):
    def send(after):
        head, body = paths.true_answer(kind=kind, after=after)
        head[0] = b"HTTP/1.1 %b Odd\r\n" % status.encode()
        spoilt = garbage.Spoilt("", "chunked", b"")
        return paths.Script([garbage.answer(spoilt, head, body)])

    return send


@when('the first upstream answers {kind} with the status "{status}"')
def _(context, kind, status):
    context.kind = proof.KINDS[kind]
    upstreams = [_upstream(context.kind, s) for s in (status, "200")]
    context.seen = paths.Play(upstreams, kind=context.kind).run()


@implementer(interfaces.IHostnameResolver)
class _Literals:
    """Resolves addresses in digits, without the threads of the usual one."""

    def resolveHostName(self, receiver, host, **options):  # noqa: N802
        """Resolve a name that is an address."""
        receiver.resolutionBegan(None)
        at = address.IPv4Address("TCP", host, options.get("portNumber", 0))
        receiver.addressResolved(at)
        receiver.resolutionComplete()


def _serve_once(listener, data):
    """Answer one connection with some bytes."""
    sock, _ = listener.accept()
    with sock:
        sock.recv(65536)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)


@when('an engine answers the agent with the status "{status}"')
def _(context, status):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    body = b"whole answer"
    data = b"HTTP/1.1 %b Odd\r\nContent-Length: %d\r\n\r\n%b" % (
        status.encode(),
        len(body),
        body,
    )
    threading.Thread(
        target=_serve_once, args=(listener, data), daemon=True
    ).start()
    context.heads, context.chunks = [], []
    reactor.installNameResolver(_Literals())
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"

    async def ask():
        ended = defer.Deferred()
        sink = upstream.Sink(
            head=context.heads.append,
            chunk=context.chunks.append,
            end=lambda *end: ended.callback(end),
        )
        upstream.Upstream(reactor=reactor, url=url).ask(
            "GET", "/x", [], b"", sink, events=False
        )
        return await ended

    context.end = clients.run_on_reactor(ask)


@then('the agent hands nothing on, and the answer ends as "{code}"')
def _(context, code):
    assert context.heads == [] and context.chunks == [], context.heads
    assert context.end == (code, False), context.end


@when("an upstream answers with each final status that there is")
def _(context):
    context.status_by_sent = {
        status: paths.Play([_upstream("push", str(status))], kind="push")
        .run()
        .status
        for status in range(200, 600)
    }


@then("the caller receives each but those that state what nobody knows")
def _(context):
    for sent, received in context.status_by_sent.items():
        if sent not in MISLEADING | WITHOUT_CONTENT:
            assert received == sent, (sent, received)
