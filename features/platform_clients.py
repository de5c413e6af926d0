"""What steps on the platform share: how clients ask, and what they read."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import json
import threading
import time

import httpx
import hypothesis
from twisted.internet import defer, reactor

from standins import process

# The same cases in every run, with no time limit of its own: each asks
# processes that other work may slow down.
GENERATED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
# Headers that entries hand on to workers as they are.
EXTRA = {
    "Model": "m",
    "Token_Count": "1460,80",
    "Prompt_Prefix": "5c1e07a2:800,91bd3f06:410",
}


class Streams:
    """Clients that stream in threads of their own."""

    def __init__(self, made, count):
        self.texts = []
        self.count = count
        self._threads = [
            threading.Thread(target=self._run, args=(made,))
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()
        process.wait_for(
            lambda: len(made.ledger("llm")) >= count, "streams to begin"
        )

    def _run(self, made):
        answer = broken_off(lambda: made.ask("/chat/slow"))
        self.texts.append(answer.text if answer else None)

    def wait(self):
        """Wait until all have ended; return their texts."""
        for thread in self._threads:
            thread.join(30)
        return self.texts


def send(conn, headers, path, body=b"once", method="POST"):
    """Send a request on a connection just as it is, and read nothing."""
    conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
    for name, value in headers.items():
        conn.putheader(name, value)
    conn.putheader("Content-Length", str(len(body)))
    conn.endheaders(body)


def ask(context, path, method="POST", body=b"", **headers):
    """Send a request and keep its answer, its id and how long it took."""
    made = context.cluster
    start = time.monotonic()
    headers = {**EXTRA, **headers}
    context.answer = made.ask(path, method=method, body=body, **headers)
    context.seconds = time.monotonic() - start
    context.id = context.answer.request.headers["request-id"]


def only_run(context):
    """Return the one run of the request that was asked last."""
    runs = context.cluster.runs_of(context.id)
    assert len(runs) == 1, runs
    return runs[0]


def events(text):
    """Return the data of the events of a stream."""
    rows = [row for row in text.split("\n") if row.startswith("data:")]
    return [row.removeprefix("data:").strip() for row in rows]


def decoded(raw):
    """Return the bytes that a table writes with escapes."""
    return raw.encode().decode("unicode_escape").encode("latin-1")


def broken_off(call):
    """Return what a call gives, None if its answer broke off."""
    try:
        return call()
    except (httpx.HTTPError, http.client.HTTPException, OSError):
        return None


def settings_file(made, entry):
    """Return the settings of an entry and the path of their file."""
    path = made.dir / f"{entry}.json"
    return json.loads(path.read_text()), path


def run_on_reactor(call, *arguments, **options):
    """Run a call on the reactor until it has ended; return its error too."""
    found = []

    async def run():
        try:
            found.append(await call(*arguments, **options))
        except Exception as bad:
            found.append(bad)

    defer.ensureDeferred(run())
    end = time.monotonic() + 20
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    while not found and time.monotonic() < end:
        reactor.iterate(0.01)
    assert found, "the call has not ended"
    return found[0]
