"""Callers that disconnect, and checks that their requests end."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
import re
import socket
import struct
import time

from standins import fleet, process

# By the platform's rules, processing of a request ends within this time after
# its caller disconnects.
GONE_S = 0.5
# Time-out of routes and callers, longer than any caller stays connected.
LONG_S = 60
# Faults whose answers take longer than callers stay connected.
LASTING = ("mute", "headed", "flood", "cut-mute", "slow")
CLOSES, HALF_CLOSES, RESETS = WAYS = ("closes", "half-closes", "resets")


def patient(**options):
    """Return a fleet with long time-outs."""
    made = fleet.Fleet(**options)
    for row in made.config["routes"]:
        row["timeout_ms"] = row["slo_ms"] = LONG_S * 1000
    return made.__enter__()


class Caller:
    """A caller that sends one request on its own connection.

    Attributes:
      id: Id of the request.
      closed_at: Monotonic seconds at which the caller disconnected.
    """

    def __init__(self, address, *, host=fleet.HOST, headers, window=None):
        self.id = headers.get("Request-Id", "")
        self.closed_at = math.inf
        self._rows = {**headers, "Host": host}
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        name, port = address.rsplit(":", 1)
        self.sock.connect((name, int(port)))
        self.sock.settimeout(LONG_S)

    def head(self, path, **rows):
        """Return the head of a request."""
        headers = {
            **self._rows,
            **{k.replace("_", "-"): v for k, v in rows.items()},
        }
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send(self, path, body=b"hello"):
        """Send a complete request."""
        size = str(len(body))
        self.sock.sendall(self.head(path, Content_Length=size) + body)

    def leave(self, way):
        """Disconnect in one of WAYS."""
        self.closed_at = time.monotonic()
        if way == HALF_CLOSES:
            self.sock.shutdown(socket.SHUT_WR)
            return
        if way == RESETS:
            now = struct.pack("ii", 1, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, now)
        self.sock.close()


def new_caller(made, **options):
    """Return a new caller of a fleet's first entry."""
    headers = made.headers(Deadline_Ms=str(LONG_S * 1000))
    return Caller(made.http["f1"], headers=headers, **options)


def wait_runs(made, caller, count=1):
    """Wait until a caller's request runs at a number of workers."""
    process.wait_for(
        lambda: len(made.runs_of(caller.id)) >= count, "the request to run"
    )


def wait_until(instant):
    """Wait until a time of the monotonic clock."""
    process.wait_for(lambda: time.monotonic() > instant, "the time", LONG_S)


def check_ended(made, caller):
    """Check that all processing of a request ended in time."""
    wait_until(caller.closed_at + GONE_S)
    runs = made.runs_of(caller.id)
    late = [run for run in runs if not ended_in_time(run, caller)]
    assert not late, (caller.closed_at, late)
    check_nothing_later(made, caller)


def ended_in_time(run, caller):
    """Return whether a run ended soon after its caller disconnected."""
    left_at = run["left_at"]
    # A run that was answered has no such time.
    by_itself = left_at is None and run["path"].split("/")[2] not in LASTING
    return by_itself or (left_at or math.inf) < caller.closed_at + GONE_S


def check_nothing_later(made, caller):
    """Check that no later message of a request reached a worker."""
    rows = [r for name in made.workers for r in made.worker(name)["reached"]]
    latest = caller.closed_at + GONE_S
    late = [r for r in rows if r["id"] == caller.id and r["at"] > latest]
    assert not late, (caller.closed_at, late)


def gauge(made, entry, name):
    """Return the sum of a gauge of an entry over its labels."""
    if isinstance(made, fleet.Fleet):
        url = f"http://{made.health[entry]}/metrics"
    else:
        url = f"{made.http[entry]}/metrics"
    text = made.client.get(url).text
    values = re.findall(rf"^{name}(?:\{{.*\}})? (\S+)$", text, re.MULTILINE)
    return sum(map(float, values))


def wait_queued(made, entry, count):
    """Wait until a number of requests are queued at an entry."""
    process.wait_for(
        lambda: gauge(made, entry, "reelscale_queued") == count,
        f"{count} queued requests",
    )
