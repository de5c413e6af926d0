"""The list of upstreams as other entries have it.

An entry that starts while the platform's list cannot be read, or that is cut
off from it, takes the list of another entry that is further.
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
# A peer that lives answers within some ms; a dead one costs this, in seconds.
TIMEOUT_S = 1.0
# Peers asked one after the other, so that an outage is no storm.
PEERS_ASKED = 3


class PeerPage(NamedTuple):
    """A peer's whole list.

    Attributes:
      peer: Whose it is.
      items: All upstreams that are listed.
      next_offset: Where the peer reads the list on.
    """

    peer: str
    items: list[announcement.Announcement]
    next_offset: int


class PeerLists:
    """Asks other entries for their list.

    Attributes:
      asking: Whether one is being asked.
    """

    def __init__(
        self, *, links: link.Links, peers: Callable[[], Iterable[str]]
    ) -> None:
        """Make it.

        Args:
          links: Connections to peers.
          peers: Gives the addresses of some.
        """
        self.asking = False
        self._links = links
        self._peers = peers

    async def ask_some(self) -> PeerPage | None:
        """Ask a few peers; return the first list that one has."""
        known = sorted(self._peers())
        for peer in random.sample(known, min(len(known), PEERS_ASKED)):
            page = await self.ask(peer, 0)
            if page is not None:
                return page
        return None

    async def ask(self, peer: str, have_offset: int) -> PeerPage | None:
        """Ask a peer; None if it has nothing newer or does not answer."""
        self.asking = True
        query = ttypes.RosterQuery(have_offset=have_offset)
        try:
            answer = await self._links.to(peer).call(
                "roster", query, timeout_s=TIMEOUT_S
            )
        except link.LinkError:
            # The next peer, or the next datagram of this one, tells.
            return None
        finally:
            self.asking = False
        if not answer.items:
            return None
        items = [
            announcement.Announcement(**vars(row))
            for row in answer.items
            if _sound(row)
        ]
        if len(items) < len(answer.items):
            LOG.error(
                "A peer's list holds what names no upstream.",
                peer=peer,
                items=len(answer.items) - len(items),
            )
        return PeerPage(peer, items, answer.offset)


def _sound(row: ttypes.RosterItem) -> bool:
    """Tell whether a peer's item names an upstream that can be used."""
    texts = (row.name, row.target, row.address, row.hall)
    if not all(texts) or row.slots is None or row.leaving is None:
        return False
    return row.slots >= 0 and address.is_address(row.address)


def reply(
    offset: int, have_offset: int, listed: Iterable[announcement.Announcement]
) -> ttypes.RosterReply:
    """Return the answer to a peer that has the list up to an offset."""
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
        )
        for item in listed
    ]
    return ttypes.RosterReply(offset=offset, items=rows)
