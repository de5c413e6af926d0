"""Fetches the list of upstreams from other entries.

An entry that starts while the platform's list is unavailable, or that is
partitioned from it, uses the list of an entry that is ahead.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from reelscale_core import address, announcement
from reelscale_wire import link
from reelscale_wire.gen import ttypes

from .. import logs

LOG = logs.Logger("directory")
TIMEOUT_S = 1.0
# Peers are queried one after the other to limit the load in an outage.
MAX_PEERS_QUERIED = 3


class PeerPage(NamedTuple):
    """A peer's complete list.

    Attributes:
      peer: Address of the peer.
      items: All listed upstreams.
      next_offset: Offset of the peer's next read of the list.
    """

    peer: str
    items: list[announcement.Announcement]
    next_offset: int


class PeerLists:
    """Queries other entries for their list.

    Attributes:
      asking: Whether a query is in progress.
    """

    def __init__(
        self, *, links: link.Links, peers: Callable[[], Iterable[str]]
    ) -> None:
        """Create the client.

        Args:
          links: Connections to peers.
          peers: Returns the addresses of some peers.
        """
        self.asking = False
        self._links = links
        self._peers = peers

    async def ask_some(self) -> PeerPage | None:
        """Query a few peers; return the first list."""
        known = sorted(self._peers())
        for peer in random.sample(known, min(len(known), MAX_PEERS_QUERIED)):
            page = await self.ask(peer, 0)
            if page is not None:
                return page
        return None

    async def ask(self, peer: str, have_offset: int) -> PeerPage | None:
        """Query a peer; None if it has nothing newer or does not answer."""
        self.asking = True
        query = ttypes.RosterQuery(have_offset=have_offset)
        try:
            answer = await self._links.to(peer).call(
                "roster", query, timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            # The next peer, or the next datagram of this one, gives a retry.
            return None
        finally:
            self.asking = False
        if not answer.items:
            return None
        items = [
            announcement.Announcement(**vars(row))
            for row in answer.items
            if _is_valid(row)
        ]
        if len(items) < len(answer.items):
            LOG.error(
                "Skipped invalid items in the list of a peer.",
                peer=peer,
                items=len(answer.items) - len(items),
            )
        return PeerPage(peer, items, answer.offset)


def _is_valid(row: ttypes.RosterItem) -> bool:
    """Return whether a peer's item describes a usable upstream."""
    texts = (row.name, row.target, row.address, row.hall)
    if not all(texts) or row.slots is None or row.leaving is None:
        return False
    return row.slots >= 0 and address.is_address(row.address)


def reply(
    offset: int, have_offset: int, listed: Iterable[announcement.Announcement]
) -> ttypes.RosterReply:
    """Return the reply to a peer that has read up to an offset."""
    if offset <= have_offset:
        return ttypes.RosterReply(offset=offset, items=[])
    rows = [
        ttypes.RosterItem(
            name=item.name,
            target=item.target,
            address=item.address,
            hall=item.hall,
            slots=item.slots,
            leaving=item.leaving,
            born_ms=item.born_ms,
            sequence=item.sequence,
        )
        for item in listed
    ]
    return ttypes.RosterReply(offset=offset, items=rows)
