"""Tells a crash of an upstream from other reasons for a lost exchange.

A lost exchange alone is no evidence: a connection may be cut or reset, and an
upstream may leave.  It crashed if it was listed, was not leaving, has no
connection to us left and nothing listens at its address any more, or another
start of it has announced itself.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any, Protocol

from reelscale_core import announcement
from twisted.internet import endpoints, error, protocol

# A look takes no longer than this, in seconds; what does not answer at all is
# cut off, which is no crash.
LOOK_MOST_S = 1.0


class Upstreams(Protocol):
    """What is asked of the controller that knows the upstreams."""

    def listed(self, start: announcement.Start) -> bool:
        """Tell whether a start is still listed and not leaving."""
        ...

    def restarted(self, start: announcement.Start) -> bool:
        """Tell whether another start has taken its place."""
        ...


class CrashEvidence:
    """Looks at an upstream whose exchange broke."""

    def __init__(
        self,
        *,
        reactor: Any,
        upstreams: Upstreams,
        open_connections: Callable[[str], int],
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          upstreams: Knows which starts are listed.
          open_connections: Gives the connections that are open to an address.
        """
        self._reactor = reactor
        self._upstreams = upstreams
        self._open_to = open_connections

    async def has_crashed(self, upstream: announcement.Announcement) -> bool:
        """Tell whether a start has crashed, by what can be seen now."""
        if self._upstreams.restarted(upstream.start):
            return True
        if not self._upstreams.listed(upstream.start):
            return False
        if self._open_to(upstream.address):
            return False
        return await self._refuses(upstream.address)

    async def _refuses(self, address: str) -> bool:
        """Tell whether nothing listens at an address."""
        host, _, port = address.rpartition(":")
        point = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=LOOK_MOST_S
        )
        try:
            opened = await endpoints.connectProtocol(
                point, protocol.Protocol()
            )
        except error.ConnectionRefusedError:
            return True
        except error.ConnectError:
            return False
        opened.transport.abortConnection()
        return False
