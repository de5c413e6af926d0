"""Health, metrics and test controls, served by both roles."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Iterable
from typing import Any

import orjson
from reelscale_wire import link
from twisted.web import resource

from . import metrics
from .controllers import follower


class Text(resource.Resource):
    """Answers with a status and a text that a function gives."""

    isLeaf = True  # noqa: N815

    def __init__(self, function: Callable[[], tuple[int, str, bytes]]) -> None:
        super().__init__()
        self._function = function

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a probe or a scrape."""
        status, kind, body = self._function()
        request.setResponseCode(status)
        request.setHeader(b"content-type", kind.encode())
        return body


class Cut(resource.Resource):
    """Cuts connections to peers by address; for tests of failures."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, links: link.Links, platform: Any) -> None:
        super().__init__()
        self._links = links
        self._platform = platform

    def render_POST(self, request: Any) -> bytes:  # noqa: N802
        """Cut exactly the peers given, and the platform if asked to."""
        data = orjson.loads(request.content.read())
        self._links.partition(set(data.get("peers", ())))
        self._platform.partitioned = bool(data.get("platform", False))
        return b"{}"


def stuck(loops: Iterable[follower.Progress]) -> str:
    """Return which loops get nowhere, as a reason not to be ready."""
    names = [progress.name for progress in loops if progress.stuck]
    return f"errors in following: {', '.join(names)}" if names else ""


def add_routes(
    root: resource.Resource,
    *,
    ready: Callable[[], str],
    metrics: metrics.Metrics,
    refresh: Callable[[], None],
    ready_path: bytes = b"/readyz",
) -> None:
    """Add /livez, /readyz and /metrics.

    Args:
      root: Where they are added.
      ready: Returns why the process is not ready, empty when it is.
      metrics: The process's metrics.
      refresh: Called before a scrape to set the gauges.
      ready_path: Where readiness is asked for.
    """

    def livez() -> tuple[int, str, bytes]:
        return 200, "text/plain", b"live\n"

    def readyz() -> tuple[int, str, bytes]:
        reason = ready()
        text = f"not ready: {reason}\n" if reason else "ready\n"
        return 503 if reason else 200, "text/plain", text.encode()

    def scrape() -> tuple[int, str, bytes]:
        refresh()
        body, kind = metrics.text()
        return 200, kind, body

    root.putChild(b"livez", Text(livez))
    *folders, last = ready_path.strip(b"/").split(b"/")
    at = root
    for folder in folders:
        at.putChild(folder, resource.Resource())
        at = at.children[folder]
    at.putChild(last, Text(readyz))
    root.putChild(b"metrics", Text(scrape))
