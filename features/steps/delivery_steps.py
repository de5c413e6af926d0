"""Steps on answers and calls that are not delivered yet."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import time

from behave import given, then, when
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from thrift.transport import TTwisted

from features import platform_clients as clients
from features import slow_callers as slow
from standins import cluster, fleet, process

# Small segments keep the receive buffer of the peer's kernel small.
MSS_BYTES = 1000
# Requests or calls that a test sends while the peer closes.
REQUESTS_DURING_STOP = 5
ROOT = pathlib.Path(__file__).parent.parent.parent


def _stop(context):
    context.cluster.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@given("a cluster of its own of one hall without engines")
def _(context):
    context.cluster = cluster.Cluster(halls=("a",), engines=0).__enter__()


# Requests and calls that cross a stop.


@when(
    "the entry receives SIGTERM and the caller sends more requests, then reads"
)
def _(context):
    made = context.cluster
    _stop(context)
    slow.wait_refused(made.http["f1"])
    headers = made.headers()
    host = headers.pop("Host")
    for _ in range(REQUESTS_DURING_STOP):
        context.sock.sendall(slow.head("GET", "/read/x", host, headers))
        time.sleep(0.02)
    context.read = slow.read_all(context.sock)
    ended = [r for r in made.log_lines("f1") if r["text"] == slow.ENDED]
    print(len(ended), "answers ended;", made.log_lines("f1")[-1])


def _call():
    """Return the bytes of a call of a peer."""
    frames = []
    to = TTwisted.TCallbackTransport(frames.append)
    pending = Peer.Client(to, link.CODEC()).state(
        ttypes.StateRequest(have_offset=-1)
    )
    pending.addErrback(lambda _: None)
    return struct.pack("!i", len(frames[0])) + frames[0]


def _unread_at(sock):
    """Return the number of bytes that the peer has not read."""

    def end(name):
        host, port = name
        return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"

    ends = [end(sock.getpeername()), end(sock.getsockname())]
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines():
        words = line.split()
        if words[1:3] == ends:
            return int(words[4].partition(":")[2], 16)
    return -1


@when("{count:d} calls of a peer are answered and the peer does not read yet")
def _(context, count):
    made = context.cluster
    context.count = count
    context.sock = slow.connect(made.peer["f1"])
    for _ in range(count):
        context.sock.sendall(_call())
    process.wait_for(
        lambda: _unread_at(context.sock) == 0, "the calls to be read"
    )


@when("the entry receives SIGTERM and the peer sends more calls, then reads")
def _(context):
    made = context.cluster
    _stop(context)
    slow.wait_refused(made.http["f1"])
    for _ in range(REQUESTS_DURING_STOP):
        context.sock.sendall(_call())
        time.sleep(0.02)
    context.read = slow.read_all(context.sock)
    print(made.log_lines("f1")[-1])


@then("the peer receives every answer")
def _(context):
    at = complete = 0
    while at + 4 <= len(context.read):
        (size,) = struct.unpack_from("!i", context.read, at)
        at += 4 + size
        complete += at <= len(context.read)
    assert complete >= context.count, (complete, len(context.read))


# Idle callers and callers that read.


@given("a fleet of its own with an idle timeout of {seconds:d} s")
def _(context, seconds):
    made = fleet.Fleet()
    made.config["limits"]["idle_timeout_ms"] = seconds * 1000
    context.cluster = made.__enter__()


@when("the caller reads {rate:d} KB per second from then on")
def _(context, rate):
    context.read = bytearray()
    start = time.monotonic()
    try:
        while piece := context.sock.recv(8192):
            context.read += piece
            due = start + len(context.read) / (rate * 1000)
            time.sleep(max(0.0, due - time.monotonic()))
    except ConnectionResetError:
        pass
    print(f"read for {time.monotonic() - start:.1f} s")


@when("a caller sends an empty line after a request and reads its answer")
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    address = made.http[entry].removeprefix("http://")
    headers = {**made.headers(), "Content-Length": "4"}
    context.sock = slow.connect(address)
    head = slow.head("POST", "/services/codes/x", address, headers)
    context.sock.sendall(head + b"once")
    assert b"200 OK" in context.sock.recv(65536)
    context.sock.sendall(b"\r\n")


@when("its entry receives SIGTERM")
def _(context):
    made = context.cluster
    made.processes[made.entries[0][0]].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then("the entry ends within {limit:d} s")
def _(context, limit):
    made = context.cluster
    made.processes[made.entries[0][0]].popen.wait(60)
    seconds = time.monotonic() - context.stopped_at
    assert seconds < limit, seconds


# The end of the grace time.


@when("an HTTP/1.0 caller requests 1 MB and does not read")
def _(context):
    made = context.cluster
    for name, (service, _) in made.workers.items():
        if service == "push":
            made.set_faulty(name, True)
    host, port = made.http["f1"].rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, slow.WINDOW_BYTES)
    # Small segments keep the receive buffer of the peer's kernel small.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MSS_BYTES)
    sock.connect((host, int(port)))
    sock.settimeout(30)
    headers = made.headers()
    head = slow.head("GET", "/read/large", headers.pop("Host"), headers)
    sock.sendall(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
    context.sock = sock
    process.wait_for(lambda: made.ledger("push"), "the request to run")


@when("the entry receives SIGTERM and the caller reads once it has exited")
def _(context):
    _stop(context)
    context.cluster.processes["f1"].popen.wait(20)
    context.read, context.reset = bytearray(), False
    try:
        while piece := context.sock.recv(65536):
            context.read += piece
    except ConnectionResetError:
        context.reset = True


@then("the caller can detect that the answer is incomplete")
def _(context):
    head, _, body = bytes(context.read).partition(b"\r\n\r\n")
    detectable = context.reset or len(body) >= 1_000_000
    detectable = detectable or b"content-length" in head.lower()
    assert detectable, (len(body), head, context.cluster.log_lines("f1")[-1])


@given(
    "a fleet whose upstream accepts no connections, with a grace time of "
    "{seconds:d} s"
)
def _(context, seconds):
    settings = {"grace_s": seconds, "stop_wait_s": 1.2}
    workers = (("llm", "b"), ("push", "b"))
    made = fleet.Fleet(workers=workers, settings=settings).__enter__()
    context.cluster = made
    context.full = [socket.socket()]
    context.full[0].bind(("127.0.0.1", 0))
    context.full[0].listen(0)
    address = context.full[0].getsockname()
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        context.full.append(filler)
    made.workers["full"] = ("push", "b")
    made.address["full"] = f"127.0.0.1:{address[1]}"
    made.announce("full")
    made.withdraw("w2")

    def is_listed():
        rows = made.log_lines("f1")
        listed = [r.get("name") for r in rows if "is listed" in r["text"]]
        removed = [r.get("name") for r in rows if "no longer" in r["text"]]
        return "full" in listed and "w2" in removed

    process.wait_for(is_listed, "the address to be listed")


@when("a request is sent {seconds:g} s after the entry receives SIGTERM")
def _(context, seconds):
    made = context.cluster
    conn = made.connect()
    conn.connect()
    _stop(context)
    time.sleep(seconds)
    clients.send(conn, made.headers(), "/push/x")
    context.answer = clients.broken_off(conn.getresponse)


@then("that request is answered")
def _(context):
    made = context.cluster
    made.processes["f1"].popen.wait(20)
    assert context.answer is not None, made.log_lines("f1")[-3:]


# Connections and links, in separate processes.


def _run(word):
    command = [sys.executable, "-m", "features.delivery_process", word]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr[-2000:]
    return json.loads(done.stdout)


@given("a peer that answers a large request without reading it")
@when("an exchange with the peer has ended")
@given("a process that sends a cancel when its caller disconnects")
@when("a stop begins in the next iteration of the event loop")
def _(context):
    """Do nothing: the process of the last step does all of it."""


@then("the pool opens another connection for the next exchange")
def _(context):
    outcome = _run("reuse")
    assert outcome == {"code": "", "accepted": 2}, outcome


@then("the peer has received the cancel")
def _(context):
    assert _run("cancel") == 2
