"""Steps on requests that are complete only while an entry stops."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import signal
import socket
import threading
import time
from typing import NamedTuple

from behave import then, when

# From the signal until the last byte of a request, in seconds.
DELAYS_S = tuple(number / 10 for number in range(1, 30))
# Statuses that say that a request has not run.
NOT_RUN = (408, 421, 429, 503)


class Sent(NamedTuple):
    """A request and its answer.

    Attributes:
      id: Its id.
      at: Monotonic seconds at which its last byte was sent.
      status: Status of the whole answer, 0 without one.
    """

    id: str
    at: float
    status: int


def _connect(made, path):
    """Send all but the last byte of a request; return id and socket."""
    host, port = made.http["f1"].rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), 10)
    headers = made.headers(Content_Length="4")
    rows = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.1", *rows])
    sock.sendall(head.encode() + b"\r\n\r\nonc")
    return headers["Request-Id"], sock


def _finish(context, request_id, sock, delay_s):
    """Send the last byte and read the answer."""
    time.sleep(max(0.0, context.stopped_at + delay_s - time.monotonic()))
    at, status = time.monotonic(), 0
    try:
        sock.sendall(b"e")
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException):
        # No answer, or none that is whole.
        pass
    finally:
        sock.close()
    context.sent.append(Sent(request_id, at, status))


@when(
    'an entry is told to stop and requests to "{path}" end 0.1 to 2.9 s later'
)
def _(context, path):
    made = context.cluster
    context.sent = []
    opened = [_connect(made, path) for _ in DELAYS_S]
    # All heads have arrived once a request behind them is served.
    assert made.ask("/push/x").is_success
    made.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()
    threads = [
        threading.Thread(target=_finish, args=(context, *row, delay_s))
        for row, delay_s in zip(opened, DELAYS_S, strict=True)
    ]
    for thread in threads:
        thread.start()
    made.processes["f1"].popen.wait(10)
    context.ended_at = time.monotonic()
    for thread in threads:
        thread.join(10)


@then(
    "each that was read {seconds:f} s before the end of the process has an "
    "answer"
)
def _(context, seconds):
    due = [row for row in context.sent if row.at < context.ended_at - seconds]
    assert len(due) > len(DELAYS_S) // 2, due
    lost = [
        f"{row.id} at {row.at - context.stopped_at:.2f} s"
        for row in due
        if not row.status
    ]
    assert lost == [], lost


@then("none that was refused as not run has run")
def _(context):
    ran = {run["id"] for run in context.cluster.ledger()}
    wrong = [r for r in context.sent if r.status in NOT_RUN and r.id in ran]
    assert wrong == [], wrong
    unanswered = [r for r in context.sent if r.id in ran and not r.status]
    assert unanswered == [], unanswered
