"""A few lines of HTTP for the stand-ins."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import argparse
import json
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.web import resource, server


class Json(resource.Resource):
    """Gives every request to one function and writes what it returns.

    The function gets the request and returns JSON data, or NOT_DONE_YET
    when it answers by itself.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, function: Callable[[Any], Any]) -> None:
        super().__init__()
        self._function = function

    def render(self, request: Any) -> Any:
        """Answer one request."""
        data = self._function(request)
        if data is server.NOT_DONE_YET:
            return data
        return reply(request, data)


def reply(request: Any, data: Any, status: int = 200) -> bytes:
    """Return JSON data as a body, with its headers set."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(data).encode()


def finish(request: Any, data: Any, status: int = 200) -> None:
    """Write JSON data to a request that was left open."""
    if not getattr(request, "gone", False):
        request.write(reply(request, data, status))
        request.finish()


def body(request: Any) -> Any:
    """Return the decoded JSON body of a request."""
    return json.loads(request.content.read() or b"{}")


def serve(
    function: Callable[[Any], Any], port: int, host: str = "127.0.0.1"
) -> None:
    """Serve a function on loopback until the process is killed."""
    site = server.Site(Json(function))
    site.log = lambda _request: None
    site.noisy = False
    reactor.listenTCP(port, site, interface=host, backlog=512)


def arguments() -> dict[str, Any]:
    """Return the JSON settings file named on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    with open(parser.parse_args().settings) as file:
        return json.load(file)
