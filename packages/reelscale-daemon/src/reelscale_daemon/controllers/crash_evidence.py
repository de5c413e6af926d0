"""Distinguishes crashes of upstreams from other causes of lost exchanges.

A lost exchange alone is no evidence: its connection may have been reset, or
the upstream be leaving.  An upstream has crashed if a later start of it was
announced, or if it is listed, is not leaving, has no open connection to this
entry and refuses new ones.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
from collections.abc import Callable
from typing import Any, Protocol

from reelscale_core import announcement
from twisted.internet import endpoints, error, protocol

# Timeout of a probe in seconds.  An address that does not answer at all is
# partitioned, which is no evidence of a crash.
PROBE_TIMEOUT_S = 1.0


class Finding(enum.Enum):
    """What is found out about an upstream after a lost exchange."""

    RESTARTED = "a later start was announced"
    REFUSES = "it refuses connections"
    UNLISTED = "it is leaving or no longer listed"
    CONNECTED = "other connections to it are open"
    ACCEPTS = "it accepts connections"
    NO_ANSWER = "it does not answer"

    @property
    def crashed(self) -> bool:
        """Whether this is evidence of a crash."""
        return self in (Finding.RESTARTED, Finding.REFUSES)


class Upstreams(Protocol):
    """The controller that tracks the upstreams."""

    def listed(self, start: announcement.Start) -> bool:
        """Return whether a start is still listed and not leaving."""
        ...

    def restarted(self, start: announcement.Start) -> bool:
        """Return whether a later start has replaced it."""
        ...


class CrashEvidence:
    """Decides whether an upstream whose exchange was lost has crashed."""

    def __init__(
        self,
        *,
        reactor: Any,
        upstreams: Upstreams,
        open_connections: Callable[[str], int],
    ) -> None:
        """Initialize the check.

        Args:
          reactor: The reactor.
          upstreams: Lists the starts of upstreams.
          open_connections: Returns the number of connections open to an
            address.
        """
        self._reactor = reactor
        self._upstreams = upstreams
        self._open_connections = open_connections

    async def find(self, upstream: announcement.Announcement) -> Finding:
        """Return what present evidence says of a start."""
        if self._upstreams.restarted(upstream.start):
            return Finding.RESTARTED
        if not self._upstreams.listed(upstream.start):
            return Finding.UNLISTED
        if self._open_connections(upstream.address):
            return Finding.CONNECTED
        return await self._probe(upstream.address)

    async def _probe(self, address: str) -> Finding:
        """Open a connection to an address and close it."""
        host, _, port = address.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=PROBE_TIMEOUT_S
        )
        try:
            connected = await endpoints.connectProtocol(
                endpoint, protocol.Protocol()
            )
        except error.ConnectionRefusedError:
            return Finding.REFUSES
        except error.ConnectError:
            return Finding.NO_ANSWER
        connected.transport.abortConnection()
        return Finding.ACCEPTS
